/** Time over which rates are averaged, milliseconds. */
const WINDOW_MILLISECONDS = 6_000;
/** Start and least value of the drain, as a share of what is expected. */
const LEAST_SHARE = 0.1;

interface Rate {
  value: number;
  at: number;
}

/**
 * How fast the queue before a pool drains, in engine time per time, and how
 * fast more urgent work arrives that overtakes what waits. Load: a mix whose
 * bottleneck is now prompts, now outputs. Harm prevented: a wait predicted
 * from slots while prompts are what the pool lacks, or the other way round.
 */
export class DrainMeter {
  readonly #arrivals: Rate[] = [];
  readonly #drain: Rate = { value: 0, at: 0 };
  #busySince: number | undefined;

  /** Work of a class (rank 0 is the most urgent) has been let in. */
  admitted(rank: number, work: { cost: number; now: number }): void {
    const rate = this.#arrivals[rank] ?? { value: 0, at: work.now };
    this.#arrivals[rank] = rate;
    add(rate, work);
  }

  /** Work has left the queue for an endpoint while other work waited. */
  dispatched(work: { cost: number; now: number; othersWait: boolean }): void {
    if (!work.othersWait) {
      this.#busySince = undefined;
      return;
    }
    if (this.#busySince === undefined) {
      this.#busySince = work.now;
      this.#drain.at = work.now;
    }
    add(this.#drain, work);
  }

  /**
   * Rate at which work of the rank drains; `expected` is what the pool should
   * do, used as far as too little has been measured.
   */
  ratePerMillisecond(
    rank: number,
    options: { expected: number; now: number },
  ): number {
    const { expected, now } = options;
    const busy = this.#busySince === undefined ? 0 : now - this.#busySince;
    const trust = Math.min(1, busy / WINDOW_MILLISECONDS);
    const measured = read(this.#drain, now) / Math.max(0.1, settled(busy));
    let rate = trust * measured + (1 - trust) * expected;
    for (let other = 0; other < rank; other++) {
      const arrivals = this.#arrivals[other];
      if (arrivals !== undefined) rate -= read(arrivals, now);
    }
    return Math.max(LEAST_SHARE * expected, rate);
  }
}

/** Share of a steady rate that the average shows after this long. */
function settled(milliseconds: number): number {
  return 1 - Math.exp(-milliseconds / WINDOW_MILLISECONDS);
}

function add(rate: Rate, work: { cost: number; now: number }): void {
  rate.value = read(rate, work.now) + work.cost / WINDOW_MILLISECONDS;
  rate.at = work.now;
}

function read(rate: Rate, now: number): number {
  return rate.value * Math.exp((rate.at - now) / WINDOW_MILLISECONDS);
}
