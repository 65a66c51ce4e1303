/** Length of a bucket, milliseconds. */
const BUCKET_MILLISECONDS = 1_000;
/**
 * Newest buckets that are left out. Full reports of peers arrive up to two
 * seconds after the work that they count, in fleets of 300 entries.
 */
const INCOMPLETE_BUCKETS = 2;
/**
 * Number of buckets behind the observed work. They cover several swings between
 * prompts and answers, also those of 15 seconds.
 */
const MAX_BUCKETS = 30;

/** Work of a pool by second, as a sum over the entries. */
export class WorkSeries {
  readonly #length: number;
  readonly #buckets = new Map<number, number[]>();
  /** The first bucket with work. */
  #first = Infinity;

  /** `length` is the number of values that each amount of work has. */
  constructor(length: number) {
    this.#length = length;
  }

  /**
   * Spreads work evenly over the time in which it was asked for; the part
   * before the window is dropped.
   */
  add(
    work: readonly number[],
    { from, to }: { readonly from: number; readonly to: number },
  ): void {
    const last = bucketAt(to);
    const oldest = last - MAX_BUCKETS - INCOMPLETE_BUCKETS;
    const start = Math.max(from, oldest * BUCKET_MILLISECONDS);
    const duration = to - from;
    for (let bucket = bucketAt(start); bucket <= last; bucket++) {
      const bucketStart = bucket * BUCKET_MILLISECONDS;
      const overlap = Math.min(to, bucketStart + BUCKET_MILLISECONDS) -
        Math.max(start, bucketStart);
      const share = duration > 0 ? overlap / duration : 1;
      const sums = this.#buckets.get(bucket) ??
        new Array<number>(this.#length).fill(0);
      this.#buckets.set(
        bucket,
        sums.map((sum, index) => sum + share * work[index]),
      );
    }
    if (work.some((value) => value > 0)) {
      this.#first = Math.min(this.#first, bucketAt(start));
    }
    for (const bucket of this.#buckets.keys()) {
      if (bucket < oldest) this.#buckets.delete(bucket);
    }
  }

  /**
   * Work per millisecond in each second that all reports cover, since the first
   * work but not longer than the window.
   */
  rates(now: number): number[][] {
    const last = bucketAt(now) - INCOMPLETE_BUCKETS;
    const first = Math.max(this.#first, last - MAX_BUCKETS + 1);
    const rates: number[][] = [];
    for (let bucket = first; bucket <= last; bucket++) {
      const sums = this.#buckets.get(bucket) ??
        new Array<number>(this.#length).fill(0);
      rates.push(sums.map((sum) => sum / BUCKET_MILLISECONDS));
    }
    return rates;
  }
}

function bucketAt(time: number): number {
  return Math.floor(time / BUCKET_MILLISECONDS);
}
