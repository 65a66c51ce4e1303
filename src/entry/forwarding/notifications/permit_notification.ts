import {
  isLimitReport,
  type LimitReport,
  type PermitAnswer,
  type PermitDemand,
} from "../../../core/forwarding/mod.ts";
import {
  type Check,
  isInteger,
  isListOf,
  isNumber,
  isObjectOf,
  isPositive,
  isRow,
  isText,
} from "../../../core/validation/mod.ts";

/** Notification that requests permits for an endpoint from its issuer. */
export const PERMIT_REQUEST_METHOD = "entry.permitRequest";
/** Notification that answers such a request. */
export const PERMIT_ANSWER_METHOD = "entry.permitAnswer";

export interface PermitRequestMessage {
  readonly entry: string;
  readonly id: number;
  readonly limit: LimitReport;
  /** Not empty. */
  readonly wanted: PermitDemand;
  readonly waiting: PermitDemand;
}

export interface PermitAnswerMessage extends PermitAnswer {
  readonly entry: string;
  readonly id: number;
}

const isDemand: Check<PermitDemand> = isListOf(
  isRow<PermitDemand[number]>([isNumber, isNumber]),
);

export const isPermitRequest = isObjectOf<PermitRequestMessage>({
  entry: isText,
  id: isNumber,
  limit: isLimitReport,
  wanted: (value): value is PermitDemand => isDemand(value) && value.length > 0,
  waiting: isDemand,
});

export const isPermitAnswer = isObjectOf<PermitAnswerMessage>({
  entry: isText,
  id: isNumber,
  granted: isInteger,
  retryMilliseconds: isNumber,
  expectedPerSecond: isPositive,
});
