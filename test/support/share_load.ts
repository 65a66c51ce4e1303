import {
  type AvailabilityZoneId,
  identifier,
  type RequestId,
  type WorkspaceId,
} from "../../src/core/identity/mod.ts";
import { seededRandom } from "../../src/core/random/mod.ts";
import { EntryFleet } from "./entry_fleet.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "./forwarding_fixtures.ts";
import { SimulatedEngines } from "./simulated_engines.ts";
import type { WorkNotification } from "../../src/entry/forwarding/notifications/work_notification.ts";

const PREFILL_ENGINES = 20;
const DECODE_ENGINES = 9;
const TOKENS_PER_MILLISECOND = 41;
const TARGET_MILLISECONDS = 514;
const DEADLINE_MILLISECONDS = 2_055;
/** Callers honor Retry-After up to this share of their remaining time. */
const HONORED_SHARE = 1 / 3;
/** Interval at which callers that ignore Retry-After retry. */
const IMPATIENT_MILLISECONDS = 30;
const WARM_UP_MILLISECONDS = 2_500;
const SETTLE_MILLISECONDS = 3_000;
const MAX_TRIES = 12;
const YIELD_REASONS = new Set(["above_share", "more_urgent"]);

/** Report of a peer that has learned the speed of the engines. */
const KNOWN_SPEED: WorkNotification = {
  entry: "former-entry",
  incarnation: "1",
  sequence: 1,
  whole: true,
  work: [],
  prompts: [],
  refusals: [],
  speeds: [[ENGINES, 96, 0, 1 / TOKENS_PER_MILLISECOND, 0]],
};

/** Kinds of prompts; each has its own engine time in milliseconds. */
export const KINDS = {
  bulk: { rank: 2, milliseconds: 70 },
  urgent: { rank: 0, milliseconds: 30 },
  huge: { rank: 2, milliseconds: 210 },
} as const;
export type Kind = keyof typeof KINDS;

/** Requests of one workspace and kind. */
export interface LoadStream {
  readonly workspace: number;
  readonly kind?: Kind;
  /** Work asked for, relative to the capacity of the prefill engines. */
  readonly load: number | ((milliseconds: number) => number);
  /** Chooses an entry from a random number; any entry by default. */
  readonly entry?: (random: number) => number;
}

export interface ShareLoadOptions {
  readonly entries: number;
  readonly workspaces: number;
  readonly isFair?: boolean;
  /** Share of callers that ignore Retry-After. */
  readonly impatient?: number;
  readonly lossRate?: number;
}

/** Outcomes of the callers of one workspace and kind. */
export class Outcomes {
  asked = 0;
  onTime = 0;
  late = 0;
  /** Refusals at the entries; a caller may get several. */
  refusals = 0;
  /** Refusals later than an eighth of the target after the arrival. */
  refusalsAfterWait = 0;
  /** Of these, refusals of prompts that only yielded to others. */
  yieldsTooLong = 0;
  longestGapMilliseconds = 0;
  lastServedAt = 0;

  add(other: Outcomes): void {
    this.asked += other.asked;
    this.onTime += other.onTime;
    this.late += other.late;
    this.refusals += other.refusals;
    this.refusalsAfterWait += other.refusalsAfterWait;
    this.yieldsTooLong += other.yieldsTooLong;
    this.longestGapMilliseconds = Math.max(
      this.longestGapMilliseconds,
      other.longestGapMilliseconds,
    );
  }

  get onTimeShare(): number {
    return this.onTime / Math.max(1, this.asked);
  }

  get servedShare(): number {
    return (this.onTime + this.late) / Math.max(1, this.asked);
  }
}

interface Caller {
  readonly stream: LoadStream;
  readonly id: number;
  readonly arrivedAt: number;
  readonly isImpatient: boolean;
  readonly outcomes: Outcomes;
  tries: number;
}

/** Workspaces that compete for the prefill engines of a fleet of entries. */
export class ShareLoad {
  readonly fleet: EntryFleet;
  readonly engines: SimulatedEngines;
  readonly #outcomes = new Map<string, Outcomes>();
  readonly #options: ShareLoadOptions;
  readonly #random = seededRandom(17);
  #lastId = 0;
  #startedAt = 0;
  #prefillBefore = 0;
  /** Share of the prefill engines' time that was used. */
  capacityUsed = 0;

  constructor(options: ShareLoadOptions) {
    this.#options = options;
    const { entries, isFair = true, lossRate = 0, workspaces } = options;
    const kinds = Object.entries(KINDS);
    this.fleet = new EntryFleet({
      entries,
      zones: 3,
      lossRate,
      configuration: makeConfiguration({
        routes: kinds.map(([name, { rank }]) =>
          makeRoute({
            name,
            pathPrefix: `/${name}/`,
            repeat: "stream",
            resumable: true,
            rank,
            targetMilliseconds: TARGET_MILLISECONDS,
            timeoutMilliseconds: DEADLINE_MILLISECONDS,
            shares: [{ pool: ENGINES, weight: 1 }],
          })
        ),
        workspaces: Array.from({ length: workspaces }, (_, index) => ({
          id: identifier<WorkspaceId>(`workspace-${index}`),
          keys: [identifier(`key-${index}`)],
        })),
      }),
      endpoints: Array.from(
        { length: PREFILL_ENGINES + DECODE_ENGINES },
        (_, index) =>
          makeEngine(
            `engine-${index}`,
            index < PREFILL_ENGINES ? "prefill" : "decode",
            {
              slots: 64,
              availabilityZone: identifier<AvailabilityZoneId>(
                `zone-${index % 3}`,
              ),
            },
          ),
      ),
    });
    this.#teachSpeed();
    const workFactor = isFair ? 1 : undefined;
    this.engines = new SimulatedEngines(this.fleet, {
      slots: 64,
      tokensPerMillisecond: TOKENS_PER_MILLISECOND,
      head: { load: { running: 0, waiting: 0, slots: 64, workFactor } },
    });
  }

  /** Restarts every entry, which loses all counters. */
  restartEntries(): void {
    for (const index of this.fleet.entries.keys()) this.fleet.restart(index);
    this.#teachSpeed();
  }

  #teachSpeed(): void {
    for (const { peers } of this.fleet.entries) peers.onWork(KNOWN_SPEED);
  }

  /** Runs the streams for this long; counts only arrivals after the warm-up. */
  async run(streams: readonly LoadStream[], seconds: number): Promise<void> {
    const { timer } = this.fleet;
    const end = timer.now() + WARM_UP_MILLISECONDS + 1_000 * seconds;
    this.#startedAt = timer.now() + WARM_UP_MILLISECONDS;
    for (; timer.now() < end; await timer.advance(1)) {
      if (timer.now() === this.#startedAt) {
        this.#outcomes.clear();
        this.#prefillBefore = this.engines.prefillMilliseconds;
      }
      for (const stream of streams) {
        if (this.#random() < this.#rate(stream)) this.#arrive(stream);
      }
    }
    const used = this.engines.prefillMilliseconds - this.#prefillBefore;
    this.capacityUsed = used / (1_000 * seconds * PREFILL_ENGINES);
    await timer.advance(SETTLE_MILLISECONDS);
  }

  /** Outcomes of the workspaces and kinds that match, added up. */
  outcomes(
    matches: (workspace: number, kind: string) => boolean = () => true,
  ): Outcomes {
    const sum = new Outcomes();
    for (const [key, each] of this.#outcomes) {
      const [workspace, kind] = key.split(" ");
      if (matches(Number(workspace), kind)) sum.add(each);
    }
    return sum;
  }

  /** Arrivals of the stream per millisecond. */
  #rate({ kind = "bulk", load }: LoadStream): number {
    const now = this.fleet.timer.now() - this.#startedAt;
    const share = typeof load === "number" ? load : load(now);
    return share * PREFILL_ENGINES / KINDS[kind].milliseconds;
  }

  #arrive(stream: LoadStream): void {
    const { timer } = this.fleet;
    const key = `${stream.workspace} ${stream.kind ?? "bulk"}`;
    const outcomes = this.#outcomes.get(key) ?? new Outcomes();
    if (outcomes.asked === 0) outcomes.lastServedAt = timer.now();
    this.#outcomes.set(key, outcomes);
    outcomes.asked += 1;
    this.#submit({
      stream,
      id: ++this.#lastId,
      arrivedAt: timer.now(),
      isImpatient: this.#random() < (this.#options.impatient ?? 0),
      outcomes,
      tries: 0,
    });
  }

  #submit(caller: Caller): void {
    const { timer } = this.fleet;
    const { entry = (random: number) => random * this.#options.entries, kind } =
      caller.stream;
    const { outcomes } = caller;
    const sentAt = timer.now();
    const remaining = caller.arrivedAt + DEADLINE_MILLISECONDS - sentAt;
    const own = KINDS[kind ?? "bulk"].milliseconds * TOKENS_PER_MILLISECOND;
    caller.tries += 1;
    const sink = this.fleet.submit(
      Math.floor(entry(this.#random())),
      makeRequest({
        id: identifier<RequestId>(`request-${caller.id}-${caller.tries}`),
        target: `/${kind ?? "bulk"}/x`,
        deadlineMilliseconds: remaining,
        credentials: {
          kind: "key",
          digest: identifier(`key-${caller.stream.workspace}`),
        },
        prompt: {
          ...makePrompt(`s${caller.id}`, { shared: 0, own }),
          mostOutputTokens: 2,
        },
      }),
    );
    sink.head = () => {
      const now = timer.now();
      const isOnTime = now - caller.arrivedAt <= TARGET_MILLISECONDS;
      outcomes[isOnTime ? "onTime" : "late"] += 1;
      const gap = now - outcomes.lastServedAt;
      outcomes.longestGapMilliseconds = Math.max(
        outcomes.longestGapMilliseconds,
        gap,
      );
      outcomes.lastServedAt = now;
    };
    const retry = (after: number, reason: string) => {
      outcomes.refusals += 1;
      const waited = timer.now() - sentAt;
      if (waited > TARGET_MILLISECONDS / 8 + 1) {
        outcomes.refusalsAfterWait += 1;
        if (YIELD_REASONS.has(reason)) outcomes.yieldsTooLong += 1;
      }
      const left = remaining - waited;
      const wait = caller.isImpatient
        ? IMPATIENT_MILLISECONDS
        : Math.min(after, HONORED_SHARE * left);
      if (wait + IMPATIENT_MILLISECONDS >= left || caller.tries >= MAX_TRIES) {
        return;
      }
      timer.after(wait, () => this.#submit(caller));
    };
    sink.refuse = ({ reason, retryAfterMilliseconds }) => {
      if (retryAfterMilliseconds === undefined) return;
      retry(retryAfterMilliseconds, reason);
    };
  }
}

/** Streams of a power law with exponent 1.2 that together ask for the load. */
export function powerLaw(
  workspaces: number,
  load: number,
): (LoadStream & { readonly load: number })[] {
  const weights = Array.from(
    { length: workspaces },
    (_, index) => (index + 1) ** -1.2,
  );
  const sum = weights.reduce((total, each) => total + each, 0);
  return weights.map((weight, workspace) => ({
    workspace,
    load: load * weight / sum,
  }));
}
