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
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 8;

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
  #ratioToRated = 1;
  #ejections = 0;
  #ejectedUntil = -Infinity;
  #probeInFlight = false;

  constructor(limits: HealthLimits) {
    this.#limits = limits;
  }

  get failureShare(): number {
    return this.#failureShare;
  }

  /** Observed time of answers against the expected one. */
  get slowness(): number {
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, this.#slowness));
  }

  /** Observed time of answers against the register's figures. */
  get ratioToRated(): number {
    return this.#ratioToRated;
  }

  get ejected(): boolean {
    return this.#ejectedUntil > -Infinity;
  }

  /** True: a single attempt may find out whether the endpoint is well again. */
  mayProbe(now: number): boolean {
    return this.ejected && !this.#probeInFlight && now >= this.#ejectedUntil;
  }

  probeStarted(): void {
    this.#probeInFlight = true;
  }

  /** A probe that comes back slow sends the endpoint away again. */
  succeeded(times: AttemptTimes, now: number): void {
    this.#failureShare *= 1 - ATTEMPT_WEIGHT;
    this.#recordTimes(times);
    if (!this.#probeInFlight) return;
    if (times.overRated > this.#limits.mostSlowness) this.eject(now);
    else this.#readmit();
  }

  #recordTimes(times: AttemptTimes): void {
    this.#attempts += 1;
    this.#slowness += ATTEMPT_WEIGHT *
      (Math.min(MAX_SLOWNESS, times.overExpected) - this.#slowness);
    this.#recordRatioToRated(times.overRated);
  }

  #recordRatioToRated(ratioToRated: number): void {
    this.#ratioToRated += ATTEMPT_WEIGHT *
      (Math.min(MAX_SLOWNESS, ratioToRated) - this.#ratioToRated);
  }

  failed(now: number): void {
    this.#attempts += 1;
    this.#failureShare += ATTEMPT_WEIGHT * (1 - this.#failureShare);
    if (this.#probeInFlight) this.eject(now);
  }

  /**
   * The caller went, or its deadline passed. What it waited is a lower bound:
   * without it an endpoint so slow that nothing ends there looks untried.
   */
  cancelled(times: AttemptTimes, now: number): void {
    if (this.#probeInFlight && times.overRated > this.#limits.mostSlowness) {
      this.eject(now);
    }
    this.#probeInFlight = false;
    if (times.overRated <= this.#ratioToRated) return;
    this.#attempts += 1;
    this.#recordRatioToRated(times.overRated);
  }

  /** The attempt told nothing (it was not run). */
  untold(): void {
    this.#probeInFlight = false;
  }

  /** True: it ought to be ejected, if the ceiling allows. */
  isBad(medianRatioToRated: number): boolean {
    if (this.ejected || this.#attempts < this.#limits.fewestAttempts) {
      return false;
    }
    return this.#failureShare > this.#limits.mostFailureShare ||
      this.#ratioToRated > this.#limits.mostSlowness * medianRatioToRated;
  }

  eject(now: number): void {
    const duration = Math.min(
      this.#limits.longestEjectionMilliseconds,
      this.#limits.firstEjectionMilliseconds * 2 ** this.#ejections,
    );
    this.#ejections += 1;
    this.#ejectedUntil = now + duration;
    this.#probeInFlight = false;
  }

  /** Back in use; its past is halved, not forgotten. */
  #readmit(): void {
    this.#ejectedUntil = -Infinity;
    this.#probeInFlight = false;
    this.#attempts = 0;
    this.#failureShare /= 2;
    this.#slowness = 1 + (this.#slowness - 1) / 2;
    this.#ratioToRated = 1 + (this.#ratioToRated - 1) / 2;
    this.#ejections = Math.max(0, this.#ejections - 1);
  }
}
