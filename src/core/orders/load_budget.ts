/**
 * Paces the loading of weights. Load: a roll-out of new weights over a pool,
 * or an availability zone whose engines all start again, against a weight
 * store with a rate limit. Harm prevented: every engine is out of service at
 * once while each gets a sliver of the store's rate.
 */

/** An endpoint that could be given an order now. */
export interface LoadCandidate {
  readonly endpoint: string;
  /** True where its next order makes the engine load weights. */
  readonly needsLoading: boolean;
}

export interface LoadSelectionOptions {
  /** Endpoints whose valid order makes them load and is not confirmed yet. */
  readonly loading: ReadonlySet<string>;
  /** How many may load at the same time in the region. */
  readonly mostAtOnce: number;
}

/**
 * The candidates that may get their order now. The orders under way stand on
 * the log, so a planner that takes over counts the same ones: the budget needs
 * no record or lease of its own.
 */
export function pickLoads(
  candidates: readonly LoadCandidate[],
  options: LoadSelectionOptions,
): readonly LoadCandidate[] {
  let remaining = Math.max(0, options.mostAtOnce - options.loading.size);
  return candidates.filter((candidate) => {
    if (!candidate.needsLoading) return true;
    if (options.loading.has(candidate.endpoint)) return true;
    if (remaining === 0) return false;
    remaining -= 1;
    return true;
  });
}

export interface LoadStartDelayOptions {
  /** Engines of the region that may want the same weights at once. */
  readonly engines: number;
  readonly mostAtOnce: number;
  /** How long one load takes when the store is not crowded, milliseconds. */
  readonly loadMilliseconds: number;
  /** A number in [0, 1) that is the endpoint's own, such as a hash. */
  readonly place: number;
}

/**
 * How long a side waits before it gives a standing order that loads weights
 * again, milliseconds. This is for the case that no planner paces: an
 * availability zone comes back with empty engines, and the order of each is
 * on the log already. The places spread the loads so that about `mostAtOnce`
 * run together; each side reckons by itself and needs no message.
 */
export function loadSpread(options: LoadStartDelayOptions): number {
  const rounds = Math.ceil(options.engines / Math.max(1, options.mostAtOnce));
  return options.place * (rounds - 1) * options.loadMilliseconds;
}
