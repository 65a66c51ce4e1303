import type { EndpointId, ReplicaStart } from "../../identity/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";

/**
 * Ended endpoints of which the last start is remembered, so that an old record
 * that is read late does not bring a former run back.
 */
const MOST_ENDED = 1_000;

/** One run of an endpoint. */
export type EndpointRun = Pick<RegisteredEndpoint, "id" | "startedAt">;

/** How a registration's run stands to the last one known. */
export type RunOrder = "same" | "newer" | "older";

interface KnownRun {
  readonly startedAt: ReplicaStart | undefined;
  /** A replica that has begun to leave does not change its mind. */
  leaving: boolean;
}

/**
 * The newest run of each endpoint. Pages of the store, peers and snapshots may
 * still report the run before: the order of starts decides, not the order in
 * which they are read.
 */
export class EndpointRuns {
  readonly #known = new Map<EndpointId, KnownRun>();
  /** Endpoints whose registration is gone, the oldest first. */
  readonly #ended = new Set<EndpointId>();

  /** Takes in a registration and tells how its run stands to the last one. */
  saw({ id, startedAt, leaving }: RegisteredEndpoint): RunOrder {
    const known = this.#known.get(id);
    const order = orderOf(startedAt, known?.startedAt);
    if (known !== undefined && order === "older") return "older";
    const isComeBack = this.#ended.delete(id);
    // Without a start nobody can tell a registration that came back from the
    // next run; it is taken at its word.
    const isNewRun = known === undefined || order === "newer" ||
      (isComeBack && startedAt === undefined);
    if (isNewRun) this.#known.set(id, { startedAt, leaving });
    else if (leaving) known.leaving = true;
    return known === undefined ? "same" : order;
  }

  /** This run has said that it leaves; false where it is not the last one. */
  leaves({ id, startedAt }: EndpointRun): boolean {
    const known = this.#known.get(id);
    if (known === undefined || known.startedAt !== startedAt) return false;
    known.leaving = true;
    return true;
  }

  /** True where this run of the endpoint has said that it leaves. */
  hasLeft({ id }: Pick<RegisteredEndpoint, "id">): boolean {
    return this.#known.get(id)?.leaving === true;
  }

  /** The endpoint's registration is gone. */
  ended(id: EndpointId): void {
    this.#ended.add(id);
    if (this.#ended.size <= MOST_ENDED) return;
    for (const oldest of this.#ended) {
      this.#ended.delete(oldest);
      this.#known.delete(oldest);
      return;
    }
  }
}

function orderOf(
  startedAt: ReplicaStart | undefined,
  known: ReplicaStart | undefined,
): RunOrder {
  if (startedAt === known) return "same";
  if (startedAt === undefined) return "older";
  if (known === undefined) return "newer";
  return startedAt > known ? "newer" : "older";
}
