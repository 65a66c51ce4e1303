import type { RequestDigest } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { EndpointMemory } from "../endpoints/endpoint_registry.ts";
import type { EndpointRun } from "../endpoints/endpoint_runs.ts";
import { CrashReports } from "./crash_reports.ts";
import {
  digestOfLoss,
  keyOfRun,
  type ReportedLoss,
  runOfLoss,
} from "./reported_loss.ts";

/** Crashes under a request, one after another, before it is blocked. */
const CRASHES_UNTIL_BLOCKED = 3;
/** How long a request is blocked after the last crash under it. */
const BLOCK_MILLISECONDS = 10 * 60_000;
/** Behind its block a request has one trial: a further crash blocks it again. */
const MEMORY_MILLISECONDS = 2 * BLOCK_MILLISECONDS;
/** An endpoint that answers sooner than any process starts has not crashed. */
const ALIVE_MILLISECONDS = 1_000;
/** Suspects that are remembered. */
const MOST_SUSPECTS = 4_096;
/** Suspects reported to an entry that has just started. */
const MOST_BLOCKED_REPORTED = 16;

/** A request that is refused because endpoints crash under it. */
export interface BlockedRequest {
  readonly digest: RequestDigest;
  readonly losses: readonly ReportedLoss[];
}

export interface CrashSuspectsOptions {
  readonly timer: TimerService;
  /** A request is refused from now on; `isOwn`: also for losses seen here. */
  readonly onBlocked?: (
    blocked: BlockedRequest,
    options: { readonly isOwn: boolean },
  ) => void;
  /** An endpoint has run a request to its end here that was blocked. */
  readonly onCleared?: (digest: RequestDigest) => void;
}

interface Suspect {
  /** Losses by the run of the endpoint that they came with. */
  readonly losses: Map<string, ReportedLoss>;
  lastLossAt: number;
  /** True where this entry has seen one of the losses. */
  isOwn: boolean;
  /** True once it has been blocked. */
  wasBlocked: boolean;
}

interface LostRun {
  readonly at: number;
  readonly digests: Set<RequestDigest>;
}

/**
 * Requests under which endpoints have crashed, of all entries. A request is
 * known by its digest, as each retry has a new id. One in flight with it when
 * an endpoint crashed is a suspect too, until it is answered elsewhere.
 */
export class CrashSuspects implements EndpointMemory {
  readonly #options: CrashSuspectsOptions;
  /** The longest without a loss first. */
  readonly #suspects = new Map<RequestDigest, Suspect>();
  /** Runs lost so lately that they may turn out to be alive. */
  readonly #lostRuns = new Map<string, LostRun>();
  /** Pending reports to peers. */
  readonly reports: CrashReports;

  constructor(options: CrashSuspectsOptions) {
    this.#options = options;
    this.reports = new CrashReports(options.timer);
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
    const loss: ReportedLoss = [
      digest,
      run.id,
      run.startedAt ?? null,
      knownBefore + 1,
    ];
    if (this.#take(loss, { isOwn: true })) this.reports.addOwn(loss);
  }

  /** Crashes under the request, one after another; 0 where none is known. */
  crashesUnder(digest: RequestDigest): number {
    const suspect = this.#suspects.get(digest);
    return suspect === undefined ? 0 : crashesIn(suspect);
  }

  /** A peer has lost a request with a run of an endpoint. */
  peerLost(loss: ReportedLoss): void {
    const suspect = this.#suspects.get(digestOfLoss(loss));
    const wasBlocked = suspect !== undefined &&
      this.#blockedMilliseconds(suspect) > 0;
    const isNew = this.#take(loss, { isOwn: false });
    // The peer has sent on what is blocked here: it does not know all of it.
    if (isNew && wasBlocked) this.reports.add(suspect.losses.values());
  }

  /**
   * Takes what an entry has kept that may not run any more, blocked so long
   * ago. False where its block is over.
   */
  restore(
    losses: readonly ReportedLoss[],
    { ageMilliseconds }: { readonly ageMilliseconds: number },
  ): boolean {
    if (ageMilliseconds >= BLOCK_MILLISECONDS) return false;
    for (const loss of losses) this.peerLost(loss);
    return true;
  }

  /** The run has answered a request that was sent to it then. */
  answered(run: EndpointRun, sentAt: number): void {
    if (this.#lostRuns.size === 0) return;
    const key = keyOfRun(run);
    const lostRun = this.#lostRuns.get(key);
    if (lostRun === undefined || sentAt < lostRun.at) return;
    this.#lostRuns.delete(key);
    const now = this.#options.timer.now();
    if (now - lostRun.at > ALIVE_MILLISECONDS) return;
    for (const digest of lostRun.digests) this.#withdraw(digest, key);
  }

  /** The run takes no connections: it has ended, whatever answers later. */
  refusedConnection(run: EndpointRun): void {
    this.#lostRuns.delete(keyOfRun(run));
  }

  /** The run is over. */
  forget(endpoint: RegisteredEndpoint): void {
    this.#lostRuns.delete(keyOfRun(endpoint));
  }

  /** An endpoint has run the request to its end and lives. */
  completed(digest: RequestDigest): void {
    const suspect = this.#suspects.get(digest);
    if (suspect === undefined) return;
    this.peerCompleted(digest);
    this.reports.addCleared(digest);
    if (suspect.wasBlocked) this.#options.onCleared?.(digest);
  }

  /** The same, at a peer. */
  peerCompleted(digest: RequestDigest): void {
    this.#suspects.delete(digest);
    this.reports.drop(digest);
  }

  /** How long the request is still refused, milliseconds; 0: it is not. */
  blockedMilliseconds(digest: RequestDigest): number {
    const suspect = this.#suspects.get(digest);
    return suspect === undefined ? 0 : this.#blockedMilliseconds(suspect);
  }

  /** What a peer has to know that has just started. */
  lossesOfBlocked(): readonly ReportedLoss[] {
    return [...this.#suspects.values()]
      .filter((suspect) => this.#blockedMilliseconds(suspect) > 0)
      .slice(-MOST_BLOCKED_REPORTED)
      .flatMap(({ losses }) => [...losses.values()]);
  }

  /** False where the loss was known. */
  #take(loss: ReportedLoss, { isOwn }: { readonly isOwn: boolean }): boolean {
    const digest = digestOfLoss(loss);
    const key = keyOfRun(runOfLoss(loss));
    const at = this.#options.timer.now();
    const known = this.#suspects.get(digest);
    if (known?.losses.has(key)) return false;
    const suspect = known ??
      { losses: new Map(), lastLossAt: at, isOwn, wasBlocked: false };
    suspect.isOwn ||= isOwn;
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
      this.#options.onBlocked?.({ digest, losses }, { isOwn: suspect.isOwn });
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

  /** True where another crashing request was on all these runs, and on more. */
  #isExplained({ losses }: Suspect): boolean {
    for (const other of this.#suspects.values()) {
      const mayExplain = other.losses.size > losses.size &&
        crashesIn(other) >= CRASHES_UNTIL_BLOCKED;
      if (!mayExplain) continue;
      const keys = [...losses.keys()];
      if (keys.every((key) => other.losses.has(key))) return true;
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
