/** Decay of the counts for each request; about the last 50 requests count. */
const DECAY_PER_REQUEST = 0.98;
/** Served share from which all requests of a class are admitted. */
const FULL_SERVICE_SHARE = 0.98;

interface ClassCounts {
  offered: number;
  admitted: number;
}

/**
 * Admits of each class only the share that the pool can serve along with the
 * other classes. If long prompts exceed what the fleet can process, the class
 * with the highest cost per answer would otherwise fill the queue, the requests
 * of all other classes would be late as well, and fewer answers would be
 * completed in total. The share follows from how the work is divided among the
 * engine roles.
 */
export class ClassShareLimiter {
  readonly #countsByClass = new Map<string, ClassCounts>();

  /**
   * Counts an offered request and returns whether it exceeds the class's share.
   */
  exceedsShare(className: string, servedShare: number): boolean {
    const counts = this.#countsOf(className);
    counts.offered = counts.offered * DECAY_PER_REQUEST + 1;
    counts.admitted *= DECAY_PER_REQUEST;
    if (servedShare >= FULL_SERVICE_SHARE) return false;
    return counts.admitted >= servedShare * counts.offered;
  }

  recordAdmission(className: string): void {
    this.#countsOf(className).admitted += 1;
  }

  #countsOf(className: string): ClassCounts {
    let counts = this.#countsByClass.get(className);
    if (counts === undefined) {
      counts = { offered: 0, admitted: 0 };
      this.#countsByClass.set(className, counts);
    }
    return counts;
  }
}
