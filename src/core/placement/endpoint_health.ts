/** Limits for the ejection of endpoints that fail or are slow. */
export interface HealthLimits {
  /**
   * Share of failures among recent attempts above which an endpoint is ejected.
   */
  readonly maxFailureShare: number;
  /** Attempts before an endpoint is evaluated at all. */
  readonly minAttempts: number;
  /**
   * Slowness relative to the pool's median above which an endpoint is ejected.
   */
  readonly maxSlowness: number;
  readonly initialEjectionMilliseconds: number;
  readonly maxEjectionMilliseconds: number;
}

/** Duration of an attempt relative to two expectations. */
export interface AttemptTimes {
  /** Relative to the prediction, which includes what the endpoint reports. */
  readonly ratioToPredicted: number;
  /** Relative to the rated figures of the inventory alone. */
  readonly ratioToRated: number;
}

/** Weight of one attempt in the moving averages: about the last ten count. */
const ATTEMPT_WEIGHT = 0.1;
/** Bounds of the slowness that placement uses. */
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 8;

/**
 * Outcomes of this entry's attempts at an endpoint, with ejection and probing.
 * It covers endpoints that are slow, and endpoints that fail quickly: those
 * always look idle, so least-loaded placement would send them nearly
 * everything.
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

  /** Observed duration of answers relative to the predicted one, bounded. */
  get slowness(): number {
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, this.#slowness));
  }

  /** Observed duration of answers relative to the rated one. */
  get ratioToRated(): number {
    return this.#ratioToRated;
  }

  get ejected(): boolean {
    return this.#ejectedUntil > -Infinity;
  }

  /** Whether one attempt may probe an ejected endpoint. */
  mayProbe(now: number): boolean {
    return this.ejected && !this.#probeInFlight && now >= this.#ejectedUntil;
  }

  recordProbeStart(): void {
    this.#probeInFlight = true;
  }

  /** Records an answer. A probe that is slow ejects the endpoint again. */
  recordSuccess(times: AttemptTimes, now: number): void {
    this.#failureShare *= 1 - ATTEMPT_WEIGHT;
    this.#recordTimes(times);
    if (!this.#probeInFlight) return;
    if (times.ratioToRated > this.#limits.maxSlowness) this.eject(now);
    else this.#readmit();
  }

  #recordTimes(times: AttemptTimes): void {
    this.#attempts += 1;
    this.#slowness += ATTEMPT_WEIGHT *
      (Math.min(MAX_SLOWNESS, times.ratioToPredicted) - this.#slowness);
    this.#recordRatioToRated(times.ratioToRated);
  }

  #recordRatioToRated(ratioToRated: number): void {
    this.#ratioToRated += ATTEMPT_WEIGHT *
      (Math.min(MAX_SLOWNESS, ratioToRated) - this.#ratioToRated);
  }

  recordFailure(now: number): void {
    this.#attempts += 1;
    this.#failureShare += ATTEMPT_WEIGHT * (1 - this.#failureShare);
    if (this.#probeInFlight) this.eject(now);
  }

  /**
   * Records an attempt that the caller or its deadline ended. The time waited
   * is a lower bound: without it, an endpoint so slow that nothing completes
   * there looks untried.
   */
  recordCancellation(times: AttemptTimes, now: number): void {
    if (this.#probeInFlight && times.ratioToRated > this.#limits.maxSlowness) {
      this.eject(now);
    }
    this.#probeInFlight = false;
    if (times.ratioToRated <= this.#ratioToRated) return;
    this.#attempts += 1;
    this.#recordRatioToRated(times.ratioToRated);
  }

  /**
   * Records an attempt without information on the endpoint (it was not run).
   */
  recordInconclusive(): void {
    this.#probeInFlight = false;
  }

  /**
   * Whether the endpoint should be ejected, if the ejection ceiling allows it.
   */
  shouldEject(medianRatioToRated: number): boolean {
    if (this.ejected || this.#attempts < this.#limits.minAttempts) {
      return false;
    }
    return this.#failureShare > this.#limits.maxFailureShare ||
      this.#ratioToRated > this.#limits.maxSlowness * medianRatioToRated;
  }

  eject(now: number): void {
    const duration = Math.min(
      this.#limits.maxEjectionMilliseconds,
      this.#limits.initialEjectionMilliseconds * 2 ** this.#ejections,
    );
    this.#ejections += 1;
    this.#ejectedUntil = now + duration;
    this.#probeInFlight = false;
  }

  /** Returns the endpoint to use; its history is halved, not discarded. */
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
