import {
  chooseServiceReplica,
  type ExpectedTime,
  fastestReplica,
  NO_PROMPT_WORK,
  type RegisteredEndpoint,
  replicasToRefresh,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import type { AttemptPlan } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";
import {
  chooseWithPermit,
  isOverloaded,
  isWorthWaiting,
  waitInQueue,
} from "./wait_for_choice.ts";

interface ServiceChoice {
  readonly endpoint: RegisteredEndpoint;
  /** Present if the replica was chosen by its expected time. */
  readonly expected?: ExpectedTime;
}

/** Plans the sends of one request to the replicas of a plain service. */
export class ServicePlanner {
  readonly #context: ForwardContext;
  readonly #lastEventId: () => string | undefined;

  /** `lastEventId`: the id of the last event that the caller has received. */
  constructor(
    context: ForwardContext,
    lastEventId: () => string | undefined,
  ) {
    this.#context = context;
    this.#lastEventId = lastEventId;
  }

  /** Undefined if no replica becomes available in time. */
  async plan(): Promise<AttemptPlan | undefined> {
    const choice = await this.#choose() ?? await this.#wait();
    if (choice === undefined) return undefined;
    return {
      ...choice,
      work: NO_PROMPT_WORK,
      options: {
        deadlineMilliseconds: this.#context.remainingMilliseconds,
        lastEventId: this.#lastEventId(),
      },
    };
  }

  async #choose(): Promise<ServiceChoice | undefined> {
    const refreshed = await this.#refreshLoad();
    if (this.#context.settled) return undefined;
    const { dependencies } = this.#context;
    return await chooseWithPermit(this.#context, () => {
      const probed = this.#context.claimProbe(this.#context.endpoints());
      if (probed !== undefined) {
        return { endpoint: probed, ...this.#expectedTimeAt(probed) };
      }
      const candidates = this.#candidates;
      const withFreshLoad = candidates.filter(({ id }) => refreshed.has(id));
      const endpoint = withFreshLoad.length > 0
        ? fastestReplica(withFreshLoad, dependencies)
        : chooseServiceReplica(candidates, dependencies);
      return endpoint && { endpoint, ...this.#expectedTimeAt(endpoint) };
    });
  }

  get #candidates(): readonly RegisteredEndpoint[] {
    const { availability } = this.#context.dependencies;
    return this.#context.preferUntried(
      availability.filterHealthy(this.#context.endpoints()),
    );
  }

  /** Refreshes the load of some replicas if it matters; returns their ids. */
  async #refreshLoad(): Promise<ReadonlySet<EndpointId>> {
    const { dependencies, pool } = this.#context;
    const mayRefresh = dependencies.loadReports.isAdaptive(pool.name) &&
      dependencies.isLoadStale();
    if (!mayRefresh) return new Set();
    const refreshed = replicasToRefresh(this.#candidates, dependencies)
      .map(({ id }) => id);
    const isRefreshed = refreshed.length > 0 &&
      dependencies.queryAllowance.take(refreshed.length);
    if (!isRefreshed) return new Set();
    await dependencies.refreshLoad(refreshed);
    return new Set(refreshed);
  }

  #expectedTimeAt(
    endpoint: RegisteredEndpoint,
  ): Pick<ServiceChoice, "expected"> {
    const { expectedTimes, loadReports } = this.#context.dependencies;
    return loadReports.isAdaptive(endpoint.pool)
      ? { expected: expectedTimes.predict(endpoint) }
      : {};
  }

  /** Waits if every replica is overloaded and one becomes available in time. */
  async #wait(): Promise<ServiceChoice | undefined> {
    const mayBecomeReady = isOverloaded(this.#context) ||
      this.#context.isLimited(() => true);
    if (!mayBecomeReady || !isWorthWaiting(this.#context)) return undefined;
    return await waitInQueue(this.#context, () => this.#choose());
  }
}
