/** Statistics of one or several runs; times are in logarithmic histograms. */

const BUCKETS_PER_DOUBLING = 16;
const LOWEST_MILLISECONDS = 0.1;
const BUCKETS = 20 * BUCKETS_PER_DOUBLING;

/** Histogram of times with a relative error below 5%. */
export class Histogram {
  readonly counts = new Float64Array(BUCKETS);
  total = 0;

  add(milliseconds: number): void {
    const ratio = Math.max(1, milliseconds / LOWEST_MILLISECONDS);
    const bucket = Math.floor(Math.log2(ratio) * BUCKETS_PER_DOUBLING);
    this.counts[Math.min(BUCKETS - 1, bucket)] += 1;
    this.total += 1;
  }

  merge(other: Histogram): void {
    this.mergeCounts(other.counts);
  }

  mergeCounts(counts: Float64Array): void {
    counts.forEach((count, index) => {
      this.counts[index] += count;
      this.total += count;
    });
  }

  percentile(share: number): number {
    let remaining = this.total * share;
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      remaining -= this.counts[bucket];
      if (remaining <= 0 && this.counts[bucket] > 0) {
        return LOWEST_MILLISECONDS *
          2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING);
      }
    }
    return 0;
  }
}

/** Outcomes and times of the requests of one class. */
export class ClassStats {
  offered = 0;
  onTime = 0;
  late = 0;
  refused = 0;
  readonly firstToken = new Histogram();
  readonly betweenTokens = new Histogram();

  merge(other: ClassStats): void {
    this.offered += other.offered;
    this.onTime += other.onTime;
    this.late += other.late;
    this.refused += other.refused;
    this.firstToken.merge(other.firstToken);
    this.betweenTokens.merge(other.betweenTokens);
  }

  get goodput(): number {
    return this.offered === 0 ? 1 : this.onTime / this.offered;
  }
}

/** Statistics as plain data, to send to another process. */
export interface SerializedStats {
  readonly classes: readonly {
    readonly name: string;
    readonly counts: readonly number[];
    readonly firstToken: Float64Array;
    readonly betweenTokens: Float64Array;
  }[];
  readonly counts: readonly number[];
}

export class RunStats {
  readonly classes = new Map<string, ClassStats>();
  roleChanges = 0;
  runs = 0;
  failedAttempts = 0;
  pauses = 0;

  forClass(className: string): ClassStats {
    let stats = this.classes.get(className);
    if (stats === undefined) {
      stats = new ClassStats();
      this.classes.set(className, stats);
    }
    return stats;
  }

  merge(other: RunStats): void {
    for (const [name, stats] of other.classes) {
      this.forClass(name).merge(stats);
    }
    this.roleChanges += other.roleChanges;
    this.failedAttempts += other.failedAttempts;
    this.pauses += other.pauses;
    this.runs += other.runs;
  }

  total(): ClassStats {
    const sum = new ClassStats();
    for (const stats of this.classes.values()) sum.merge(stats);
    return sum;
  }

  serialize(): SerializedStats {
    return {
      classes: [...this.classes].map(([name, stats]) => ({
        name,
        counts: [stats.offered, stats.onTime, stats.late, stats.refused],
        firstToken: stats.firstToken.counts,
        betweenTokens: stats.betweenTokens.counts,
      })),
      counts: [this.roleChanges, this.failedAttempts, this.pauses, this.runs],
    };
  }

  addSerialized(serialized: SerializedStats): void {
    for (const { name, counts, ...histograms } of serialized.classes) {
      const stats = this.forClass(name);
      stats.offered += counts[0];
      stats.onTime += counts[1];
      stats.late += counts[2];
      stats.refused += counts[3];
      stats.firstToken.mergeCounts(histograms.firstToken);
      stats.betweenTokens.mergeCounts(histograms.betweenTokens);
    }
    this.roleChanges += serialized.counts[0];
    this.failedAttempts += serialized.counts[1];
    this.pauses += serialized.counts[2];
    this.runs += serialized.counts[3];
  }
}
