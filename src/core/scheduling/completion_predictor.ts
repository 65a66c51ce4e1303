import { ClassShareLimiter, DrainRateEstimator } from "../admission/mod.ts";
import type { PlacementQuery, Placer } from "../placement/mod.ts";
import type { RequestQueue } from "../queueing/mod.ts";
import type { SchedulingPolicy } from "./policy.ts";
import type { PoolStatistics } from "./pool_statistics.ts";

/** Predicted times, in milliseconds, and cost of a request. */
export interface CompletionEstimate {
  /** Wait for a slot. */
  readonly wait: number;
  /** From the slot to the complete answer. */
  readonly service: number;
  /** Use of the pool's capacity, in the cost unit of the queue. */
  readonly cost: number;
}

export interface CompletionPredictorOptions {
  readonly placer: Placer;
  readonly queue: RequestQueue;
  readonly statistics: PoolStatistics;
  readonly policy: SchedulingPolicy;
  readonly entriesSharing: () => number;
}

/** Whether a request can be answered by its deadline. */
export type AdmissionDecision = "admit" | "impossible_deadline" | "saturated";

/** Predicts when a request completes, and decides on its admission. */
export class CompletionPredictor {
  readonly #options: CompletionPredictorOptions;
  readonly #drainRate = new DrainRateEstimator();
  readonly #shareLimiter = new ClassShareLimiter();

  constructor(options: CompletionPredictorOptions) {
    this.#options = options;
  }

  estimate(query: PlacementQuery): CompletionEstimate {
    const { placer, policy } = this.#options;
    const minimum = placer.minimumTimes(query);
    const service = minimum.milliseconds;
    return {
      service,
      wait: this.#expectedWait(query, service),
      cost: policy.learnsDrain ? minimum.engineMilliseconds : service,
    };
  }

  /**
   * Admits a request that can finish on time. With more work than the pool can
   * finish, engine time spent on late answers makes the next ones late as well.
   * The predicted completion, multiplied by the learned correction factor, is
   * compared with the deadline.
   */
  decide(
    query: PlacementQuery,
    estimate: CompletionEstimate,
  ): AdmissionDecision {
    const { statistics, policy } = this.#options;
    const { profile, rank, now } = query;
    const { wait, service } = estimate;
    const timeLeft = profile.deadline - now;
    if (service > timeLeft && wait === 0) return "impossible_deadline";
    const deviations = rank === 0
      ? policy.urgentDeviations
      : policy.otherDeviations;
    const factor = statistics.correctionFactor(profile.className, deviations);
    if ((wait + service) * factor > timeLeft) return "saturated";
    if (this.#exceedsServedShare(query, wait)) return "saturated";
    return "admit";
  }

  recordAdmission(query: PlacementQuery, cost: number): void {
    this.#drainRate.recordAdmission(query.rank, { cost, now: query.now });
  }

  recordDispatch(cost: number, now: number): void {
    const othersWait = this.#options.queue.waiting > 0;
    this.#drainRate.recordDispatch({ cost, now, othersWait });
  }

  /** Requests of this kind that the pool's slots complete per second. */
  drainPerSecond(query: PlacementQuery): number {
    const { placer } = this.#options;
    const { milliseconds } = placer.minimumTimes(query);
    if (!Number.isFinite(milliseconds) || milliseconds <= 0) return 1;
    return placer.capacity(query.now) * 1_000 / milliseconds;
  }

  /** Cost queued ahead of the request over the drain rate of the queue. */
  #expectedWait(query: PlacementQuery, service: number): number {
    const { placer, queue, policy, entriesSharing } = this.#options;
    const { rank, now } = query;
    const { className } = query.profile;
    const costAhead = queue.costAhead(className);
    if (costAhead === 0 && placer.canPlace(className, { rank, now })) return 0;
    if (!policy.learnsDrain) {
      const share = rank === 0 ? 1 : policy.lessUrgentShare;
      return (costAhead + service) / Math.max(1, placer.capacity(now) * share);
    }
    const counts = placer.usableCounts(now);
    const expected = (counts.mixed + counts.prefill + counts.decode) /
      Math.max(1, entriesSharing());
    return costAhead /
      this.#drainRate.ratePerMillisecond(rank, { expected, now });
  }

  /**
   * Whether the class has had its share of a pool that is short of capacity.
   * Counts the request as admitted if not.
   */
  #exceedsServedShare(query: PlacementQuery, wait: number): boolean {
    const { placer, policy } = this.#options;
    const { profile, rank, now } = query;
    if (rank === 0 || !policy.thinsClasses) return false;
    const share = placer.servedShare(profile.className);
    const exceedsShare = this.#shareLimiter.exceedsShare(
      profile.className,
      share,
    );
    const timeLeft = profile.deadline - now;
    if (wait > timeLeft * policy.thinningWaitShare && exceedsShare) return true;
    this.#shareLimiter.recordAdmission(profile.className);
    return false;
  }
}
