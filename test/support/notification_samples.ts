/** One valid message of each notification between entries. */
import type {
  LimitReport,
  RegisteredEndpoint,
  ReportedLoss,
} from "../../src/core/forwarding/mod.ts";
import { type EndpointId, identifier } from "../../src/core/identity/mod.ts";
import type { NotificationParams } from "../../src/entry/forwarding/notifications/mod.ts";

export interface NotificationSampleOptions {
  /** Name of the entry that sends the messages. */
  readonly sender: string;
  /** An endpoint that the receiver knows; with a start time and a role. */
  readonly endpoint: RegisteredEndpoint;
  /** Number that differs from one message to the next. */
  readonly sequence: number;
}

export function makeNotifications(
  { endpoint, sender, sequence }: NotificationSampleOptions,
): NotificationParams {
  const { id, pool, softwareVersion, startedAt } = endpoint;
  const loss: ReportedLoss = [
    "digest",
    id,
    startedAt ?? null,
    1,
    20,
    30,
    false,
  ];
  const limit: LimitReport = [id, 10_000, 5, 3, startedAt];
  const trial = {
    entry: sender,
    holder: `${sender}#1#${sequence}`,
    digest: "digest",
  };
  const registered = { ...endpoint, slots: 1 + sequence % 32 };
  return {
    "entry.work": {
      entry: sender,
      incarnation: "1",
      sequence,
      whole: true,
      version: 1,
      work: [[id, 1, 20, 300, startedAt, [1, 0, 8, 100, 5, 3]]],
      prompts: [[id, 200_000, startedAt ?? 0, "all", 3_000, "own", 500]],
      refusals: [["prompt", 20, 300]],
      speeds: [[pool, 96, 0, 0.003, 0.09]],
      clock: Date.UTC(2026, 0, 1),
      losses: [loss],
      limits: [limit],
      outcomes: [[0, 5, 0, 1, 0, 20, 1]],
      verdicts: [[id, 50, 0.5, startedAt]],
      poolWork: [[pool, 1, 2, 3, 4, 5, 6]],
      shares: [[pool, [["workspace", 5, 3]]]],
    },
    "entry.verdicts": {
      entry: sender,
      verdicts: [[id, 50, 0.5, startedAt]],
    },
    "entry.registrations": {
      changes: [{ id, endpoint: registered }, {
        id: identifier<EndpointId>("gone"),
      }],
      span: { from: sequence, to: sequence + 2 },
    },
    "entry.roles": { orders: [[id, "prefill"]] },
    "entry.crashes": { losses: [loss], cleared: [["digest", 20]] },
    "entry.trialRequest": { ...trial, crashes: 1 },
    "entry.trialAnswer": {
      ...trial,
      isGranted: true,
      proofAge: 10,
      losses: [loss],
    },
    "entry.trialEnd": trial,
    "entry.trialProofs": { proofs: [["digest", 20]] },
    "entry.configuration": { entry: sender, version: 1, isCurrent: true },
    "entry.usage": {
      entry: sender,
      incarnation: "1",
      since: Date.UTC(2026, 0, 1),
      until: Date.UTC(2026, 0, 1) + 1_000,
      usage: [[sequence, [["workspace", 3]]]],
    },
    "entry.usage_reports": {
      claim: { holder: `${sender}#1`, offset: 1 },
      acceptedThrough: 1,
      fixed: [[1, [["workspace", 3]]]],
    },
    "entry.versions": {
      added: [[pool, softwareVersion]],
      removed: [[pool, "gone"]],
      isWhole: true,
    },
    "entry.streams": {
      origins: [[pool, softwareVersion], null],
      streams: [["stream", 0], ["other", 1]],
    },
    "entry.streamQuery": { entry: sender, id: sequence, stream: "stream" },
    "entry.streamAnswer": {
      entry: sender,
      id: sequence,
      stream: "stream",
      origin: [pool, softwareVersion],
    },
    "entry.permitRequest": {
      entry: sender,
      id: sequence,
      limit,
      wanted: [[0, 1]],
      waiting: [[0, 2]],
    },
    "entry.permitAnswer": {
      entry: sender,
      id: sequence,
      granted: 1,
      retryMilliseconds: 20,
      expectedPerSecond: 5,
    },
    "entry.loadQuestion": { entry: sender, id: sequence, endpoints: [id] },
    "entry.loadAnswer": {
      entry: sender,
      id: sequence,
      work: [[id, 1, 20, 300, startedAt]],
    },
  };
}
