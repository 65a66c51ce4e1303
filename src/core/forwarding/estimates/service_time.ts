import type { EndpointId, ServiceName } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";

/**
 * Weight limit of a replica's past, in completions. Work of one pool differs by
 * a factor of two between requests, so eight of them give the mean within a
 * tenth; with more, a replica that has become slow is noticed too late.
 */
const MAX_REPLICA_SAMPLES = 8;
const MAX_POOL_SAMPLES = 100;
/** Weight of the pool's mean in a replica's, in completions. */
const PRIOR_SAMPLES = 1;
/**
 * Half-life of a replica's completions. A replica that is avoided yields no new
 * ones and has to be tried again eventually.
 */
const HALF_LIFE_MILLISECONDS = 15_000;
/** Bounds of one completion's ratio, so that one stall does not dominate. */
const MIN_RATIO = 0.2;
const MAX_RATIO = 8;

interface ReplicaMean {
  ratio: number;
  /** Number of completions behind the ratio, decayed up to `at`. */
  samples: number;
  at: number;
}

interface PoolMean {
  milliseconds: number;
  samples: number;
}

/** A request that a replica has completed, or has not completed in this time. */
export interface CompletedService {
  /** Time that the work took, without waiting for a slot. */
  readonly milliseconds: number;
  /** Work factor that the replica reported with it. */
  readonly workFactor: number;
}

/**
 * Mean service time of replicas relative to their pool, at a work factor of 1.
 */
export class ServiceTimes {
  readonly #timer: TimerService;
  readonly #pools = new Map<ServiceName, PoolMean>();
  readonly #replicas = new Map<EndpointId, ReplicaMean>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records a completed request. */
  record(
    { id, pool }: Pick<RegisteredEndpoint, "id" | "pool">,
    { milliseconds, workFactor }: CompletedService,
  ): void {
    const work = milliseconds / workFactor;
    const poolMean = this.#pools.get(pool) ?? { milliseconds: 0, samples: 0 };
    this.#pools.set(pool, poolMean);
    poolMean.samples = Math.min(MAX_POOL_SAMPLES, poolMean.samples + 1);
    poolMean.milliseconds += (work - poolMean.milliseconds) / poolMean.samples;
    const ratio = Math.min(
      MAX_RATIO,
      Math.max(MIN_RATIO, work / poolMean.milliseconds),
    );
    const { ratio: before, samples } = this.#decayed(id);
    const total = Math.min(MAX_REPLICA_SAMPLES, samples + 1);
    this.#replicas.set(id, {
      ratio: before + (ratio - before) / total,
      samples: total,
      at: this.#timer.now(),
    });
  }

  /**
   * Records a request that was given up before it completed. It counts only if
   * it took longer than expected; otherwise it says nothing.
   */
  recordIncomplete(
    endpoint: Pick<RegisteredEndpoint, "id" | "pool">,
    service: CompletedService,
  ): void {
    const expected = this.mean(endpoint);
    const work = service.milliseconds / service.workFactor;
    if (expected !== undefined && work > expected) {
      this.record(endpoint, service);
    }
  }

  /**
   * Mean service time of the replica at a work factor of 1, in milliseconds;
   * undefined before the pool's first completion.
   */
  mean(
    { id, pool }: Pick<RegisteredEndpoint, "id" | "pool">,
  ): number | undefined {
    const poolMean = this.#pools.get(pool);
    if (poolMean === undefined) return undefined;
    const { ratio, samples } = this.#decayed(id);
    return poolMean.milliseconds * (PRIOR_SAMPLES + samples * ratio) /
      (PRIOR_SAMPLES + samples);
  }

  forget({ id }: { readonly id: EndpointId }): void {
    this.#replicas.delete(id);
  }

  #decayed(
    id: EndpointId,
  ): { readonly ratio: number; readonly samples: number } {
    const replica = this.#replicas.get(id);
    if (replica === undefined) return { ratio: 1, samples: 0 };
    const age = this.#timer.now() - replica.at;
    return {
      ratio: replica.ratio,
      samples: replica.samples * 2 ** (-age / HALF_LIFE_MILLISECONDS),
    };
  }
}
