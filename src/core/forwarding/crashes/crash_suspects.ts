import type {
  EndpointId,
  ReplicaStart,
  RequestDigest,
} from "../../identity/mod.ts";
import { identifier } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { EndpointMemory } from "../endpoints/endpoint_registry.ts";
import type { EndpointRun } from "../endpoints/endpoint_runs.ts";

/** Crashes under a request, one after another, before it is blocked. */
const CRASHES_UNTIL_BLOCKED = 3;
/** How long a request is blocked after the last crash under it. */
const BLOCK_MILLISECONDS = 10 * 60_000;
/** Behind its block a request has one trial: a further crash blocks it again. */
const MEMORY_MILLISECONDS = 2 * BLOCK_MILLISECONDS;
/** An endpoint that answers sooner than any process starts has not crashed. */
const ALIVE_MILLISECONDS = 1_000;
/** Suspects that are remembered, about 300 bytes each. */
const MOST_SUSPECTS = 4_096;
/** Losses that one report to peers carries, about 60 bytes each. */
const MOST_TOLD = 64;
/** Losses that wait for the next reports. */
const MOST_UNTOLD = 512;
/** How long a loss is told again, in case its datagram was lost. */
const TOLD_AGAIN_MILLISECONDS = 3_000;
/** Suspects that an entry that has just started is told of. */
const MOST_BLOCKED_TOLD = 16;

/**
 * A request that was lost with a run of an endpoint, as peers tell of it. What
 * has the same `crash` number was lost at once: nobody who sent it knew of the
 * others. Endpoints that die together do not count as often as they are many.
 */
export type ToldLoss = readonly [
  digest: string,
  endpoint: string,
  startedAt: number | null,
  crash: number,
];

/** True where a peer's value is a loss. */
export function isToldLoss(value: unknown): value is ToldLoss {
  if (!Array.isArray(value)) return false;
  const [digest, endpoint, startedAt, crash] = value;
  return typeof digest === "string" && typeof endpoint === "string" &&
    (startedAt === null || Number.isFinite(startedAt)) &&
    Number.isInteger(crash);
}

/** A request that is refused because endpoints crash under it. */
export interface BlockedRequest {
  readonly digest: RequestDigest;
  readonly losses: readonly ToldLoss[];
}

export interface CrashSuspectsOptions {
  readonly timer: TimerService;
  /** A request is refused from now on; `isOwn`: for a loss of this entry. */
  readonly onBlocked?: (
    blocked: BlockedRequest,
    options: { readonly isOwn: boolean },
  ) => void;
}

interface Suspect {
  /** Losses by the run of the endpoint that they came with. */
  readonly losses: Map<string, ToldLoss>;
  lastLossAt: number;
  /** True once it has been blocked. */
  wasBlocked: boolean;
}

interface LostRun {
  readonly at: number;
  readonly digests: Set<RequestDigest>;
}

/**
 * Requests under which endpoints have crashed, of all entries. A request is
 * known by its digest, as each retry has a new id. One that was beside it when
 * an endpoint crashed is a suspect too, until it is answered elsewhere.
 */
export class CrashSuspects implements EndpointMemory {
  readonly #options: CrashSuspectsOptions;
  /** The longest without a loss first. */
  readonly #suspects = new Map<RequestDigest, Suspect>();
  /** Runs lost so lately that they may turn out to be alive. */
  readonly #lostRuns = new Map<string, LostRun>();
  readonly #own: { readonly loss: ToldLoss; readonly at: number }[] = [];
  readonly #untold: ToldLoss[] = [];
  #onUntold: () => void = () => {};

  constructor(options: CrashSuspectsOptions) {
    this.#options = options;
  }

  /** Digests need not be computed where this is 0. */
  get size(): number {
    return this.#suspects.size;
  }

  /** Requests that are refused now. */
  get blocked(): number {
    let count = 0;
    for (const suspect of this.#suspects.values()) {
      if (this.#blockedMilliseconds(suspect) > 0) count += 1;
    }
    return count;
  }

  /** True where there is something to tell peers. */
  get hasUntold(): boolean {
    return this.#untold.length > 0;
  }

  /** Calls back each time that there is something new to tell peers. */
  onUntold(listener: () => void): void {
    this.#onUntold = listener;
  }

  /**
   * A run has broken off with the request on it. `knownBefore` is what
   * `crashesUnder` gave when the request was sent there.
   */
  lost(
    run: EndpointRun,
    { digest, knownBefore }: {
      readonly digest: RequestDigest;
      readonly knownBefore: number;
    },
  ): void {
    const loss: ToldLoss = [
      digest,
      run.id,
      run.startedAt ?? null,
      knownBefore + 1,
    ];
    const at = this.#options.timer.now();
    if (this.#take(loss, { isOwn: true })) {
      this.#tell([loss]);
      if (this.#own.length < MOST_TOLD) this.#own.push({ loss, at });
    }
  }

  /** Crashes under the request, one after another; 0 where none is known. */
  crashesUnder(digest: RequestDigest): number {
    const suspect = this.#suspects.get(digest);
    return suspect === undefined ? 0 : crashesIn(suspect);
  }

  /** A peer has lost a request with a run of an endpoint. */
  peerLost(loss: ToldLoss): void {
    const suspect = this.#suspects.get(digestOf(loss));
    const wasBlocked = suspect !== undefined &&
      this.#blockedMilliseconds(suspect) > 0;
    const isNew = this.#take(loss, { isOwn: false });
    // The peer has sent on what is blocked here: it does not know all of it.
    if (isNew && wasBlocked) this.#tell(suspect.losses.values());
  }

  /** The run has answered a request that was sent to it then. */
  answered(run: EndpointRun, sentAt: number): void {
    if (this.#lostRuns.size === 0) return;
    const key = keyOf(run);
    const lostRun = this.#lostRuns.get(key);
    if (lostRun === undefined || sentAt < lostRun.at) return;
    this.#lostRuns.delete(key);
    const now = this.#options.timer.now();
    if (now - lostRun.at > ALIVE_MILLISECONDS) return;
    for (const digest of lostRun.digests) this.#withdraw(digest, key);
  }

  /** The run takes no connections: it has ended, whatever answers later. */
  refusedConnection(run: EndpointRun): void {
    this.#lostRuns.delete(keyOf(run));
  }

  /** The run is over. */
  forget(endpoint: RegisteredEndpoint): void {
    this.#lostRuns.delete(keyOf(endpoint));
  }

  /** An endpoint has run the request to its end and lives. */
  completed(digest: RequestDigest): void {
    this.#suspects.delete(digest);
  }

  /** How long the request is still refused, milliseconds; 0: it is not. */
  blockedMilliseconds(digest: RequestDigest): number {
    const suspect = this.#suspects.get(digest);
    return suspect === undefined ? 0 : this.#blockedMilliseconds(suspect);
  }

  /** Losses that peers have not been told, as many as a report carries. */
  takeUntold(): readonly ToldLoss[] {
    return this.#untold.splice(0, MOST_TOLD);
  }

  /** Own losses of the last seconds, for peers that missed the first report. */
  recentLosses(): readonly ToldLoss[] {
    const since = this.#options.timer.now() - TOLD_AGAIN_MILLISECONDS;
    while (this.#own.length > 0 && this.#own[0].at < since) this.#own.shift();
    return this.#own.map(({ loss }) => loss);
  }

  /** What a peer has to know that has just started. */
  lossesOfBlocked(): readonly ToldLoss[] {
    return [...this.#suspects.values()]
      .filter((suspect) => this.#blockedMilliseconds(suspect) > 0)
      .slice(-MOST_BLOCKED_TOLD)
      .flatMap(({ losses }) => [...losses.values()]);
  }

  #tell(losses: Iterable<ToldLoss>): void {
    for (const loss of losses) {
      if (this.#untold.length < MOST_UNTOLD) this.#untold.push(loss);
    }
    this.#onUntold();
  }

  /**
   * Takes what an entry has kept that may not run any more, blocked so long
   * ago. False where its block is over.
   */
  restore(
    losses: readonly ToldLoss[],
    { ageMilliseconds }: { readonly ageMilliseconds: number },
  ): boolean {
    if (ageMilliseconds >= BLOCK_MILLISECONDS) return false;
    for (const loss of losses) this.peerLost(loss);
    return true;
  }

  /** False where the loss was known. */
  #take(loss: ToldLoss, { isOwn }: { readonly isOwn: boolean }): boolean {
    const digest = digestOf(loss);
    const key = keyOf(runOf(loss));
    const at = this.#options.timer.now();
    const known = this.#suspects.get(digest);
    if (known?.losses.has(key)) return false;
    const suspect = known ??
      { losses: new Map(), lastLossAt: at, wasBlocked: false };
    suspect.losses.set(key, loss);
    suspect.lastLossAt = at;
    this.#suspects.delete(digest);
    this.#suspects.set(digest, suspect);
    this.#noteRun(key, { at, digest });
    this.#dropOld(at);
    const isBlockedNow = !suspect.wasBlocked &&
      this.#blockedMilliseconds(suspect) > 0;
    if (isBlockedNow) {
      suspect.wasBlocked = true;
      const losses = [...suspect.losses.values()];
      this.#options.onBlocked?.({ digest, losses }, { isOwn });
    }
    return true;
  }

  #noteRun(
    key: string,
    { at, digest }: { readonly at: number; readonly digest: RequestDigest },
  ): void {
    const run = this.#lostRuns.get(key) ?? { at, digests: new Set() };
    this.#lostRuns.set(key, run);
    run.digests.add(digest);
  }

  #dropOld(now: number): void {
    for (const [key, { at }] of this.#lostRuns) {
      if (now - at <= ALIVE_MILLISECONDS) break;
      this.#lostRuns.delete(key);
    }
    for (const [digest, suspect] of this.#suspects) {
      const isOld = now - suspect.lastLossAt > MEMORY_MILLISECONDS;
      const isTooMany = this.#suspects.size > MOST_SUSPECTS;
      if (!isOld && !isTooMany) return;
      const isBlocked = this.#blockedMilliseconds(suspect) > 0;
      if (isOld || !isBlocked) this.#suspects.delete(digest);
    }
  }

  #withdraw(digest: RequestDigest, key: string): void {
    const suspect = this.#suspects.get(digest);
    if (suspect === undefined) return;
    suspect.losses.delete(key);
    if (suspect.losses.size === 0) this.#suspects.delete(digest);
  }

  #blockedMilliseconds(suspect: Suspect): number {
    if (crashesIn(suspect) < CRASHES_UNTIL_BLOCKED) return 0;
    if (this.#isExplained(suspect)) return 0;
    const until = suspect.lastLossAt + BLOCK_MILLISECONDS;
    return Math.max(0, until - this.#options.timer.now());
  }

  /** True where another request was on all these runs, and on more. */
  #isExplained({ losses }: Suspect): boolean {
    for (const { losses: others } of this.#suspects.values()) {
      if (others.size <= losses.size) continue;
      if ([...losses.keys()].every((key) => others.has(key))) return true;
    }
    return false;
  }
}

/** No more than the runs that are known, whatever a peer has counted. */
function crashesIn({ losses }: Suspect): number {
  let last = 0;
  for (const [, , , crash] of losses.values()) last = Math.max(last, crash);
  return Math.min(last, losses.size);
}

function digestOf([digest]: ToldLoss): RequestDigest {
  return identifier<RequestDigest>(digest);
}

function runOf([, endpoint, startedAt]: ToldLoss): EndpointRun {
  return {
    id: identifier<EndpointId>(endpoint),
    startedAt: startedAt === null ? undefined : startedAt as ReplicaStart,
  };
}

function keyOf({ id, startedAt }: EndpointRun): string {
  return `${id}@${startedAt ?? ""}`;
}
