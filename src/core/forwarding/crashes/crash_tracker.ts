import type { RequestDigest } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { EndpointStateHolder } from "../endpoints/endpoint_registry.ts";
import type { EndpointRun } from "../endpoints/endpoint_runs.ts";
import { CrashReports } from "./crash_reports.ts";
import {
  digestOfLoss,
  keyOfRun,
  type ReportedLoss,
  runOfLoss,
} from "./reported_loss.ts";

/** Number of successive crashes after which a request is blocked. */
const CRASHES_UNTIL_BLOCKED = 3;
/** Time that a request is blocked after its last crash. */
const BLOCK_MILLISECONDS = 10 * 60_000;
/**
 * Time that a suspect is kept after its last crash. After the block ends, the
 * request may run once more; a further crash blocks it again.
 */
const RETENTION_MILLISECONDS = 2 * BLOCK_MILLISECONDS;
/**
 * No process restarts faster than this, so an endpoint that answers sooner
 * after a loss has not crashed.
 */
const MIN_RESTART_MILLISECONDS = 1_000;
/** Maximum number of suspects. */
const MAX_SUSPECTS = 4_096;
/**
 * Maximum number of blocked requests reported to an entry that has just
 * started.
 */
const MAX_BLOCKED_REPORTED = 16;

/** A request that is refused because endpoints crash when they run it. */
export interface BlockedRequest {
  readonly digest: RequestDigest;
  readonly losses: readonly ReportedLoss[];
}

export interface CrashTrackerOptions {
  readonly timer: TimerService;
  /**
   * Called when a request becomes blocked; `isOwn` is true if this entry has
   * observed one of the losses.
   */
  readonly onBlocked?: (
    blocked: BlockedRequest,
    options: { readonly isOwn: boolean },
  ) => void;
  /** Called when an endpoint has completed a request here that was blocked. */
  readonly onCleared?: (digest: RequestDigest) => void;
}

interface Suspect {
  /** Losses by the run of the endpoint. */
  readonly losses: Map<string, ReportedLoss>;
  /** Runs of losses that do not count for a block yet. */
  readonly unconfirmed: Set<string>;
  lastLossAt: number;
  /** True if this entry has observed one of the losses. */
  isOwn: boolean;
  /** True once the request has been blocked. */
  wasBlocked: boolean;
}

interface LostRun {
  readonly lostAt: number;
  readonly digests: Set<RequestDigest>;
}

/**
 * Tracks requests that endpoints of all entries have crashed on. A request is
 * identified by its digest, as each retry has a new id. A request that was in
 * flight when an endpoint crashed is a suspect until another endpoint completes
 * it.
 */
export class CrashTracker implements EndpointStateHolder {
  readonly #options: CrashTrackerOptions;
  /** Ordered by the time of the last loss, the oldest first. */
  readonly #suspects = new Map<RequestDigest, Suspect>();
  /** Recently lost runs, which may turn out to be alive. */
  readonly #lostRuns = new Map<string, LostRun>();
  /** Pending reports to peers. */
  readonly reports: CrashReports;

  constructor(options: CrashTrackerOptions) {
    this.#options = options;
    this.reports = new CrashReports(options.timer);
  }

  /** Number of suspects; digests are only needed if it is not 0. */
  get size(): number {
    return this.#suspects.size;
  }

  /** Number of requests that are blocked now. */
  get blocked(): number {
    let count = 0;
    for (const suspect of this.#suspects.values()) {
      if (this.#blockedMilliseconds(suspect) > 0) count += 1;
    }
    return count;
  }

  /**
   * Records that the connection to a run broke with the request on it.
   * `knownBefore` is the value of `crashCount` when the request was sent there.
   * If the run may be alive, `isConfirmed` is false: the loss is not reported,
   * and does not count for a block, until `confirmLosses`.
   */
  lost(
    run: EndpointRun,
    { digest, knownBefore, isConfirmed = true }: {
      readonly digest: RequestDigest;
      readonly knownBefore: number;
      readonly isConfirmed?: boolean;
    },
  ): void {
    const loss: ReportedLoss = [
      digest,
      run.id,
      run.startedAt ?? null,
      knownBefore + 1,
    ];
    if (!this.#record(loss, { isOwn: true, isConfirmed })) return;
    if (isConfirmed) this.reports.addOwn(loss);
  }

  /** Counts and reports the losses of the run that were not retracted. */
  confirmLosses(run: EndpointRun): void {
    const key = keyOfRun(run);
    for (const [digest, suspect] of this.#suspects) {
      if (!suspect.unconfirmed.delete(key)) continue;
      const loss = suspect.losses.get(key);
      if (loss !== undefined) this.reports.addOwn(loss);
      this.#noteIfBlocked(digest, suspect);
    }
  }

  /** Number of successive crashes attributed to the request. */
  crashCount(digest: RequestDigest): number {
    const suspect = this.#suspects.get(digest);
    return suspect === undefined ? 0 : countCrashes(suspect.losses.values());
  }

  /** Records a loss that a peer has observed. */
  recordPeerLoss(loss: ReportedLoss): void {
    const suspect = this.#suspects.get(digestOfLoss(loss));
    const wasBlocked = suspect !== undefined &&
      this.#blockedMilliseconds(suspect) > 0;
    const isNew = this.#record(loss, { isOwn: false });
    // The peer has sent a request that is blocked here, so it does not know all
    // losses.
    if (isNew && wasBlocked) this.reports.add(suspect.losses.values());
  }

  /**
   * Restores the losses of a request that was blocked `ageMilliseconds` ago, as
   * stored by an entry that may no longer run. Returns false if the block is
   * over.
   */
  restore(
    losses: readonly ReportedLoss[],
    { ageMilliseconds }: { readonly ageMilliseconds: number },
  ): boolean {
    if (ageMilliseconds >= BLOCK_MILLISECONDS) return false;
    for (const loss of losses) this.recordPeerLoss(loss);
    return true;
  }

  /**
   * Records that the run has answered a request sent at `sentAt`; this retracts
   * recent losses with the run.
   */
  answered(run: EndpointRun, sentAt: number): void {
    if (this.#lostRuns.size === 0) return;
    const key = keyOfRun(run);
    const lostRun = this.#lostRuns.get(key);
    if (lostRun === undefined || sentAt < lostRun.lostAt) return;
    this.#lostRuns.delete(key);
    const now = this.#options.timer.now();
    if (now - lostRun.lostAt > MIN_RESTART_MILLISECONDS) return;
    for (const digest of lostRun.digests) this.#retract(digest, key);
  }

  /**
   * Records that the run refuses connections: it has ended, and later responses
   * at its address do not show that it is alive.
   */
  recordRefusedConnection(run: EndpointRun): void {
    this.#lostRuns.delete(keyOfRun(run));
  }

  /** Records that the run is over. */
  forget(endpoint: RegisteredEndpoint): void {
    this.#lostRuns.delete(keyOfRun(endpoint));
  }

  /** Records that an endpoint has completed the request without a crash. */
  recordCompletion(digest: RequestDigest): void {
    const suspect = this.#suspects.get(digest);
    if (suspect === undefined) return;
    this.recordPeerCompletion(digest);
    this.reports.addCleared(digest);
    if (suspect.wasBlocked) this.#options.onCleared?.(digest);
  }

  /** Records that a peer's endpoint has completed the request. */
  recordPeerCompletion(digest: RequestDigest): void {
    this.#suspects.delete(digest);
    this.reports.discard(digest);
  }

  /**
   * Remaining time of the block in milliseconds; 0 if the request is not
   * blocked.
   */
  blockedMilliseconds(digest: RequestDigest): number {
    const suspect = this.#suspects.get(digest);
    return suspect === undefined ? 0 : this.#blockedMilliseconds(suspect);
  }

  /** Losses of the blocked requests, for a peer that has just started. */
  blockedLosses(): readonly ReportedLoss[] {
    return [...this.#suspects.values()]
      .filter((suspect) => this.#blockedMilliseconds(suspect) > 0)
      .slice(-MAX_BLOCKED_REPORTED)
      .flatMap(confirmedLosses);
  }

  /** Returns false if the loss was already known. */
  #record(
    loss: ReportedLoss,
    { isOwn, isConfirmed = true }: {
      readonly isOwn: boolean;
      readonly isConfirmed?: boolean;
    },
  ): boolean {
    const digest = digestOfLoss(loss);
    const key = keyOfRun(runOfLoss(loss));
    const at = this.#options.timer.now();
    const known = this.#suspects.get(digest);
    if (known?.losses.has(key)) return false;
    const suspect = known ?? newSuspect(at);
    suspect.isOwn ||= isOwn;
    suspect.losses.set(key, loss);
    if (!isConfirmed) suspect.unconfirmed.add(key);
    suspect.lastLossAt = at;
    this.#suspects.delete(digest);
    this.#suspects.set(digest, suspect);
    this.#recordLostRun(key, { at, digest });
    this.#evict(at);
    this.#noteIfBlocked(digest, suspect);
    return true;
  }

  #noteIfBlocked(digest: RequestDigest, suspect: Suspect): void {
    const isBlockedNow = !suspect.wasBlocked &&
      this.#blockedMilliseconds(suspect) > 0;
    if (!isBlockedNow) return;
    suspect.wasBlocked = true;
    const losses = confirmedLosses(suspect);
    this.#options.onBlocked?.({ digest, losses }, { isOwn: suspect.isOwn });
  }

  #recordLostRun(
    key: string,
    { at, digest }: { readonly at: number; readonly digest: RequestDigest },
  ): void {
    const run = this.#lostRuns.get(key) ?? { lostAt: at, digests: new Set() };
    this.#lostRuns.set(key, run);
    run.digests.add(digest);
  }

  #evict(now: number): void {
    for (const [key, { lostAt }] of this.#lostRuns) {
      if (now - lostAt <= MIN_RESTART_MILLISECONDS) break;
      this.#lostRuns.delete(key);
    }
    for (const [digest, suspect] of this.#suspects) {
      const isExpired = now - suspect.lastLossAt > RETENTION_MILLISECONDS;
      const isOverLimit = this.#suspects.size > MAX_SUSPECTS;
      if (!isExpired && !isOverLimit) return;
      const isBlocked = this.#blockedMilliseconds(suspect) > 0;
      if (isExpired || !isBlocked) this.#suspects.delete(digest);
    }
  }

  #retract(digest: RequestDigest, key: string): void {
    const suspect = this.#suspects.get(digest);
    if (suspect === undefined) return;
    suspect.losses.delete(key);
    suspect.unconfirmed.delete(key);
    if (suspect.losses.size === 0) this.#suspects.delete(digest);
  }

  #blockedMilliseconds(suspect: Suspect): number {
    const crashes = countCrashes(confirmedLosses(suspect));
    if (crashes < CRASHES_UNTIL_BLOCKED) return 0;
    if (this.#isExplained(suspect)) return 0;
    const until = suspect.lastLossAt + BLOCK_MILLISECONDS;
    return Math.max(0, until - this.#options.timer.now());
  }

  /**
   * Returns whether another crashing request was in flight on all these runs,
   * and on more.
   */
  #isExplained({ losses }: Suspect): boolean {
    for (const other of this.#suspects.values()) {
      const mayExplain = other.losses.size > losses.size &&
        countCrashes(confirmedLosses(other)) >= CRASHES_UNTIL_BLOCKED;
      if (!mayExplain) continue;
      const keys = [...losses.keys()];
      if (keys.every((key) => other.losses.has(key))) return true;
    }
    return false;
  }
}

function newSuspect(at: number): Suspect {
  return {
    losses: new Map(),
    unconfirmed: new Set(),
    lastLossAt: at,
    isOwn: false,
    wasBlocked: false,
  };
}

function confirmedLosses({ losses, unconfirmed }: Suspect): ReportedLoss[] {
  return [...losses].flatMap(([key, loss]) =>
    unconfirmed.has(key) ? [] : [loss]
  );
}

/** At most the number of known runs, whatever crash number a peer reports. */
function countCrashes(losses: Iterable<ReportedLoss>): number {
  let last = 0;
  let runs = 0;
  for (const [, , , crash] of losses) {
    last = Math.max(last, crash);
    runs += 1;
  }
  return Math.min(last, runs);
}
