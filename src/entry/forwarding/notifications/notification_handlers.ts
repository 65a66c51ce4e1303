import type { CrashExchange } from "../crashes/crash_exchange.ts";
import type { TrialExchange } from "../crashes/trial_exchange.ts";
import type { ConfigurationSync } from "../configuration_sync.ts";
import type { LoadQueries } from "../load_queries.ts";
import type { PeerExchange } from "../peer_exchange.ts";
import type { RegistrationSync } from "../registration_sync.ts";
import type { RequestPermits } from "../request_permits.ts";
import type { RoleController } from "../role_controller.ts";
import type { StreamOriginExchange } from "../stream_origin_exchange.ts";
import type { UsageReporter } from "../usage_reporter.ts";
import type { VersionListing } from "../version_listing.ts";
import { CONFIGURATION_METHOD } from "./configuration_notification.ts";
import {
  CRASHES_METHOD,
  TRIAL_ANSWER_METHOD,
  TRIAL_END_METHOD,
  TRIAL_PROOFS_METHOD,
  TRIAL_REQUEST_METHOD,
} from "./crash_notification.ts";
import { LOAD_ANSWER_METHOD, LOAD_QUERY_METHOD } from "./load_notification.ts";
import type { NotificationHandlers } from "./notification_receiver.ts";
import {
  PERMIT_ANSWER_METHOD,
  PERMIT_REQUEST_METHOD,
} from "./permit_notification.ts";
import { REGISTRATIONS_METHOD } from "./registration_notification.ts";
import { ROLES_METHOD } from "./role_notification.ts";
import {
  STREAM_ANSWER_METHOD,
  STREAM_QUERY_METHOD,
  STREAMS_METHOD,
} from "./stream_notification.ts";
import { USAGE_METHOD, USAGE_REPORTS_METHOD } from "./usage_notification.ts";
import { VERDICTS_METHOD } from "./verdict_notification.ts";
import { VERSIONS_METHOD } from "./version_notification.ts";
import { WORK_METHOD } from "./work_notification.ts";

/** Parts of an entry that apply its peers' notifications. */
export interface NotificationParts {
  readonly configurationSync: ConfigurationSync;
  readonly crashes: CrashExchange;
  readonly loadQueries: LoadQueries;
  readonly peers: PeerExchange;
  readonly permits: RequestPermits;
  readonly registrationSync: RegistrationSync;
  /** Absent: engines keep their current roles. */
  readonly roleController: RoleController | undefined;
  readonly streams: StreamOriginExchange;
  readonly trials: TrialExchange;
  /** Absent: usage of workspaces is not reported. */
  readonly usageReporter: UsageReporter | undefined;
  readonly versions: VersionListing;
}

/** Handlers of all notifications that entries send each other. */
export function createNotificationHandlers(
  parts: NotificationParts,
): NotificationHandlers {
  const { crashes, loadQueries, peers, permits, streams, trials } = parts;
  return {
    [WORK_METHOD]: (params) => peers.onWork(params),
    [VERDICTS_METHOD]: (params) => peers.onVerdicts(params),
    [REGISTRATIONS_METHOD]: (params) =>
      parts.registrationSync.onPeerChanges(params),
    [ROLES_METHOD]: (params) => parts.roleController?.onPeerOrders(params),
    [CONFIGURATION_METHOD]: (params) =>
      parts.configurationSync.onNotification(params),
    [VERSIONS_METHOD]: (params) => parts.versions.onNotification(params),
    [CRASHES_METHOD]: (params) => crashes.onReport(params),
    [TRIAL_REQUEST_METHOD]: (params) => trials.onRequest(params),
    [TRIAL_ANSWER_METHOD]: (params) => trials.onAnswer(params),
    [TRIAL_END_METHOD]: (params) => trials.onEnd(params),
    [TRIAL_PROOFS_METHOD]: (params) => trials.onProofs(params),
    [USAGE_METHOD]: (params) => parts.usageReporter?.onCounts(params),
    [USAGE_REPORTS_METHOD]: (params) => parts.usageReporter?.onReports(params),
    [STREAMS_METHOD]: (params) => streams.onStreams(params),
    [STREAM_QUERY_METHOD]: (params) => streams.onQuery(params),
    [STREAM_ANSWER_METHOD]: (params) => streams.onAnswer(params),
    [PERMIT_REQUEST_METHOD]: (params) => permits.onRequest(params),
    [PERMIT_ANSWER_METHOD]: (params) => permits.onAnswer(params),
    [LOAD_QUERY_METHOD]: (params) => loadQueries.onQuery(params),
    [LOAD_ANSWER_METHOD]: (params) => loadQueries.onAnswer(params),
  };
}
