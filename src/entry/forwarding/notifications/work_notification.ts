/** Encoding of the work notifications between entries. */
import {
  type EndpointRegistry,
  isLimitReport,
  isOutcomeRows,
  isPoolShareRows,
  isPrefillSpeedReport,
  isReportedLoss,
  isRoleWorkReport,
  isVerdictRows,
  type LimitReport,
  type OutcomeRow,
  type PeerWork,
  type PoolShareRows,
  type PrefillSpeedReport,
  type RefusalReport,
  type ReportedLoss,
  type RoleWorkReport,
  type VerdictRow,
  type WorkReport,
} from "../../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  type ReplicaStartTime,
} from "../../../core/identity/mod.ts";
import {
  type Check,
  isBoolean,
  isCount,
  isListOf,
  isNumber,
  isObjectOf,
  isOptional,
  isRow,
  isText,
} from "../../../core/validation/mod.ts";
import { isLoadReportValues, type LoadReportValues } from "./load_values.ts";
import { type EncodedPrompt, isEncodedPrompt } from "./prompt_encoding.ts";

/** Notification that carries an entry's open work. */
export const WORK_METHOD = "entry.work";

/** Report of an entry to its peers. */
export interface WorkNotification extends Omit<PeerWork, "work"> {
  readonly entry: string;
  readonly work: readonly WorkRowWithRun[];
  /** Version of the configuration in force there; absent if there is none. */
  readonly version?: number;
  /**
   * Prompts prefilled since the last report. If one is lost, a shared part may
   * be prefilled twice.
   */
  readonly prompts: readonly EncodedPrompt[];
  /** Speed estimates of engines; sent with full reports. */
  readonly speeds?: readonly PrefillSpeedReport[];
  /**
   * Prompts refused since the last report; their callers may retry elsewhere.
   */
  readonly refusals: readonly RefusalReport[];
  /** The sender's wall clock in Unix milliseconds; sent with full reports. */
  readonly clock?: number;
  /** Requests recently lost with endpoints; sent with full reports. */
  readonly losses?: readonly ReportedLoss[];
  /**
   * Request limits of endpoints that have changed since the last report. If one
   * is lost, its receivers learn the limit from the endpoint's next response.
   */
  readonly limits?: readonly LimitReport[];
  /** Outcomes since the last report at endpoints that the receiver owns. */
  readonly outcomes?: readonly OutcomeRow[];
  /**
   * The sender's verdicts in force; sent with the report after a change and
   * with full reports.
   */
  readonly verdicts?: readonly VerdictRow[];
  /**
   * What the sender's callers have asked of adaptive pools; sent with
   * full reports to the entries that plan roles.
   */
  readonly poolWork?: readonly RoleWorkReport[];
  /**
   * Work of workspaces since their last rows; sent with full reports. If one is
   * lost, the receiver's counters are too low until they have decayed.
   */
  readonly shares?: readonly PoolShareRows[];
}

/**
 * Work at an endpoint as sent to peers, with the start time of the endpoint's
 * run if known. A replica that restarts under the same id has none of this
 * work. Rows to and from the endpoint's owner may have a load report.
 */
export type WorkRowWithRun = readonly [
  ...WorkReport[number],
  startedAt?: ReplicaStartTime,
  load?: LoadReportValues,
];

/** Adds the current run of each endpoint to its row. */
export function withRuns(
  registry: EndpointRegistry,
  report: WorkReport,
): WorkRowWithRun[] {
  return report.map((work) => {
    const startedAt = registry.get(identifier<EndpointId>(work[0]))?.startedAt;
    return startedAt === undefined ? work : [...work, startedAt];
  });
}

/** A peer's work at endpoints that it knows in the same run as this entry. */
export function workOfSameRuns(
  registry: EndpointRegistry,
  rows: readonly WorkRowWithRun[],
): WorkReport {
  return rows
    .filter(([endpoint, , , , startedAt]) =>
      registry.isSameRun({ id: identifier<EndpointId>(endpoint), startedAt })
    )
    .map(([endpoint, requests, prefill, tokens]) =>
      [endpoint, requests, prefill, tokens] as const
    );
}

/** Checks that the value is a list of work rows. */
export const isWorkRows: Check<readonly WorkRowWithRun[]> = isListOf(
  isRow<WorkRowWithRun>([
    isText,
    isNumber,
    isNumber,
    isNumber,
    isOptional(isNumber<ReplicaStartTime>),
    isOptional(isLoadReportValues),
  ]),
);

const isRefusalReport = isRow<RefusalReport>([
  isText,
  isNumber,
  isOptional(isNumber),
]);

/** Checks that the value is a valid work notification. */
export const isWorkNotification = isObjectOf<WorkNotification>({
  entry: isText,
  incarnation: isText,
  sequence: isNumber,
  whole: isBoolean,
  work: isWorkRows,
  version: isOptional(isCount),
  prompts: isListOf(isEncodedPrompt),
  speeds: isOptional(isListOf(isPrefillSpeedReport)),
  refusals: isListOf(isRefusalReport),
  clock: isOptional(isNumber),
  losses: isOptional(isListOf(isReportedLoss)),
  limits: isOptional(isListOf(isLimitReport)),
  outcomes: isOptional(isOutcomeRows),
  verdicts: isOptional(isVerdictRows),
  poolWork: isOptional(isListOf(isRoleWorkReport)),
  shares: isOptional(isListOf(isPoolShareRows)),
});
