import type { ClassArrivals, PoolDemand } from "./scheduler.ts";

const SLICE_MILLISECONDS = 1_000;
/**
 * Slices in the window. Ten seconds show a change of the mix well within the
 * minute in which it happens, averaged over some dozens of arrivals.
 */
const SLICE_COUNT = 10;

interface ClassTotals {
  arrivals: number;
  promptTokens: number;
  outputTokens: number;
}

interface Slice {
  readonly startedAt: number;
  readonly classes: Map<string, ClassTotals>;
  refused: number;
}

/** Demand on one pool over a sliding window. */
export class DemandWindow {
  readonly #slices: Slice[] = [];
  #startedAt: number | undefined;

  recordArrival(
    now: number,
    arrival: { className: string; promptTokens: number; outputTokens: number },
  ): void {
    const { classes } = this.#sliceAt(now);
    const totals = classes.get(arrival.className) ?? zeroTotals();
    classes.set(arrival.className, totals);
    totals.arrivals += 1;
    totals.promptTokens += arrival.promptTokens;
    totals.outputTokens += arrival.outputTokens;
  }

  recordRefusal(now: number): void {
    this.#sliceAt(now).refused += 1;
  }

  read(pool: string, options: { now: number; waiting: number }): PoolDemand {
    this.#dropExpiredSlices(options.now);
    const age = options.now - (this.#startedAt ?? options.now);
    const seconds = Math.min(
      SLICE_COUNT,
      Math.max(1, age / SLICE_MILLISECONDS),
    );
    const byClass = this.#sumByClass();
    const total = zeroTotals();
    for (const totals of byClass.values()) add(total, totals);
    const refused = this.#slices.reduce((sum, one) => sum + one.refused, 0);
    return {
      pool,
      arrivalsPerSecond: total.arrivals / seconds,
      promptTokensPerSecond: total.promptTokens / seconds,
      outputTokensPerSecond: total.outputTokens / seconds,
      waiting: options.waiting,
      refusedPerSecond: refused / seconds,
      classes: [...byClass].map(([className, totals]) =>
        classArrivals(className, totals, seconds)
      ),
    };
  }

  #sumByClass(): Map<string, ClassTotals> {
    const sums = new Map<string, ClassTotals>();
    for (const { classes } of this.#slices) {
      for (const [className, totals] of classes) {
        const sum = sums.get(className) ?? zeroTotals();
        sums.set(className, sum);
        add(sum, totals);
      }
    }
    return sums;
  }

  #sliceAt(now: number): Slice {
    this.#startedAt ??= now;
    const last = this.#slices.at(-1);
    if (last !== undefined && now < last.startedAt + SLICE_MILLISECONDS) {
      return last;
    }
    this.#dropExpiredSlices(now);
    const slice: Slice = { startedAt: now, classes: new Map(), refused: 0 };
    this.#slices.push(slice);
    return slice;
  }

  #dropExpiredSlices(now: number): void {
    const oldestStart = now - SLICE_COUNT * SLICE_MILLISECONDS;
    while (this.#slices.length > 0 && this.#slices[0].startedAt < oldestStart) {
      this.#slices.shift();
    }
  }
}

function zeroTotals(): ClassTotals {
  return { arrivals: 0, promptTokens: 0, outputTokens: 0 };
}

function add(sum: ClassTotals, totals: ClassTotals): void {
  sum.arrivals += totals.arrivals;
  sum.promptTokens += totals.promptTokens;
  sum.outputTokens += totals.outputTokens;
}

function classArrivals(
  className: string,
  totals: ClassTotals,
  seconds: number,
): ClassArrivals {
  return {
    className,
    arrivalsPerSecond: totals.arrivals / seconds,
    promptTokens: totals.promptTokens / totals.arrivals,
    outputTokens: totals.outputTokens / totals.arrivals,
  };
}
