import {
  type CrashReport,
  isReportedLoss,
  isReportedProof,
  type ReportedLoss,
  type ReportedProof,
} from "../../../core/forwarding/mod.ts";
import {
  isBoolean,
  isInteger,
  isListOf,
  isNumber,
  isObjectOf,
  isOptional,
  isText,
} from "../../../core/validation/mod.ts";

/** Notification that carries what was lost with endpoints. */
export const CRASHES_METHOD = "entry.crashes";
/** Notification that asks the owner of a suspect for its trial. */
export const TRIAL_REQUEST_METHOD = "entry.trialRequest";
/** Notification that answers such a request. */
export const TRIAL_ANSWER_METHOD = "entry.trialAnswer";
/** Notification that a trial has ended. */
export const TRIAL_END_METHOD = "entry.trialEnd";
/** Notification that carries recent runs of suspects to their owner. */
export const TRIAL_PROOFS_METHOD = "entry.trialProofs";

/** Fields that all notifications about a trial have. */
export interface TrialNotification {
  readonly entry: string;
  readonly holder: string;
  readonly digest: string;
}

export interface TrialRequest extends TrialNotification {
  /** Crashes of the suspect that the sender knows. */
  readonly crashes: number;
  /** True if the sender asks for proofs and losses only. */
  readonly isInquiry?: boolean;
}

export interface TrialAnswer extends TrialNotification {
  readonly isGranted: boolean;
  /** Present if the suspect needs no trial: milliseconds since its last run. */
  readonly proofAge?: number;
  /** Present if the owner knows more losses than the sender. */
  readonly losses?: readonly ReportedLoss[];
}

export interface TrialProofs {
  readonly proofs: readonly ReportedProof[];
}

const TRIAL = { entry: isText, holder: isText, digest: isText } as const;

export const isCrashReport = isObjectOf<CrashReport>({
  losses: isListOf(isReportedLoss),
  cleared: isListOf(isReportedProof),
});

export const isTrialNotification = isObjectOf<TrialNotification>(TRIAL);

export const isTrialRequest = isObjectOf<TrialRequest>({
  ...TRIAL,
  crashes: isInteger,
  isInquiry: isOptional(isBoolean),
});

export const isTrialAnswer = isObjectOf<TrialAnswer>({
  ...TRIAL,
  isGranted: isBoolean,
  proofAge: isOptional(isNumber),
  losses: isOptional(isListOf(isReportedLoss)),
});

export const isTrialProofs = isObjectOf<TrialProofs>({
  proofs: isListOf(isReportedProof),
});
