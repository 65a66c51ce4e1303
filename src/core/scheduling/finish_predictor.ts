import { ClassThinning, DrainMeter } from "../admission/mod.ts";
import type { PlacementQuestion, Placer } from "../placement/mod.ts";
import type { RequestQueue } from "../queueing/mod.ts";
import type { SchedulingPolicy } from "./policy.ts";
import type { PoolLearning } from "./pool_learning.ts";

/** What a request is expected to need, milliseconds. */
export interface Expectation {
  /** Wait for a slot. */
  readonly wait: number;
  /** From the slot to the whole answer. */
  readonly service: number;
  /** What it takes of the pool, in the unit that the queue counts in. */
  readonly cost: number;
}

export interface FinishPredictorOptions {
  readonly placer: Placer;
  readonly queue: RequestQueue;
  readonly learning: PoolLearning;
  readonly policy: SchedulingPolicy;
  readonly entriesSharing: () => number;
}

/** Whether a request can be answered by its deadline. */
export type Verdict = "admit" | "impossible_deadline" | "saturated";

/** Predicts when an answer would be complete, and judges by it. */
export class FinishPredictor {
  readonly #options: FinishPredictorOptions;
  readonly #drain = new DrainMeter();
  readonly #thinning = new ClassThinning();

  constructor(options: FinishPredictorOptions) {
    this.#options = options;
  }

  expect(question: PlacementQuestion): Expectation {
    const { placer, policy } = this.#options;
    const shortest = placer.shortest(question);
    const service = shortest.milliseconds;
    return {
      service,
      wait: this.#expectedWait(question, service),
      cost: policy.learnsDrain ? shortest.engineMilliseconds : service,
    };
  }

  /**
   * Lets in what can be on time. Load: more work than the pool can finish.
   * Harm prevented: time spent on answers that come too late, which makes the
   * next ones late as well. Limit: the predicted finish times the learned
   * error of such predictions, against the deadline.
   */
  judge(question: PlacementQuestion, expected: Expectation): Verdict {
    const { learning, policy } = this.#options;
    const { profile, rank, now } = question;
    const { wait, service } = expected;
    const left = profile.deadline - now;
    if (service > left && wait === 0) return "impossible_deadline";
    const deviations = rank === 0
      ? policy.urgentDeviations
      : policy.otherDeviations;
    const factor = learning.errorFactor(profile.className, deviations);
    if ((wait + service) * factor > left) return "saturated";
    if (this.#isThinnedOut(question, wait)) return "saturated";
    return "admit";
  }

  admitted(question: PlacementQuestion, cost: number): void {
    this.#drain.admitted(question.rank, { cost, now: question.now });
  }

  dispatched(cost: number, now: number): void {
    const othersWait = this.#options.queue.waiting > 0;
    this.#drain.dispatched({ cost, now, othersWait });
  }

  /** Requests like this that the pool's places finish in a second. */
  drainPerSecond(question: PlacementQuestion): number {
    const { placer } = this.#options;
    const { milliseconds } = placer.shortest(question);
    if (!Number.isFinite(milliseconds) || milliseconds <= 0) return 1;
    return placer.places(question.now) * 1_000 / milliseconds;
  }

  /** What goes before, over the rate at which the queue drains. */
  #expectedWait(question: PlacementQuestion, service: number): number {
    const { placer, queue, policy, entriesSharing } = this.#options;
    const { rank, now } = question;
    const { className } = question.profile;
    const ahead = queue.costBefore(className);
    if (ahead === 0 && placer.hasRoom(className, { rank, now })) return 0;
    if (!policy.learnsDrain) {
      const share = rank === 0 ? 1 : policy.lessUrgentShare;
      return (ahead + service) / Math.max(1, placer.places(now) * share);
    }
    const counts = placer.usable(now);
    const expected = (counts.mixed + counts.prefill + counts.decode) /
      Math.max(1, entriesSharing());
    return ahead / this.#drain.ratePerMillisecond(rank, { expected, now });
  }

  /** True where the class has had its share of a pool that is short. */
  #isThinnedOut(question: PlacementQuestion, wait: number): boolean {
    const { placer, policy } = this.#options;
    const { profile, rank, now } = question;
    if (rank === 0 || !policy.thinsClasses) return false;
    const share = placer.servedShare(profile.className);
    const isOver = this.#thinning.isOver(profile.className, share);
    const left = profile.deadline - now;
    if (wait > left * policy.thinningWaitShare && isOver) return true;
    this.#thinning.admitted(profile.className);
    return false;
  }
}
