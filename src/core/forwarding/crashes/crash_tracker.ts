import type { SuspectDigest } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { EndpointStateHolder } from "../endpoints/endpoint_registry.ts";
import type { EndpointRun } from "../endpoints/endpoint_runs.ts";
import { CrashReports } from "./crash_reports.ts";
import { blockMilliseconds, MAX_BLOCK_MILLISECONDS } from "./block_time.ts";
import { type Culprits, findCulprits } from "./culprits.ts";
import { RecentProofs } from "./recent_proofs.ts";
import {
  digestOfLoss,
  keyOfRun,
  type ReportedLoss,
  type ReportedProof,
  runOfLoss,
} from "./reported_loss.ts";
import { Suspect, type SuspectLoss } from "./suspect.ts";

/**
 * Time that a suspect is kept after its last crash. After the block ends, it may
 * run once more; a further crash blocks it again.
 */
const RETENTION_MILLISECONDS = 2 * MAX_BLOCK_MILLISECONDS;
/** Number of lost runs after which a suspect runs once at a time. */
const LOST_RUNS_UNTIL_HELD = 2;
/** Number of lost runs from which a suspect may be a culprit or explain one. */
const LOST_RUNS_OF_REPEATER = 2;
/**
 * No process restarts faster than this, so an endpoint that answers sooner
 * after a loss has not crashed.
 */
const MIN_RESTART_MILLISECONDS = 1_000;
/** Maximum number of suspects. */
const MAX_SUSPECTS = 4_096;
/** Maximum number of suspects reported to an entry that has just started. */
const MAX_REPORTED_AT_START = 64;

/** A request or a part that is refused because endpoints crash on it. */
export interface BlockedSuspect {
  readonly digest: SuspectDigest;
  readonly losses: readonly ReportedLoss[];
}

/** Whether a request may be sent. */
export type CrashVerdict =
  | { readonly kind: "free" }
  /** It is blocked for this time. */
  | { readonly kind: "blocked"; readonly milliseconds: number }
  /** These suspects may run once at a time in the whole fleet. */
  | {
    readonly kind: "held";
    readonly digests: readonly SuspectDigest[];
    /** True if a crash would not show which suspect is its cause. */
    readonly isAmbiguous: boolean;
  };

export interface CrashTrackerOptions {
  readonly timer: TimerService;
  /**
   * Called when a block of a suspect begins; `isOwn` is true if this entry has
   * observed one of the losses.
   */
  readonly onBlocked?: (
    blocked: BlockedSuspect,
    options: { readonly isOwn: boolean },
  ) => void;
  /** Called when an endpoint has run a suspect here that was blocked. */
  readonly onCleared?: (digest: SuspectDigest) => void;
  /** Called for a recent run here of what others hold back as a suspect. */
  readonly onRecentProof?: (digest: SuspectDigest, beganAt: number) => void;
}

export interface LossOptions {
  readonly digest: SuspectDigest;
  /** True for a part that stands first in the prompt. */
  readonly isFirstPart?: boolean;
  /** Value of `crashCount` when the request was sent there. */
  readonly knownBefore: number;
  /** Time from the first byte of the response, milliseconds. */
  readonly lasted?: number;
  /**
   * False if the run may be alive: the loss is not reported, and does not count
   * for a block, until `confirmLosses`.
   */
  readonly isConfirmed?: boolean;
}

interface LostRun {
  readonly lostAt: number;
  readonly digests: Set<SuspectDigest>;
}

const FREE: CrashVerdict = { kind: "free" };

/**
 * Tracks what endpoints of all entries have crashed on: whole requests, known by
 * a digest as each retry has a new id, and parts of prompts, which requests
 * share that are otherwise different. Whatever was in flight when an endpoint
 * crashed is a suspect until a run of it that began later does not crash.
 */
export class CrashTracker implements EndpointStateHolder {
  readonly #options: CrashTrackerOptions;
  /** Ordered by the time of the last loss, the oldest first. */
  readonly #suspects = new Map<SuspectDigest, Suspect>();
  /** Suspects that several runs were lost with. */
  readonly #repeaters = new Set<Suspect>();
  /** Recently lost runs, which may turn out to be alive. */
  readonly #lostRuns = new Map<string, LostRun>();
  /** Runs that have not crashed for a while. */
  readonly #proofs: RecentProofs;
  /** Runs that have disproved the losses before them. */
  readonly #acquittals: RecentProofs;
  readonly #listeners = new Set<() => void>();
  #culprits: Culprits = findCulprits([]);
  /** Pending reports to peers. */
  readonly reports: CrashReports;

  constructor(options: CrashTrackerOptions) {
    this.#options = options;
    this.#proofs = new RecentProofs(options.timer);
    this.#acquittals = new RecentProofs(options.timer);
    this.reports = new CrashReports(options.timer);
  }

  /** Number of suspects; digests are only needed if it is not 0. */
  get size(): number {
    return this.#suspects.size;
  }

  /** Number of requests and parts that are blocked now. */
  get blocked(): number {
    return this.#blockedSuspects().length;
  }

  /** Number of suspects that may run once at a time now. */
  get held(): number {
    return [...this.#suspects.values()]
      .filter((each) => this.#isHeld(each)).length;
  }

  /** Calls the listener after each change; returns how to stop that. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Records that the connection to a run broke with the request on it. */
  lost(run: EndpointRun, options: LossOptions): void {
    const { digest, isConfirmed = true, knownBefore, lasted = 0 } = options;
    const { isFirstPart = false } = options;
    const lostAt = this.#options.timer.now();
    const crash = knownBefore + 1;
    const loss = { run, crash, lostAt, lasted, isConfirmed };
    const suspect = this.#record(digest, { isFirstPart, loss });
    if (suspect === undefined) return;
    suspect.isOwn = true;
    if (isConfirmed) this.reports.addOwn(suspect.encode(loss, lostAt));
    this.#changed();
  }

  /**
   * Counts and reports the losses of the run until `lostUntil` that were not
   * retracted.
   */
  confirmLosses(
    run: EndpointRun,
    { lostUntil = Infinity }: { readonly lostUntil?: number } = {},
  ): void {
    const key = keyOfRun(run);
    const now = this.#options.timer.now();
    let isChanged = false;
    for (const suspect of this.#suspects.values()) {
      const loss = suspect.confirm(key, lostUntil);
      if (loss === undefined) continue;
      this.reports.addOwn(suspect.encode(loss, now));
      isChanged = true;
    }
    if (isChanged) this.#changed();
  }

  /** Number of successive crashes attributed to the request or part. */
  crashCount(digest: SuspectDigest): number {
    return this.#suspects.get(digest)?.crashes ?? 0;
  }

  /** Records losses that a peer has observed. */
  recordPeerLosses(losses: readonly ReportedLoss[]): void {
    const now = this.#options.timer.now();
    let isChanged = false;
    for (const reported of losses) {
      const digest = digestOfLoss(reported);
      const known = this.#suspects.get(digest);
      const wasBlocked = known !== undefined &&
        this.#blockedMilliseconds(known) > 0;
      const [, , , crash, lasted = 0, ago = 0] = reported;
      const isFirstPart = reported[6] ?? false;
      const run = runOfLoss(reported);
      const lostAt = now - Math.max(0, ago);
      const loss = { run, crash, lostAt, lasted, isConfirmed: true };
      if (this.#record(digest, { isFirstPart, loss }) === undefined) continue;
      isChanged = true;
      // The peer has sent what is blocked here, so it does not know all losses.
      if (wasBlocked) this.reports.add(known.report(now));
    }
    if (isChanged) this.#changed();
  }

  /**
   * Restores the losses of a suspect that was blocked `ageMilliseconds` ago, as
   * stored by an entry that may no longer run. Returns false if the block is
   * over.
   */
  restore(
    losses: readonly ReportedLoss[],
    { ageMilliseconds }: { readonly ageMilliseconds: number },
  ): boolean {
    if (ageMilliseconds >= MAX_BLOCK_MILLISECONDS) return false;
    const aged = losses.map((loss): ReportedLoss => {
      const [digest, endpoint, startedAt, crash, lasted = 0, ago = 0, isFirst] =
        loss;
      const age = ago + Math.max(0, ageMilliseconds);
      return [digest, endpoint, startedAt, crash, lasted, age, isFirst];
    });
    this.recordPeerLosses(aged);
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
    this.#changed();
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

  /**
   * Records that an endpoint has run a request to its end, and began to write
   * the response at `beganAt`.
   */
  recordCompletion(
    digests: readonly SuspectDigest[],
    beganAt = this.#options.timer.now(),
  ): void {
    let isChanged = false;
    for (const digest of digests) {
      const suspect = this.#suspects.get(digest);
      if (suspect === undefined) continue;
      isChanged = this.#acquit(suspect, beganAt) || isChanged;
      if (suspect.lostRuns === 0) this.#suspects.delete(digest);
    }
    if (isChanged) this.#changed();
  }

  /** Records that a run which began at `beganAt` has not crashed for a while. */
  recordProof(digests: readonly SuspectDigest[], beganAt: number): void {
    for (const digest of digests) {
      this.#proofs.record(digest, beganAt);
      this.#offerProof(digest);
    }
  }

  /** Records recent runs at a peer, which do not disprove a loss. */
  recordPeerProofs(proofs: readonly ReportedProof[]): void {
    const now = this.#options.timer.now();
    for (const [digest, ago] of proofs) {
      const beganAt = now - Math.max(0, ago);
      this.#proofs.record(digest as SuspectDigest, beganAt);
    }
    if (proofs.length > 0) this.#notify();
  }

  /** Time since the last run that did not crash; undefined if it is not recent. */
  recentProofAge(digest: SuspectDigest): number | undefined {
    if (!this.#proofs.isRecent(digest)) return undefined;
    return this.#options.timer.now() - this.#proofs.beganAt(digest);
  }

  /**
   * Records that a response which began at `beganAt` is still written. A run
   * that is written for longer than all lost ones has not crashed.
   */
  recordProgress(digests: readonly SuspectDigest[], beganAt: number): void {
    const lasted = this.#options.timer.now() - beganAt;
    let isChanged = false;
    for (const digest of digests) {
      const suspect = this.#suspects.get(digest);
      if (suspect === undefined || lasted < suspect.survivalMilliseconds) {
        continue;
      }
      isChanged = this.#acquit(suspect, beganAt) || isChanged;
    }
    if (isChanged) this.#changed();
  }

  /** Records runs at a peer that disprove the losses before them. */
  recordPeerAcquittals(proofs: readonly ReportedProof[]): void {
    const now = this.#options.timer.now();
    for (const [digest, ago] of proofs) {
      const suspect = this.#suspects.get(digest as SuspectDigest);
      const beganAt = now - Math.max(0, ago);
      this.#proofs.record(digest as SuspectDigest, beganAt);
      this.#acquittals.record(digest as SuspectDigest, beganAt);
      this.reports.discard(digest as SuspectDigest, beganAt);
      if (suspect === undefined) continue;
      this.#recordCleared(suspect, beganAt);
      if (suspect.lostRuns === 0) this.#suspects.delete(suspect.digest);
    }
    if (proofs.length > 0) this.#changed();
  }

  /** Whether a request with these digests may be sent now. */
  verdictOn(digests: readonly SuspectDigest[]): CrashVerdict {
    if (this.#suspects.size === 0) return FREE;
    const suspects = digests.flatMap((each) => this.#suspects.get(each) ?? []);
    const milliseconds = Math.max(
      0,
      ...suspects.map((each) => this.#blockedMilliseconds(each)),
    );
    if (milliseconds > 0) return { kind: "blocked", milliseconds };
    const held = suspects.filter((each) => this.#isHeld(each));
    if (held.length === 0) return FREE;
    return {
      kind: "held",
      digests: held.map(({ digest }) => digest).sort(),
      isAmbiguous: suspects.filter((each) => this.#mayBeCause(each)).length > 1,
    };
  }

  /** False once losses are disproved, or while runs do not crash elsewhere. */
  #mayBeCause({ digest, lostRuns }: Suspect): boolean {
    return lostRuns > 0 && !this.#proofs.isRecent(digest);
  }

  /**
   * Remaining time of the block of a request with these digests in
   * milliseconds; 0 if it is not blocked.
   */
  blockedMilliseconds(digests: readonly SuspectDigest[]): number {
    const verdict = this.verdictOn(digests);
    return verdict.kind === "blocked" ? verdict.milliseconds : 0;
  }

  /** Losses of what is blocked or held, for a peer that has just started. */
  seriousLosses(): readonly ReportedLoss[] {
    const now = this.#options.timer.now();
    const suspects = [...this.#suspects.values()].reverse();
    const blocked = this.#blockedSuspects();
    const held = suspects.filter((each) =>
      !blocked.includes(each) && this.#isHeld(each)
    );
    return [...blocked, ...held].slice(0, MAX_REPORTED_AT_START)
      .flatMap((suspect) => suspect.report(now));
  }

  /** Losses of one suspect, for a peer that knows fewer of them. */
  lossesOf(digest: SuspectDigest): readonly ReportedLoss[] {
    return this.#suspects.get(digest)?.report(this.#options.timer.now()) ?? [];
  }

  /** Returns the suspect; undefined if the loss was known or is disproved. */
  #record(
    digest: SuspectDigest,
    { isFirstPart, loss }: {
      readonly isFirstPart: boolean;
      readonly loss: SuspectLoss;
    },
  ): Suspect | undefined {
    if (this.#acquittals.beganAt(digest) >= loss.lostAt) return undefined;
    const suspect = this.#suspects.get(digest) ??
      new Suspect(digest, { isFirstPart });
    if (!suspect.record(loss)) return undefined;
    this.#suspects.delete(digest);
    this.#suspects.set(digest, suspect);
    if (suspect.lostRuns >= LOST_RUNS_OF_REPEATER) this.#repeaters.add(suspect);
    this.#recordLostRun(loss, digest);
    this.#evict(this.#options.timer.now());
    this.#offerProof(digest);
    return suspect;
  }

  /** Tells of a recent run here of what may be held back elsewhere. */
  #offerProof(digest: SuspectDigest): void {
    const suspect = this.#suspects.get(digest);
    if (suspect === undefined || suspect.lostRuns < LOST_RUNS_UNTIL_HELD) {
      return;
    }
    if (!this.#proofs.isRecent(digest)) return;
    this.#options.onRecentProof?.(digest, this.#proofs.beganAt(digest));
  }

  #recordLostRun({ lostAt, run }: SuspectLoss, digest: SuspectDigest): void {
    const key = keyOfRun(run);
    const lostRun = this.#lostRuns.get(key) ?? { lostAt, digests: new Set() };
    this.#lostRuns.set(key, lostRun);
    lostRun.digests.add(digest);
  }

  /** Drops the losses before `beganAt`; returns false if there are none. */
  #recordCleared(suspect: Suspect, beganAt: number): boolean {
    const runs = suspect.acquit(beganAt);
    if (runs.length === 0) return false;
    for (const other of this.#suspects.values()) {
      if (other === suspect || !other.isFirstPart) continue;
      other.recordOtherCleared(suspect, { beganAt, runs });
    }
    return true;
  }

  #acquit(suspect: Suspect, beganAt: number): boolean {
    if (!this.#recordCleared(suspect, beganAt)) return false;
    const { digest } = suspect;
    this.#proofs.record(digest, beganAt);
    this.#acquittals.record(digest, beganAt);
    this.reports.discard(digest, beganAt);
    this.reports.addCleared(digest, beganAt);
    if (suspect.wasBlocked && suspect.lostRuns === 0) {
      suspect.blockedUntil = undefined;
      this.#options.onCleared?.(digest);
    }
    return true;
  }

  /** Finds the culprits again, as losses or proofs have changed. */
  #changed(): void {
    for (const each of this.#repeaters) {
      const isKnown = this.#suspects.get(each.digest) === each;
      if (!isKnown || each.lostRuns < LOST_RUNS_OF_REPEATER) {
        this.#repeaters.delete(each);
      }
    }
    this.#culprits = findCulprits(this.#repeaters);
    for (const each of this.#blockedSuspects()) this.#noteBlocked(each);
    this.#notify();
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  #noteBlocked(suspect: Suspect): void {
    const { blockedUntil = -Infinity, digest, isOwn } = suspect;
    const now = this.#options.timer.now();
    suspect.blockedAt ??= now;
    suspect.blockedUntil = now + this.#blockedMilliseconds(suspect);
    if (blockedUntil > now) return;
    const losses = suspect.report(now);
    this.#options.onBlocked?.({ digest, losses }, { isOwn });
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

  #retract(digest: SuspectDigest, run: string): void {
    const suspect = this.#suspects.get(digest);
    if (suspect === undefined) return;
    suspect.retract(run);
    if (suspect.lostRuns === 0) this.#suspects.delete(digest);
  }

  /**
   * True if the suspect has to show that it is no cause: it may have crashed
   * several endpoints, or its block has ended.
   */
  #isHeld(suspect: Suspect): boolean {
    if (suspect.wasBlocked && suspect.lostRuns > 0) {
      return this.#blockedMilliseconds(suspect) === 0;
    }
    const unexplained = suspect.confirmedRuns
      .filter((run) => !this.#culprits.explains(run, suspect));
    return unexplained.length >= LOST_RUNS_UNTIL_HELD &&
      !this.#proofs.isRecent(suspect.digest);
  }

  #blockedSuspects(): Suspect[] {
    return [...this.#culprits.suspects].filter((each) =>
      this.#blockedMilliseconds(each) > 0
    );
  }

  #blockedMilliseconds(suspect: Suspect): number {
    if (!this.#culprits.suspects.has(suspect)) return 0;
    const until = suspect.lastLossAt + blockMilliseconds(suspect);
    return Math.max(0, until - this.#options.timer.now());
  }
}
