/** All notifications that entries send each other: their types and checks. */
import type { CrashReport } from "../../../core/forwarding/mod.ts";
import type { ProcessId } from "../../../core/identity/mod.ts";
import type { Check } from "../../../core/validation/mod.ts";
import {
  CONFIGURATION_METHOD,
  type ConfigurationNotification,
  isConfigurationNotification,
} from "./configuration_notification.ts";
import {
  CRASHES_METHOD,
  isCrashReport,
  isTrialAnswer,
  isTrialNotification,
  isTrialProofs,
  isTrialRequest,
  TRIAL_ANSWER_METHOD,
  TRIAL_END_METHOD,
  TRIAL_PROOFS_METHOD,
  TRIAL_REQUEST_METHOD,
  type TrialAnswer,
  type TrialNotification,
  type TrialProofs,
  type TrialRequest,
} from "./crash_notification.ts";
import {
  isLoadAnswer,
  isLoadQuery,
  LOAD_ANSWER_METHOD,
  LOAD_QUERY_METHOD,
  type LoadAnswer,
  type LoadQuery,
} from "./load_notification.ts";
import {
  isPermitAnswer,
  isPermitRequest,
  PERMIT_ANSWER_METHOD,
  PERMIT_REQUEST_METHOD,
  type PermitAnswerMessage,
  type PermitRequestMessage,
} from "./permit_notification.ts";
import {
  isRegistrationNotification,
  type RegistrationNotification,
  REGISTRATIONS_METHOD,
} from "./registration_notification.ts";
import {
  isRoleNotification,
  type RoleNotification,
  ROLES_METHOD,
} from "./role_notification.ts";
import {
  isStreamAnswer,
  isStreamNotification,
  isStreamQuery,
  STREAM_ANSWER_METHOD,
  STREAM_QUERY_METHOD,
  type StreamAnswer,
  type StreamNotification,
  type StreamQuery,
  STREAMS_METHOD,
} from "./stream_notification.ts";
import {
  isReportsNotification,
  isUsageNotification,
  type ReportsNotification,
  USAGE_METHOD,
  USAGE_REPORTS_METHOD,
  type UsageNotification,
} from "./usage_notification.ts";
import {
  isVerdictNotification,
  type VerdictNotification,
  VERDICTS_METHOD,
} from "./verdict_notification.ts";
import {
  isVersionNotification,
  type VersionNotification,
  VERSIONS_METHOD,
} from "./version_notification.ts";
import {
  isWorkNotification,
  WORK_METHOD,
  type WorkNotification,
} from "./work_notification.ts";

/** Parameters of each notification, by its method. */
export interface NotificationParams {
  readonly [WORK_METHOD]: WorkNotification;
  readonly [VERDICTS_METHOD]: VerdictNotification;
  readonly [REGISTRATIONS_METHOD]: RegistrationNotification;
  readonly [ROLES_METHOD]: RoleNotification;
  readonly [CONFIGURATION_METHOD]: ConfigurationNotification;
  readonly [VERSIONS_METHOD]: VersionNotification;
  readonly [CRASHES_METHOD]: CrashReport;
  readonly [TRIAL_REQUEST_METHOD]: TrialRequest;
  readonly [TRIAL_ANSWER_METHOD]: TrialAnswer;
  readonly [TRIAL_END_METHOD]: TrialNotification;
  readonly [TRIAL_PROOFS_METHOD]: TrialProofs;
  readonly [USAGE_METHOD]: UsageNotification;
  readonly [USAGE_REPORTS_METHOD]: ReportsNotification;
  readonly [STREAMS_METHOD]: StreamNotification;
  readonly [STREAM_QUERY_METHOD]: StreamQuery;
  readonly [STREAM_ANSWER_METHOD]: StreamAnswer;
  readonly [PERMIT_REQUEST_METHOD]: PermitRequestMessage;
  readonly [PERMIT_ANSWER_METHOD]: PermitAnswerMessage;
  readonly [LOAD_QUERY_METHOD]: LoadQuery;
  readonly [LOAD_ANSWER_METHOD]: LoadAnswer;
}

export type NotificationMethod = keyof NotificationParams;

/** A notification to peers, which may be lost or reordered. */
export type Notification = {
  readonly [Method in NotificationMethod]: {
    readonly method: Method;
    readonly params: NotificationParams[Method];
  };
}[NotificationMethod];

/** Sends a notification to one entry; lost datagrams are not retried. */
export type SendToPeer = (peer: ProcessId, notification: Notification) => void;

/** Sends a notification to the entries at these addresses. */
export type SendToPeers = (
  addresses: readonly string[],
  notification: Notification,
) => void;

/** Sends a notification to all peers. */
export type Broadcast = (notification: Notification) => void;

/** Checks the parameters of each notification whole. */
export const NOTIFICATION_CHECKS: {
  readonly [Method in NotificationMethod]: Check<NotificationParams[Method]>;
} = {
  [WORK_METHOD]: isWorkNotification,
  [VERDICTS_METHOD]: isVerdictNotification,
  [REGISTRATIONS_METHOD]: isRegistrationNotification,
  [ROLES_METHOD]: isRoleNotification,
  [CONFIGURATION_METHOD]: isConfigurationNotification,
  [VERSIONS_METHOD]: isVersionNotification,
  [CRASHES_METHOD]: isCrashReport,
  [TRIAL_REQUEST_METHOD]: isTrialRequest,
  [TRIAL_ANSWER_METHOD]: isTrialAnswer,
  [TRIAL_END_METHOD]: isTrialNotification,
  [TRIAL_PROOFS_METHOD]: isTrialProofs,
  [USAGE_METHOD]: isUsageNotification,
  [USAGE_REPORTS_METHOD]: isReportsNotification,
  [STREAMS_METHOD]: isStreamNotification,
  [STREAM_QUERY_METHOD]: isStreamQuery,
  [STREAM_ANSWER_METHOD]: isStreamAnswer,
  [PERMIT_REQUEST_METHOD]: isPermitRequest,
  [PERMIT_ANSWER_METHOD]: isPermitAnswer,
  [LOAD_QUERY_METHOD]: isLoadQuery,
  [LOAD_ANSWER_METHOD]: isLoadAnswer,
};
