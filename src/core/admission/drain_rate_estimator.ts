/** Averaging window of the rates, milliseconds. */
const AVERAGING_WINDOW_MILLISECONDS = 6_000;
/** Lower bound of the drain rate, as a share of the expected rate. */
const MIN_DRAIN_SHARE = 0.1;

interface DecayingRate {
  value: number;
  at: number;
}

/**
 * Estimates how fast the queue of a pool drains, in engine time per unit of
 * time, and how fast more urgent work arrives, which overtakes what is queued.
 * The bottleneck alternates between prompts and outputs, so a wait predicted
 * from free slots alone is wrong when prompts are the bottleneck, and the
 * reverse.
 */
export class DrainRateEstimator {
  readonly #arrivals: DecayingRate[] = [];
  readonly #drain: DecayingRate = { value: 0, at: 0 };
  #busySince: number | undefined;

  /** Records admitted work of a class; rank 0 is the most urgent. */
  recordAdmission(rank: number, work: { cost: number; now: number }): void {
    const rate = this.#arrivals[rank] ?? { value: 0, at: work.now };
    this.#arrivals[rank] = rate;
    addWork(rate, work);
  }

  /**
   * Records work that was dispatched to an endpoint; `othersWait` is true if
   * other work was queued at the time.
   */
  recordDispatch(
    work: { cost: number; now: number; othersWait: boolean },
  ): void {
    if (!work.othersWait) {
      this.#busySince = undefined;
      return;
    }
    if (this.#busySince === undefined) {
      this.#busySince = work.now;
      this.#drain.at = work.now;
    }
    addWork(this.#drain, work);
  }

  /**
   * Rate at which work of the rank drains. `expected` is the pool's nominal
   * rate; it is used to the extent that measurements are missing.
   */
  ratePerMillisecond(
    rank: number,
    options: { expected: number; now: number },
  ): number {
    const { expected, now } = options;
    const busyMilliseconds = this.#busySince === undefined
      ? 0
      : now - this.#busySince;
    const measuredWeight = Math.min(
      1,
      busyMilliseconds / AVERAGING_WINDOW_MILLISECONDS,
    );
    const measured = decayedValue(this.#drain, now) /
      Math.max(0.1, convergedShare(busyMilliseconds));
    let rate = measuredWeight * measured + (1 - measuredWeight) * expected;
    for (let moreUrgentRank = 0; moreUrgentRank < rank; moreUrgentRank++) {
      const arrivals = this.#arrivals[moreUrgentRank];
      if (arrivals !== undefined) rate -= decayedValue(arrivals, now);
    }
    return Math.max(MIN_DRAIN_SHARE * expected, rate);
  }
}

/** Share of a constant rate that the average has reached after this time. */
function convergedShare(milliseconds: number): number {
  return 1 - Math.exp(-milliseconds / AVERAGING_WINDOW_MILLISECONDS);
}

function addWork(
  rate: DecayingRate,
  work: { cost: number; now: number },
): void {
  rate.value = decayedValue(rate, work.now) +
    work.cost / AVERAGING_WINDOW_MILLISECONDS;
  rate.at = work.now;
}

function decayedValue(rate: DecayingRate, now: number): number {
  return rate.value * Math.exp((rate.at - now) / AVERAGING_WINDOW_MILLISECONDS);
}
