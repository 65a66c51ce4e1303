import PQueue from "p-queue";
import { err, ok, type Result } from "neverthrow";
import { refusal } from "../admission/mod.ts";
import type { EndpointId } from "../identity/mod.ts";
import {
  EndpointPicture,
  type PlacementQuestion,
  Placer,
} from "../placement/mod.ts";
import { type QueueOptions, RequestQueue } from "../queueing/mod.ts";
import type { Random } from "../random/mod.ts";
import type { Refusal, RequestProfile } from "../requests/mod.ts";
import { retryAfterMilliseconds } from "../retry/mod.ts";
import type { Subscription, TimerService } from "../time/mod.ts";
import type { EngineCharacteristics, Pool } from "../../generated/inventory.ts";
import type { Rules, WorkClass } from "../../generated/rules.ts";
import { DemandWindow } from "./demand_window.ts";
import { type Expectation, FinishPredictor } from "./finish_predictor.ts";
import type { SchedulingPolicy } from "./policy.ts";
import { picturesOf } from "./pool_endpoints.ts";
import { PoolLearning } from "./pool_learning.ts";
import { RoleDivision } from "./role_division.ts";
import type {
  AttemptSummary,
  Placement,
  PoolDemand,
  WaitingRequest,
} from "./scheduler.ts";

export interface PoolSchedulerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly availabilityZone: string;
  readonly salt: string;
  readonly policy: SchedulingPolicy;
  readonly entriesSharing: () => number;
  /** Told of every answer; successes pay for later retries. */
  readonly answered: () => void;
}

/** A request from its admission to the end of its attempt. */
interface Admitted {
  readonly profile: RequestProfile;
  readonly rank: number;
  readonly cost: number;
  readonly outputTokens: number;
  readonly submittedAt: number;
  /** Predicted time to the whole answer, without the learned factor. */
  readonly predictedMilliseconds: number;
  readonly settle: (result: Result<Placement, Refusal>) => void;
  settled: boolean;
  alarm?: Subscription;
}

/**
 * Time between two looks at the room while requests wait. Limit: well under
 * the time to the first token that callers expect, and few timers.
 */
const LOOK_AGAIN_MILLISECONDS = 50;
/** Least time between two reviews of the endpoints' health. */
const REVIEW_MILLISECONDS = 200;

/** Admission, queue and placement for one pool of the inventory. */
export class PoolScheduler {
  readonly #options: PoolSchedulerOptions;
  readonly #placer: Placer;
  readonly #learning: PoolLearning;
  readonly #division = new RoleDivision();
  readonly #window = new DemandWindow();
  readonly #predictor: FinishPredictor;
  readonly #queue: RequestQueue;
  readonly #dispatch: PQueue<RequestQueue, QueueOptions>;
  readonly #waitingById = new Map<string, Admitted>();
  #classes: readonly WorkClass[];
  #engine: EngineCharacteristics | undefined;
  #reviewedAt = -Infinity;
  #running = 0;
  #looksAgain = false;

  constructor(
    pool: Pool,
    rules: Rules,
    options: PoolSchedulerOptions,
  ) {
    const { policy } = options;
    this.#options = options;
    this.#classes = sorted(rules.classes);
    this.#learning = new PoolLearning(pool.kind === "service");
    this.#placer = new Placer({ ...policy, ...options });
    this.#queue = new RequestQueue({
      classes: rules.classes,
      defaultShare: policy.defaultShare,
      hasRoom: (workClass) =>
        this.#placer.hasRoom(workClass.name, {
          rank: this.#rankOf(workClass),
          now: this.#now(),
        }),
    });
    this.#predictor = new FinishPredictor({
      ...options,
      placer: this.#placer,
      queue: this.#queue,
      learning: this.#learning,
    });
    this.#dispatch = new PQueue({ queueClass: queueClassOf(this.#queue) });
    this.configure(pool, rules);
  }

  get waiting(): number {
    return this.#queue.waiting;
  }

  get running(): number {
    return this.#running;
  }

  configure(pool: Pool, rules: Rules): void {
    this.#engine = pool.engine;
    this.#classes = sorted(rules.classes);
    this.#queue.useClasses(this.#classes);
    this.#learning.expectInitially(this.#classes);
    this.#placer.use(picturesOf(pool, {
      ...this.#options,
      ranks: this.#classes.length,
      known: (endpoint) => this.#placer.get(endpoint),
    }));
    this.#dispatchMore();
  }

  picture(endpoint: EndpointId): EndpointPicture | undefined {
    return this.#placer.get(endpoint);
  }

  /** Something may have become free. */
  changed(): void {
    this.#review();
    this.#dispatchMore();
  }

  cacheEvent(
    endpoint: EndpointId,
    event: { added: readonly string[]; dropped: readonly string[] },
  ): void {
    this.#placer.cacheEvent(endpoint, event);
  }

  demand(pool: string): PoolDemand {
    return this.#window.read(pool, {
      now: this.#now(),
      waiting: this.#queue.waiting,
    });
  }

  rank(className: string): number {
    const index = this.#classes.findIndex((one) => one.name === className);
    return index === -1 ? this.#classes.length - 1 : index;
  }

  get ranks(): number {
    return this.#classes.length;
  }

  waitingOf(workspace: string): number {
    return this.#queue.waitingOf(workspace);
  }

  /** Notes the demand, whatever becomes of the request. */
  arrived(profile: RequestProfile): void {
    this.#divide();
    this.#window.arrived(this.#now(), {
      className: profile.className,
      promptTokens: this.#learning.uncachedTokens(profile),
      outputTokens: this.#learning.expectedOutput(profile),
    });
  }

  /** A refusal with the time in which what stands before the class drains. */
  refuse(profile: RequestProfile, reason: Refusal["reason"]): Refusal {
    this.#window.refused(this.#now());
    if (reason === "impossible_deadline") return refusal(reason);
    return refusal(
      reason,
      retryAfterMilliseconds(this.#queue.waitingIn(profile.className), {
        random: this.#options.random,
        drainPerSecond: this.#predictor.drainPerSecond(
          this.#question(profile),
        ),
      }),
    );
  }

  /** Admits the request to the queue, or refuses it with a final answer. */
  submit(profile: RequestProfile): Result<WaitingRequest, Refusal> {
    const question = this.#question(profile);
    if (!this.#placer.hasUsable(question.now)) {
      return err(this.refuse(profile, "no_endpoint"));
    }
    const expected = this.#predictor.expect(question);
    const verdict = this.#predictor.judge(question, expected);
    if (verdict !== "admit") return err(this.refuse(profile, verdict));
    return ok(this.#admit(question, expected));
  }

  /** The pool is no longer in force: everything that waits gets its answer. */
  refuseAll(): void {
    for (const admitted of [...this.#waitingById.values()]) {
      this.#giveUp(admitted, "not_configured");
    }
  }

  /** Gives up a waiting request of a less urgent class; false if none is. */
  giveUpLessUrgent(profile: RequestProfile): boolean {
    const priority = this.#classes[this.rank(profile.className)].priority;
    const id = this.#queue.lessUrgentThan(priority);
    const admitted = id === undefined ? undefined : this.#waitingById.get(id);
    if (admitted === undefined) return false;
    this.#giveUp(admitted, "saturated");
    return true;
  }

  #now(): number {
    return this.#options.timer.now();
  }

  #rankOf(workClass: WorkClass): number {
    return this.#classes.indexOf(workClass);
  }

  #question(profile: RequestProfile): PlacementQuestion {
    return {
      profile,
      rank: this.rank(profile.className),
      outputTokens: this.#learning.expectedOutput(profile),
      now: this.#now(),
    };
  }

  #admit(
    question: PlacementQuestion,
    expected: Expectation,
  ): WaitingRequest {
    const { profile, now } = question;
    const { service, cost } = expected;
    let settle!: (result: Result<Placement, Refusal>) => void;
    const placed = new Promise<Result<Placement, Refusal>>((resolve) => {
      settle = resolve;
    });
    const admitted: Admitted = {
      profile,
      rank: question.rank,
      cost,
      outputTokens: question.outputTokens,
      submittedAt: now,
      predictedMilliseconds: expected.wait + service,
      settle,
      settled: false,
    };
    this.#waitingById.set(profile.requestId, admitted);
    const latestStart = profile.deadline - service;
    this.#predictor.admitted(question, cost);
    void this.#dispatch.add(() => this.#run(admitted), {
      id: profile.requestId,
      className: profile.className,
      workspace: profile.workspace,
      latestStart,
      cost,
    });
    if (!admitted.settled) {
      this.#lookAgain();
      admitted.alarm = this.#options.timer.after(
        latestStart - now,
        () => this.#giveUp(admitted, "late"),
      );
    }
    return { placed, cancel: () => this.#giveUp(admitted, "late") };
  }

  /** Final answer for a request that waits; nothing happens to a placed one. */
  #giveUp(admitted: Admitted, reason: Refusal["reason"]): void {
    if (admitted.settled) return;
    this.#queue.remove(admitted.profile.requestId);
    this.#settle(admitted, err(this.refuse(admitted.profile, reason)));
  }

  #settle(admitted: Admitted, result: Result<Placement, Refusal>): void {
    admitted.settled = true;
    admitted.alarm?.cancel();
    this.#waitingById.delete(admitted.profile.requestId);
    admitted.settle(result);
  }

  /** The job that `p-queue` runs: it ends when the slot is given back. */
  #run(admitted: Admitted): Promise<void> {
    const now = this.#now();
    this.#predictor.dispatched(admitted.cost, now);
    const candidate = this.#placer.choose(this.#question(admitted.profile));
    if (candidate === undefined) {
      this.#settle(admitted, err(this.refuse(admitted.profile, "no_endpoint")));
      return Promise.resolve();
    }
    const { picture } = candidate;
    const attempt = {
      rank: admitted.rank,
      promptTokens: candidate.promptTokens,
    };
    this.#learning.placed(admitted.profile, candidate.promptTokens);
    picture.started(attempt, now);
    if (picture.health.mayProbe(now)) picture.health.probeStarted();
    this.#placer.learnPlacement(picture.facts.endpoint, admitted.profile);
    this.#running += 1;
    return new Promise((free) => {
      let released = false;
      const release = (summary: AttemptSummary) => {
        if (released) return;
        released = true;
        this.#running -= 1;
        if (summary.result === "answered") this.#options.answered();
        picture.ended(attempt);
        this.#learning.ended(
          { ...admitted, candidate, summary, placedAt: now },
          this.#now(),
        );
        this.changed();
        free();
      };
      this.#settle(
        admitted,
        ok({
          endpoint: picture.facts.endpoint,
          priority: this.#classes[admitted.rank]?.priority ?? 0,
          release,
        }),
      );
    });
  }

  /** Divides the classes among the roles, from what this entry sees. */
  #divide(): void {
    const now = this.#now();
    const { policy } = this.#options;
    if (this.#engine === undefined || !policy.dividesByRole) return;
    if (!this.#division.isDue(now)) return;
    const { classes = [] } = this.#window.read("", { now, waiting: 0 });
    this.#division.divide(this.#placer, {
      now,
      engine: this.#engine,
      classes,
      sharing: Math.max(1, this.#options.entriesSharing()),
      mostUrgent: this.#classes[0].name,
    });
  }

  #review(): void {
    const now = this.#now();
    if (now - this.#reviewedAt < REVIEW_MILLISECONDS) return;
    this.#reviewedAt = now;
    this.#placer.review(now);
  }

  /**
   * Room appears as prompts are read and foreign work fades, without any
   * event. While reports are missing, a queue that waited for one would stand
   * still before idle endpoints until its requests are late.
   */
  #lookAgain(): void {
    if (this.#looksAgain || this.#queue.waiting === 0) return;
    this.#looksAgain = true;
    this.#options.timer.after(LOOK_AGAIN_MILLISECONDS, () => {
      this.#looksAgain = false;
      this.changed();
      this.#lookAgain();
    });
  }

  /** Setting the concurrency makes `p-queue` start all that it can. */
  #dispatchMore(): void {
    this.#dispatch.concurrency = Infinity;
  }
}

function sorted(classes: readonly WorkClass[]): WorkClass[] {
  return [...classes].sort((one, other) => one.priority - other.priority);
}

/** `p-queue` makes its own queue; it is given the one that is already made. */
function queueClassOf(queue: RequestQueue): new () => RequestQueue {
  return class {
    constructor() {
      return queue;
    }
  } as unknown as new () => RequestQueue;
}
