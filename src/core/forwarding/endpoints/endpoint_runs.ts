import type { EndpointId, ReplicaStartTime } from "../../identity/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";

/**
 * Maximum number of ended endpoints whose last start is kept, so that an old
 * record that is read late does not restore a previous run.
 */
const MAX_ENDED = 1_000;

/**
 * How long earlier registrations of a run are not followed, counted from the
 * first of them. A replica repeats its registration within a second or two; a
 * number that another writer has made too large must not hide it for longer.
 */
const MAX_STALE_MILLISECONDS = 5_000;

/** One run of an endpoint. */
export type EndpointRun = Pick<RegisteredEndpoint, "id" | "startedAt">;

/**
 * Order of a registration's run relative to the last known one. `stale`: the
 * same run, by a registration that is earlier than the last known one.
 */
export type RunOrder = "same" | "newer" | "older" | "stale";

interface KnownRun {
  readonly startedAt: ReplicaStartTime | undefined;
  /** True once the run is leaving; this is final. */
  leaving: boolean;
  /** Number of the run's last registration. */
  sequence: number | undefined;
  /** Time of the first registration since then that was earlier. */
  staleSince: number | undefined;
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
   * Records a registration that was read at a time of the timer, and returns
   * the order of its run relative to the last one.
   */
  observe(
    { id, startedAt, sequence, leaving }: RegisteredEndpoint,
    now: number,
  ): RunOrder {
    const known = this.#known.get(id);
    const order = compareStarts(startedAt, known?.startedAt);
    if (known !== undefined && order === "older") return "older";
    if (known !== undefined && order === "same" && leaving) {
      known.leaving = true;
    }
    if (order === "same" && isStale(known, { sequence, now })) return "stale";
    const hasReturned = this.#ended.delete(id);
    // Without a start time, a registration that returns cannot be distinguished
    // from a new run, so it counts as one.
    const isNewRun = known === undefined || order === "newer" ||
      (hasReturned && startedAt === undefined);
    if (isNewRun) {
      this.#known.set(id, {
        startedAt,
        leaving,
        sequence,
        staleSince: undefined,
      });
    } else {
      known.sequence = sequence ?? known.sequence;
      known.staleSince = undefined;
    }
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

/**
 * Without a start time, a lower number may be that of a new run. Records the
 * first of successive registrations that are earlier.
 */
function isStale(
  known: KnownRun | undefined,
  { now, sequence }: {
    readonly sequence: number | undefined;
    readonly now: number;
  },
): boolean {
  if (known?.startedAt === undefined || known.sequence === undefined) {
    return false;
  }
  if (sequence === undefined || sequence >= known.sequence) return false;
  known.staleSince ??= now;
  return now - known.staleSince < MAX_STALE_MILLISECONDS;
}
