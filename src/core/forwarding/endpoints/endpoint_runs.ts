import type { EndpointId, ReplicaStartTime } from "../../identity/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";

/**
 * Maximum number of ended endpoints whose last start is kept, so that an old
 * record that is read late does not restore a previous run.
 */
const MAX_ENDED = 1_000;

/** One run of an endpoint. */
export type EndpointRun = Pick<RegisteredEndpoint, "id" | "startedAt">;

/** Order of a registration's run relative to the last known one. */
export type RunOrder = "same" | "newer" | "older";

interface KnownRun {
  readonly startedAt: ReplicaStartTime | undefined;
  /** True once the run is leaving; this is final. */
  leaving: boolean;
}

/**
 * Tracks the newest run of each endpoint. Pages of the store, peers and
 * snapshots may still report the previous run, so runs are ordered by their
 * start and not by the order in which they are read.
 */
export class EndpointRuns {
  readonly #known = new Map<EndpointId, KnownRun>();
  /** Endpoints whose registration is gone, the oldest first. */
  readonly #ended = new Set<EndpointId>();

  /**
   * Records a registration and returns the order of its run relative to the
   * last one.
   */
  observe({ id, startedAt, leaving }: RegisteredEndpoint): RunOrder {
    const known = this.#known.get(id);
    const order = compareStarts(startedAt, known?.startedAt);
    if (known !== undefined && order === "older") return "older";
    const hasReturned = this.#ended.delete(id);
    // Without a start time, a registration that returns cannot be distinguished
    // from a new run, so it counts as one.
    const isNewRun = known === undefined || order === "newer" ||
      (hasReturned && startedAt === undefined);
    if (isNewRun) this.#known.set(id, { startedAt, leaving });
    else if (leaving) known.leaving = true;
    return known === undefined ? "same" : order;
  }

  /**
   * Marks this run as leaving; returns false if it is not the last known run.
   */
  markLeaving({ id, startedAt }: EndpointRun): boolean {
    const known = this.#known.get(id);
    if (known === undefined || known.startedAt !== startedAt) return false;
    known.leaving = true;
    return true;
  }

  /** Returns whether the last known run of the endpoint is leaving. */
  isLeaving({ id }: Pick<RegisteredEndpoint, "id">): boolean {
    return this.#known.get(id)?.leaving === true;
  }

  /** Records that the endpoint's registration is gone. */
  ended(id: EndpointId): void {
    this.#ended.add(id);
    if (this.#ended.size <= MAX_ENDED) return;
    for (const oldest of this.#ended) {
      this.#ended.delete(oldest);
      this.#known.delete(oldest);
      return;
    }
  }
}

function compareStarts(
  startedAt: ReplicaStartTime | undefined,
  known: ReplicaStartTime | undefined,
): RunOrder {
  if (startedAt === known) return "same";
  if (startedAt === undefined) return "older";
  if (known === undefined) return "newer";
  return startedAt > known ? "newer" : "older";
}
