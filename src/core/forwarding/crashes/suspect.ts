import type { SuspectDigest } from "../../identity/mod.ts";
import type { EndpointRun } from "../endpoints/endpoint_runs.ts";
import { keyOfRun, type ReportedLoss } from "./reported_loss.ts";

/** Time beyond the longest lost run that shows that a run does not crash. */
export const SURVIVAL_MARGIN_MILLISECONDS = 250;

/** The loss of a suspect with one run of an endpoint. */
export interface SuspectLoss {
  readonly run: EndpointRun;
  /** Successive number of the crash; simultaneous crashes share one. */
  readonly crash: number;
  /** When the run was lost, milliseconds. */
  readonly lostAt: number;
  /**
   * Shortest time that the suspect had been written on there, milliseconds: the
   * request that began last is the likely cause.
   */
  lasted: number;
  /** False while the run may be alive. */
  isConfirmed: boolean;
  /**
   * True if something else that was lost with the run has been cleared of it
   * since, while this suspect could run as well, or if the run was a trial.
   */
  isConclusive?: boolean;
}

/** Number of conclusive losses with which a first part stands out. */
const MIN_CONCLUSIVE_LOSSES = 2;

/**
 * A request or a part of prompts that was in flight when endpoints crashed, with
 * the losses that nothing has disproved since.
 */
export class Suspect {
  readonly digest: SuspectDigest;
  /** True for a part that stands first in prompts; most requests share it. */
  readonly isFirstPart: boolean;
  /** True if this entry has observed one of the losses. */
  isOwn = false;
  /** Start of its first block, milliseconds; undefined if it was not blocked. */
  blockedAt: number | undefined;
  /** End of its last block, milliseconds; undefined if it was not blocked. */
  blockedUntil: number | undefined;
  lastLossAt = -Infinity;
  readonly #losses = new Map<string, SuspectLoss>();
  /** Longest run that was lost before a proof, milliseconds. */
  #longestDisproved = 0;

  constructor(
    digest: SuspectDigest,
    { isFirstPart }: { readonly isFirstPart: boolean },
  ) {
    this.digest = digest;
    this.isFirstPart = isFirstPart;
  }

  get wasBlocked(): boolean {
    return this.blockedUntil !== undefined;
  }

  /** Number of runs that were lost. */
  get lostRuns(): number {
    return this.#losses.size;
  }

  /**
   * True for a first part that no run has cleared of its losses, while others
   * that were lost beside it have been cleared of them. A sound part that many
   * requests share is cleared among the first.
   */
  get standsOut(): boolean {
    const conclusive = [...this.#losses.values()]
      .filter(({ isConfirmed, isConclusive }) => isConfirmed && isConclusive);
    return this.isFirstPart && conclusive.length >= MIN_CONCLUSIVE_LOSSES;
  }

  /** Keys of the runs whose loss is confirmed. */
  get confirmedRuns(): readonly string[] {
    return [...this.#losses].flatMap(([key, { isConfirmed }]) =>
      isConfirmed ? [key] : []
    );
  }

  /** Number of successive crashes, including those not confirmed yet. */
  get crashes(): number {
    return countCrashes(this.#losses.values());
  }

  /** Number of successive crashes on these runs that are confirmed. */
  confirmedCrashes(isCounted: (run: string) => boolean = () => true): number {
    const counted = [...this.#losses].flatMap(([key, loss]) =>
      loss.isConfirmed && isCounted(key) ? [loss] : []
    );
    return countCrashes(counted);
  }

  /**
   * Time that a run has to be written for to show that it does not crash,
   * milliseconds.
   */
  get survivalMilliseconds(): number {
    return this.#longestLost + SURVIVAL_MARGIN_MILLISECONDS;
  }

  get #longestLost(): number {
    const times = [...this.#losses.values()].map(({ lasted }) => lasted);
    return Math.max(this.#longestDisproved, ...times);
  }

  /** Returns false if the loss was already known. */
  record(loss: SuspectLoss): boolean {
    const key = keyOfRun(loss.run);
    const known = this.#losses.get(key);
    if (known !== undefined) known.lasted = Math.min(known.lasted, loss.lasted);
    else {
      const isConclusive = this.#isTrial(loss);
      this.#losses.set(key, { ...loss, isConclusive });
      this.lastLossAt = Math.max(this.lastLossAt, loss.lostAt);
    }
    return known === undefined;
  }

  /**
   * Confirms the loss of the run if it came by `lostUntil`; returns it if it was
   * not confirmed before.
   */
  confirm(run: string, lostUntil: number): SuspectLoss | undefined {
    const loss = this.#losses.get(run);
    if (loss === undefined || loss.isConfirmed) return undefined;
    if (loss.lostAt > lostUntil) return undefined;
    loss.isConfirmed = true;
    return loss;
  }

  retract(run: string): void {
    this.#losses.delete(run);
  }

  /**
   * Drops the losses before this time; returns the keys of their runs. The time
   * that a proof needs does not shrink: some runs may crash later than others.
   */
  acquit(before: number): readonly string[] {
    this.#longestDisproved = this.#longestLost;
    const cleared = [...this.#losses].flatMap(([key, { lostAt }]) =>
      lostAt <= before ? [key] : []
    );
    for (const key of cleared) this.#losses.delete(key);
    return cleared;
  }

  /**
   * Records that `other` has been cleared of the loss of these runs by a run that
   * began at `beganAt`. Nothing follows from one that this suspect may share and
   * is too short to clear it, nor, as what is blocked has no runs, from one that
   * began while it was blocked.
   */
  recordOtherCleared(
    other: Suspect,
    { beganAt, runs }: {
      readonly beganAt: number;
      readonly runs: readonly string[];
    },
  ): void {
    if (beganAt >= (this.blockedAt ?? Infinity)) return;
    if (other.survivalMilliseconds < this.survivalMilliseconds) return;
    for (const run of runs) {
      const loss = this.#losses.get(run);
      if (loss !== undefined) loss.isConclusive = true;
    }
  }

  /** True if the run began behind a block: trials run one at a time. */
  #isTrial({ lasted, lostAt }: SuspectLoss): boolean {
    return lostAt - lasted >= (this.blockedUntil ?? Infinity);
  }

  /** The confirmed losses, as reported to peers. */
  report(now: number): ReportedLoss[] {
    return [...this.#losses.values()].flatMap((loss) =>
      loss.isConfirmed ? [this.encode(loss, now)] : []
    );
  }

  encode(
    { crash, lasted, lostAt, run }: SuspectLoss,
    now: number,
  ): ReportedLoss {
    const { id, startedAt = null } = run;
    const ago = Math.round(now - lostAt);
    const loss = [
      this.digest,
      id,
      startedAt,
      crash,
      Math.round(lasted),
      ago,
    ] as const;
    return this.isFirstPart ? [...loss, true] : loss;
  }
}

/** At most the number of known runs, whatever crash number a peer reports. */
function countCrashes(losses: Iterable<SuspectLoss>): number {
  let last = 0;
  let runs = 0;
  for (const { crash } of losses) {
    last = Math.max(last, crash);
    runs += 1;
  }
  return Math.min(last, runs);
}
