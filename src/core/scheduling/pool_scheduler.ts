import PQueue from "p-queue";
import { err, ok, type Result } from "neverthrow";
import { ClassThinning, DrainMeter, refusal } from "../admission/mod.ts";
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

/** Least time between two reviews of the endpoints' health. */
const REVIEW_MILLISECONDS = 200;

/** Admission, queue and placement for one pool of the inventory. */
export class PoolScheduler {
  readonly #options: PoolSchedulerOptions;
  readonly #placer: Placer;
  readonly #learning: PoolLearning;
  readonly #division = new RoleDivision();
  readonly #window = new DemandWindow();
  readonly #drain = new DrainMeter();
  readonly #thinning = new ClassThinning();
  readonly #queue: RequestQueue;
  readonly #dispatch: PQueue<RequestQueue, QueueOptions>;
  readonly #waitingById = new Map<string, Admitted>();
  #classes: readonly WorkClass[];
  #engine: EngineCharacteristics | undefined;
  #reviewedAt = -Infinity;
  #running = 0;

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
        drainPerSecond: this.#drainPerSecond(profile),
      }),
    );
  }

  /**
   * Admits what can be on time. Load: more work than the pool can finish.
   * Harm prevented: time spent on answers that come too late, which makes the
   * next ones late as well. Limit: the predicted finish times the learned
   * error of such predictions, against the deadline.
   */
  submit(profile: RequestProfile): Result<WaitingRequest, Refusal> {
    const now = this.#now();
    const question = this.#question(profile);
    if (!this.#placer.hasUsable(now)) {
      return err(this.refuse(profile, "no_endpoint"));
    }
    const { milliseconds: service, engineMilliseconds } = this.#placer
      .shortest(question);
    const wait = this.#expectedWait(question, service);
    const deviations = question.rank === 0
      ? this.#options.policy.urgentDeviations
      : this.#options.policy.otherDeviations;
    const factor = this.#learning.errorFactor(profile.className, deviations);
    const left = profile.deadline - now;
    if (service > left && wait === 0 && this.#running === 0) {
      return err(this.refuse(profile, "impossible_deadline"));
    }
    if ((wait + service) * factor > left) {
      return err(this.refuse(profile, "saturated"));
    }
    if (this.#isThinnedOut(question, wait)) {
      return err(this.refuse(profile, "saturated"));
    }
    const cost = this.#options.policy.learnsDrain
      ? engineMilliseconds
      : service;
    return ok(this.#admit(question, { wait, service, cost }));
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

  /** True where the class has had its share of a pool that is short. */
  #isThinnedOut(question: PlacementQuestion, wait: number): boolean {
    const { profile, rank, now } = question;
    if (rank === 0 || !this.#options.policy.thinsClasses) return false;
    const share = this.#placer.servedShare(profile.className);
    const isOver = this.#thinning.isOver(profile.className, share);
    const left = profile.deadline - now;
    if (wait > left * this.#options.policy.thinningWaitShare && isOver) {
      return true;
    }
    this.#thinning.admitted(profile.className);
    return false;
  }

  /** Wait for a slot: what goes before, over the places that serve it. */
  #expectedWait(question: PlacementQuestion, service: number): number {
    const { rank, now } = question;
    const { className } = question.profile;
    const ahead = this.#queue.costBefore(className);
    if (ahead === 0 && this.#placer.hasRoom(className, { rank, now })) return 0;
    const share = rank === 0 ? 1 : this.#options.policy.lessUrgentShare;
    const places = Math.max(1, this.#placer.places(now) * share);
    if (!this.#options.policy.learnsDrain) return (ahead + service) / places;
    const counts = this.#placer.usable(now);
    const expected = (counts.mixed + counts.prefill + counts.decode) /
      this.#sharing();
    return ahead / this.#drain.ratePerMillisecond(rank, { expected, now });
  }

  /** Requests of such service that the pool's places finish in a second. */
  #drainPerSecond(profile: RequestProfile): number {
    const question = this.#question(profile);
    const { milliseconds: service } = this.#placer.shortest(question);
    if (!Number.isFinite(service) || service <= 0) return 1;
    return this.#placer.places(question.now) * 1_000 / service;
  }

  #admit(
    question: PlacementQuestion,
    expected: { wait: number; service: number; cost: number },
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
    this.#drain.admitted(question.rank, { cost, now });
    void this.#dispatch.add(() => this.#run(admitted), {
      id: profile.requestId,
      className: profile.className,
      workspace: profile.workspace,
      latestStart,
      cost,
    });
    if (!admitted.settled) {
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
    this.#drain.dispatched({
      cost: admitted.cost,
      now,
      othersWait: this.#queue.waiting > 0,
    });
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

  #sharing(): number {
    return Math.max(1, this.#options.entriesSharing());
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
      sharing: this.#sharing(),
      mostUrgent: this.#classes[0].name,
    });
  }

  #review(): void {
    const now = this.#now();
    if (now - this.#reviewedAt < REVIEW_MILLISECONDS) return;
    this.#reviewedAt = now;
    this.#placer.review(now);
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
