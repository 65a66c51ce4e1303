import {
  isPrefillEngine,
  type QueuePlace,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { ServiceName } from "../../core/identity/mod.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";

/**
 * Number of waiting requests that may ask for a permit at the same time. The
 * others keep their order behind them.
 */
const MAX_ASKING = 4;
/**
 * Number of endpoints that are asked for a permit before a request is sent to
 * one without a limit, or waits.
 */
const MAX_DENIALS = 3;
/**
 * Factor of the predicted wait. More urgent requests may arrive meanwhile, and
 * a request that is refused after a wait would better have been refused at once.
 */
const WAIT_MARGIN = 1.8;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Admission of one request to endpoints with a request limit: requests that
 * wait for a permit come before newcomers, and more urgent ones before others.
 */
export class LimitAdmission {
  readonly #dependencies: ForwardingDependencies;
  readonly #pool: ServiceName;
  readonly #rank: number;
  #place: QueuePlace | undefined;
  /** Denials since the last permit or the last check for one. */
  #denials = 0;

  constructor(
    dependencies: ForwardingDependencies,
    options: { readonly pool: ServiceName; readonly rank: number },
  ) {
    this.#dependencies = dependencies;
    this.#pool = options.pool;
    this.#rank = options.rank;
  }

  /** Endpoints without a limit, and those that may give out a permit now. */
  filterAdmitting(endpoints: RegisteredEndpoint[]): RegisteredEndpoint[] {
    const { limits, permits } = this.#dependencies;
    if (limits.isEmpty) return endpoints;
    const hasAskedEnough = this.#denials >= MAX_DENIALS;
    return endpoints.filter((endpoint) =>
      !permits.isLimited(endpoint.id) ||
      (!hasAskedEnough &&
        this.earliestMilliseconds(endpoint) === 0 &&
        this.#mayAsk(endpoint))
    );
  }

  /** Time before which no permit can be had there, in milliseconds. */
  earliestMilliseconds({ id }: RegisteredEndpoint): number {
    const { permits } = this.#dependencies;
    return permits.isLimited(id) ? permits.waitMilliseconds(id, this.#rank) : 0;
  }

  /**
   * Predicted time until the request gets a permit at each endpoint, in
   * milliseconds.
   */
  predictWaits(endpoints: readonly RegisteredEndpoint[]): number[] {
    const { limits, permits } = this.#dependencies;
    if (limits.isEmpty) return endpoints.map(() => 0);
    return endpoints.map((endpoint) => {
      if (!permits.isLimited(endpoint.id)) return 0;
      const denied = this.earliestMilliseconds(endpoint);
      if (denied === 0 && this.#mayAsk(endpoint)) return 0;
      const group = endpoints.filter((each) =>
        groupOf(each, this.#pool) === groupOf(endpoint, this.#pool)
      );
      return Math.max(denied, this.#queueMilliseconds(group));
    });
  }

  /** Takes a permit; true at once where the endpoint has no limit. */
  async takePermit(endpoint: RegisteredEndpoint): Promise<boolean> {
    const { permitQueue, permits } = this.#dependencies;
    if (!permits.isLimited(endpoint.id)) return true;
    const group = groupOf(endpoint, this.#pool);
    const isGranted = await permits.acquire(endpoint, {
      rank: this.#rank,
      waiting: permitQueue.countByRank(group),
    });
    if (isGranted) {
      this.#denials = 0;
      this.#leaveQueue(group);
    } else this.#denials += 1;
    return isGranted;
  }

  /** Starts a new check for permits, after an earlier one was denied. */
  resetDenials(): void {
    this.#denials = 0;
  }

  /** Runs `wait` with a place in the queue for endpoints of this role. */
  async queue<Outcome>(
    endpoint: Pick<RegisteredEndpoint, "role">,
    wait: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const group = groupOf(endpoint, this.#pool);
    this.#place = this.#dependencies.permitQueue.enter(group, this.#rank);
    try {
      return await wait();
    } finally {
      this.#leaveQueue(group);
    }
  }

  #leaveQueue(group: string): void {
    if (this.#place === undefined) return;
    this.#dependencies.permitQueue.leave(group, this.#place);
    this.#place = undefined;
  }

  #mayAsk(endpoint: RegisteredEndpoint): boolean {
    const isWaiting = this.#place !== undefined;
    return this.#countAhead(endpoint) < (isWaiting ? MAX_ASKING : 1);
  }

  #countAhead(endpoint: RegisteredEndpoint): number {
    const position = this.#place ?? { rank: this.#rank };
    return this.#dependencies.permitQueue.countAhead(
      groupOf(endpoint, this.#pool),
      position,
    );
  }

  /** Time until the requests ahead and this one have got their permits. */
  #queueMilliseconds(group: readonly RegisteredEndpoint[]): number {
    const { permits } = this.#dependencies;
    const perSecond = group.filter(({ id }) => permits.isLimited(id))
      .reduce(
        (sum, { id }) => sum + permits.expectedPerSecond(id, this.#rank),
        0,
      );
    const requests = 1 + this.#countAhead(group[0]);
    return WAIT_MARGIN * MILLISECONDS_PER_SECOND * requests / perSecond;
  }
}

/** Queue of an endpoint: engines that prefill and others have one each. */
function groupOf(
  { role }: Pick<RegisteredEndpoint, "role">,
  pool: ServiceName,
): string {
  return isPrefillEngine({ role }) ? `${pool} prefill` : pool;
}
