import type { ClassArrivals, PoolDemand } from "./scheduler.ts";

/** Length of one slice of the window. */
const SLICE_MILLISECONDS = 1_000;
/**
 * Slices in the window. Limit: ten seconds, so that a turn of the mix is seen
 * well within the minute in which it happens, over some dozens of arrivals.
 */
const SLICES = 10;

interface Tally {
  arrivals: number;
  promptTokens: number;
  outputTokens: number;
}

interface Slice {
  readonly startedAt: number;
  readonly classes: Map<string, Tally>;
  refused: number;
}

/** Demand on one pool over the last seconds. */
export class DemandWindow {
  readonly #slices: Slice[] = [];
  #startedAt: number | undefined;

  arrived(
    now: number,
    seen: { className: string; promptTokens: number; outputTokens: number },
  ): void {
    const { classes } = this.#sliceAt(now);
    const tally = classes.get(seen.className) ?? emptyTally();
    classes.set(seen.className, tally);
    tally.arrivals += 1;
    tally.promptTokens += seen.promptTokens;
    tally.outputTokens += seen.outputTokens;
  }

  refused(now: number): void {
    this.#sliceAt(now).refused += 1;
  }

  read(pool: string, options: { now: number; waiting: number }): PoolDemand {
    this.#forget(options.now);
    const age = options.now - (this.#startedAt ?? options.now);
    const seconds = Math.min(
      SLICES,
      Math.max(1, age / SLICE_MILLISECONDS),
    );
    const byClass = this.#sumByClass();
    const total = emptyTally();
    for (const tally of byClass.values()) add(total, tally);
    const refused = this.#slices.reduce((sum, one) => sum + one.refused, 0);
    return {
      pool,
      arrivalsPerSecond: total.arrivals / seconds,
      promptTokensPerSecond: total.promptTokens / seconds,
      outputTokensPerSecond: total.outputTokens / seconds,
      waiting: options.waiting,
      refusedPerSecond: refused / seconds,
      classes: [...byClass].map(([className, tally]) =>
        classArrivals(className, tally, seconds)
      ),
    };
  }

  #sumByClass(): Map<string, Tally> {
    const sums = new Map<string, Tally>();
    for (const { classes } of this.#slices) {
      for (const [className, tally] of classes) {
        const sum = sums.get(className) ?? emptyTally();
        sums.set(className, sum);
        add(sum, tally);
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
    this.#forget(now);
    const slice: Slice = { startedAt: now, classes: new Map(), refused: 0 };
    this.#slices.push(slice);
    return slice;
  }

  #forget(now: number): void {
    const oldest = now - SLICES * SLICE_MILLISECONDS;
    while (this.#slices.length > 0 && this.#slices[0].startedAt < oldest) {
      this.#slices.shift();
    }
  }
}

function emptyTally(): Tally {
  return { arrivals: 0, promptTokens: 0, outputTokens: 0 };
}

function add(sum: Tally, tally: Tally): void {
  sum.arrivals += tally.arrivals;
  sum.promptTokens += tally.promptTokens;
  sum.outputTokens += tally.outputTokens;
}

function classArrivals(
  className: string,
  tally: Tally,
  seconds: number,
): ClassArrivals {
  return {
    className,
    arrivalsPerSecond: tally.arrivals / seconds,
    promptTokens: tally.promptTokens / tally.arrivals,
    outputTokens: tally.outputTokens / tally.arrivals,
  };
}
