/** Limits of the ejection of endpoints that fail or are slow. */
export interface HealthLimits {
  /** Share of failures, of the recent attempts, that ejects. */
  readonly mostFailureShare: number;
  /** Attempts before an endpoint is judged at all. */
  readonly fewestAttempts: number;
  /** Slowness against the pool's median that ejects. */
  readonly mostSlowness: number;
  readonly firstEjectionMilliseconds: number;
  readonly longestEjectionMilliseconds: number;
}

/** How long an attempt took, against two expectations. */
export interface AttemptTimes {
  /** Against the prediction, which knows what the endpoint reports. */
  readonly overExpected: number;
  /** Against the asset register's figures alone. */
  readonly overRated: number;
}

/** Weight of one attempt in the means: about the last ten attempts count. */
const ATTEMPT_WEIGHT = 0.1;
/** Bounds of the slowness that placement reckons with. */
const LEAST_SLOWNESS = 0.5;
const MOST_SLOWNESS = 8;

/**
 * How an endpoint has treated this entry's attempts. Load: one endpoint that
 * is slow, or that is fast because it fails. Harm prevented: least-loaded
 * placement sends an endpoint that fails at once nearly everything, since it
 * always looks idle.
 */
export class EndpointHealth {
  readonly #limits: HealthLimits;
  #attempts = 0;
  #failureShare = 0;
  #slowness = 1;
  #overRated = 1;
  #ejections = 0;
  #ejectedUntil = -Infinity;
  #probing = false;

  constructor(limits: HealthLimits) {
    this.#limits = limits;
  }

  get failureShare(): number {
    return this.#failureShare;
  }

  /** Observed time of answers against the expected one. */
  get slowness(): number {
    return Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, this.#slowness));
  }

  /** Observed time of answers against the register's figures. */
  get overRated(): number {
    return this.#overRated;
  }

  get ejected(): boolean {
    return this.#ejectedUntil > -Infinity;
  }

  /** True: a single attempt may find out whether the endpoint is well again. */
  mayProbe(now: number): boolean {
    return this.ejected && !this.#probing && now >= this.#ejectedUntil;
  }

  probeStarted(): void {
    this.#probing = true;
  }

  /** A probe that comes back slow sends the endpoint away again. */
  succeeded(times: AttemptTimes, now: number): void {
    this.#failureShare *= 1 - ATTEMPT_WEIGHT;
    this.#learn(times);
    if (!this.#probing) return;
    if (times.overRated > this.#limits.mostSlowness) this.eject(now);
    else this.#readmit();
  }

  #learn(times: AttemptTimes): void {
    this.#attempts += 1;
    this.#slowness += ATTEMPT_WEIGHT *
      (Math.min(MOST_SLOWNESS, times.overExpected) - this.#slowness);
    this.#learnOverRated(times.overRated);
  }

  #learnOverRated(overRated: number): void {
    this.#overRated += ATTEMPT_WEIGHT *
      (Math.min(MOST_SLOWNESS, overRated) - this.#overRated);
  }

  failed(now: number): void {
    this.#attempts += 1;
    this.#failureShare += ATTEMPT_WEIGHT * (1 - this.#failureShare);
    if (this.#probing) this.eject(now);
  }

  /**
   * The caller went, or its deadline passed. What it waited is a lower bound:
   * without it an endpoint so slow that nothing ends there looks untried.
   */
  cancelled(times: AttemptTimes, now: number): void {
    if (this.#probing && times.overRated > this.#limits.mostSlowness) {
      this.eject(now);
    }
    this.#probing = false;
    if (times.overRated <= this.#overRated) return;
    this.#attempts += 1;
    this.#learnOverRated(times.overRated);
  }

  /** The attempt told nothing (it was not run). */
  untold(): void {
    this.#probing = false;
  }

  /** True: it ought to be ejected, if the ceiling allows. */
  isBad(medianOverRated: number): boolean {
    if (this.ejected || this.#attempts < this.#limits.fewestAttempts) {
      return false;
    }
    return this.#failureShare > this.#limits.mostFailureShare ||
      this.#overRated > this.#limits.mostSlowness * medianOverRated;
  }

  eject(now: number): void {
    const wait = Math.min(
      this.#limits.longestEjectionMilliseconds,
      this.#limits.firstEjectionMilliseconds * 2 ** this.#ejections,
    );
    this.#ejections += 1;
    this.#ejectedUntil = now + wait;
    this.#probing = false;
  }

  /** Back in use; its past is halved, not forgotten. */
  #readmit(): void {
    this.#ejectedUntil = -Infinity;
    this.#probing = false;
    this.#attempts = 0;
    this.#failureShare /= 2;
    this.#slowness = 1 + (this.#slowness - 1) / 2;
    this.#overRated = 1 + (this.#overRated - 1) / 2;
    this.#ejections = Math.max(0, this.#ejections - 1);
  }
}
