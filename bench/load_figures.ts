/** Figures of one run or of several, kept small by logarithmic histograms. */

const BUCKETS_PER_DOUBLING = 16;
const LOWEST_MILLISECONDS = 0.1;
const BUCKETS = 20 * BUCKETS_PER_DOUBLING;

/** Histogram of times; its error is under five in a hundred. */
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
    let left = this.total * share;
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      left -= this.counts[bucket];
      if (left <= 0 && this.counts[bucket] > 0) {
        return LOWEST_MILLISECONDS *
          2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING);
      }
    }
    return 0;
  }
}

/** What became of the requests of one class. */
export class ClassFigures {
  offered = 0;
  onTime = 0;
  late = 0;
  refused = 0;
  readonly firstToken = new Histogram();
  readonly betweenTokens = new Histogram();

  merge(other: ClassFigures): void {
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

/** Figures as plain data, for another thread. */
export interface PlainFigures {
  readonly classes: readonly {
    readonly name: string;
    readonly counts: readonly number[];
    readonly firstToken: Float64Array;
    readonly betweenTokens: Float64Array;
  }[];
  readonly counts: readonly number[];
}

export class RunFigures {
  readonly classes = new Map<string, ClassFigures>();
  roleChanges = 0;
  runs = 0;
  sentBack = 0;
  pauses = 0;

  of(className: string): ClassFigures {
    let figures = this.classes.get(className);
    if (figures === undefined) {
      figures = new ClassFigures();
      this.classes.set(className, figures);
    }
    return figures;
  }

  merge(other: RunFigures): void {
    for (const [name, figures] of other.classes) this.of(name).merge(figures);
    this.roleChanges += other.roleChanges;
    this.sentBack += other.sentBack;
    this.pauses += other.pauses;
    this.runs += other.runs;
  }

  all(): ClassFigures {
    const sum = new ClassFigures();
    for (const figures of this.classes.values()) sum.merge(figures);
    return sum;
  }

  plain(): PlainFigures {
    return {
      classes: [...this.classes].map(([name, one]) => ({
        name,
        counts: [one.offered, one.onTime, one.late, one.refused],
        firstToken: one.firstToken.counts,
        betweenTokens: one.betweenTokens.counts,
      })),
      counts: [this.roleChanges, this.sentBack, this.pauses, this.runs],
    };
  }

  add(plain: PlainFigures): void {
    for (const { name, counts, ...histograms } of plain.classes) {
      const one = this.of(name);
      one.offered += counts[0];
      one.onTime += counts[1];
      one.late += counts[2];
      one.refused += counts[3];
      one.firstToken.mergeCounts(histograms.firstToken);
      one.betweenTokens.mergeCounts(histograms.betweenTokens);
    }
    this.roleChanges += plain.counts[0];
    this.sentBack += plain.counts[1];
    this.pauses += plain.counts[2];
    this.runs += plain.counts[3];
  }
}
