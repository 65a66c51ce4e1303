/**
 * Limits concurrent loads of weights. When new weights are rolled out over a
 * pool, or all engines of an availability zone restart, the engines share the
 * rate limit of the weight store. Without the limit every engine is out of
 * service at once while each gets a small part of that rate.
 */

/** An endpoint that could get an order now. */
export interface LoadCandidate {
  readonly endpoint: string;
  /** Whether its next order makes the engine load weights. */
  readonly needsLoading: boolean;
}

export interface LoadSelectionOptions {
  /** Endpoints whose valid order loads weights and is not confirmed yet. */
  readonly loading: ReadonlySet<string>;
  /** Maximum number of concurrent loads in the region. */
  readonly maxConcurrentLoads: number;
}

/**
 * Selects the candidates that may get their order now. Orders in progress are
 * on the log, so a planner that takes over counts the same ones: the budget
 * needs no record or lease of its own.
 */
export function selectWithinLoadBudget(
  candidates: readonly LoadCandidate[],
  options: LoadSelectionOptions,
): readonly LoadCandidate[] {
  let remaining = Math.max(
    0,
    options.maxConcurrentLoads - options.loading.size,
  );
  return candidates.filter((candidate) => {
    if (!candidate.needsLoading) return true;
    if (options.loading.has(candidate.endpoint)) return true;
    if (remaining === 0) return false;
    remaining -= 1;
    return true;
  });
}

export interface LoadStartDelayOptions {
  /** Engines of the region that may need the same weights at once. */
  readonly engines: number;
  readonly maxConcurrentLoads: number;
  /** Duration of one load while the store is not overloaded, milliseconds. */
  readonly loadMilliseconds: number;
  /** Number in [0, 1) that is specific to the endpoint, such as a hash. */
  readonly unitHash: number;
}

/**
 * Delay before a side repeats a standing order that loads weights,
 * milliseconds. It covers the case without a planner that limits the loads: an
 * availability zone restarts with empty engines, and the order of each is
 * already on the log. The endpoints' own numbers spread the loads so that about
 * the maximum number runs concurrently; each side computes its delay without
 * any message.
 */
export function loadStartDelay(options: LoadStartDelayOptions): number {
  const rounds = Math.ceil(
    options.engines / Math.max(1, options.maxConcurrentLoads),
  );
  return options.unitHash * (rounds - 1) * options.loadMilliseconds;
}
