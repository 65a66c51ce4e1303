import { err, ok, type Result } from "neverthrow";
import { type Failure, failure } from "../errors/mod.ts";
import type { Subscription, TimerService } from "../time/mod.ts";
import type { EndpointLoad } from "../../generated/messages.ts";
import { AdaptiveLimit } from "./adaptive_limit.ts";
import { DeadlineExceededError, SaturatedError } from "./errors.ts";

export type AcquireRefusal = Failure<"saturated" | "late">;

export interface EndpointLimiterOptions {
  readonly timer: TimerService;
  readonly mostRunning: number;
  readonly mostWaiting: number;
  /**
   * Attempts without a first token that are admitted beyond the limit. Engines
   * process prompts sequentially, and a waiting prompt occupies no place in the
   * batch; without extra prompts, the batch is not full while one is processed.
   */
  readonly maxBeforeFirstToken?: number;
  /**
   * Target interval between tokens; if absent, it follows from the best one
   * observed.
   */
  readonly targetMillisecondsBetweenTokens?: number;
  readonly toleratedSlowdown?: number;
}

export interface AcquireOptions {
  /** Lower values are admitted first. */
  readonly priority: number;
  readonly className: string;
  /** Time until the answer has to be complete. */
  readonly deadlineMilliseconds: number;
  /** The attempt may be paused while more urgent work waits. */
  readonly mayPause?: boolean;
  /** Identifies the attempt in the slot that it gets. */
  readonly attemptId?: string;
  /** Tokens of the prompt, counted as backlog until the first token. */
  readonly promptTokens?: number;
}

/** Permission to run one attempt at the endpoint, held until `release`. */
export interface Slot {
  readonly attemptId?: string;
  readonly priority: number;
  /** Records a token from the endpoint. */
  token(): void;
  /** The attempt is paused; its place is available to others. */
  pause(): void;
  /** The attempt is resumed; it occupies its place again. */
  resume(): void;
  /** Releases the slot; further calls do nothing. */
  release(): void;
}

interface Waiter {
  readonly order: number;
  readonly options: AcquireOptions;
  readonly enteredAt: number;
  readonly resolve: (result: Result<Slot, AcquireRefusal>) => void;
  deadlineTimer?: Subscription;
}

interface ActiveAttempt {
  readonly options: AcquireOptions;
  readonly slot: Slot;
  lastTokenAt?: number;
  paused: boolean;
  hasFirstToken: boolean;
  backlogTokens: number;
}

/**
 * Admission control of one endpoint. Several entries place work based on
 * outdated load reports, so a batch could exceed what the endpoint completes in
 * time, and an urgent attempt could wait behind bulk work. Attempts are
 * admitted up to an adaptive limit, the most urgent first; a bounded number
 * waits, and the rest is refused as not run.
 */
export class EndpointLimiter {
  readonly #timer: TimerService;
  readonly #maxWaiting: number;
  readonly #maxBeforeFirstToken: number;
  readonly #limit: AdaptiveLimit;
  readonly #active = new Set<ActiveAttempt>();
  /** Sorted, most urgent first; the length is bounded by `#maxWaiting`. */
  readonly #waiting: Waiter[] = [];
  /** Active attempts that are not paused. */
  #running = 0;
  /** Running attempts without a first token. */
  #beforeFirstToken = 0;
  #paused = 0;
  #nextOrder = 0;

  constructor(options: EndpointLimiterOptions) {
    this.#timer = options.timer;
    this.#maxWaiting = options.mostWaiting;
    this.#maxBeforeFirstToken = options.maxBeforeFirstToken ?? 0;
    this.#limit = new AdaptiveLimit({
      mostRunning: options.mostRunning,
      targetMilliseconds: options.targetMillisecondsBetweenTokens,
      toleratedSlowdown: options.toleratedSlowdown,
    });
  }

  /**
   * Requests a slot. The result resolves immediately if there is capacity or if
   * the attempt is refused, else when a slot is free or the deadline passes.
   */
  acquire(options: AcquireOptions): Promise<Result<Slot, AcquireRefusal>> {
    if (options.deadlineMilliseconds <= 0) {
      return Promise.resolve(
        err(failure(DeadlineExceededError, { waitedMilliseconds: 0 })),
      );
    }
    if (this.#waiting.length === 0 && this.#hasCapacityFor(options.priority)) {
      return Promise.resolve(ok(this.#admit(options)));
    }
    if (!this.#ensureQueueSpaceFor(options)) {
      return Promise.resolve(err(this.#saturatedRefusal()));
    }
    return new Promise((resolve) => this.#enqueue(options, resolve));
  }

  /** Sets a new upper bound, such as the slots of the engine's new role. */
  setCeiling(mostRunning: number): void {
    this.#limit.setCeiling(mostRunning);
    this.#admitWaiting();
  }

  /**
   * Records one interval between tokens that is not reported through a slot.
   */
  observeTokenInterval(milliseconds: number): void {
    this.#limit.observe(milliseconds);
    this.#limit.adjust(this.#timer.now(), this.#running);
  }

  /**
   * Running attempt that should yield: the least urgent one that may be paused,
   * while a more urgent one waits. The caller pauses it at the endpoint and
   * then calls `pause` of the slot.
   */
  nextToPause(): Slot | undefined {
    const first = this.#waiting[0];
    if (first === undefined) return undefined;
    let chosen: ActiveAttempt | undefined;
    for (const attempt of this.#active) {
      if (attempt.paused || !attempt.options.mayPause) continue;
      if (attempt.options.priority <= first.options.priority) continue;
      if (!chosen || attempt.options.priority >= chosen.options.priority) {
        chosen = attempt;
      }
    }
    return chosen?.slot;
  }

  /**
   * Paused attempt that may be resumed: there is capacity, and no more urgent
   * attempt waits.
   */
  nextToResume(): Slot | undefined {
    if (!this.#hasCapacity) return undefined;
    const chosen = this.#mostUrgentPaused();
    if (chosen === undefined) return undefined;
    const first = this.#waiting[0];
    if (first && first.options.priority < chosen.options.priority) {
      return undefined;
    }
    return chosen.slot;
  }

  load(): EndpointLoad {
    let backlog = 0;
    for (const attempt of this.#active) backlog += attempt.backlogTokens;
    for (const waiter of this.#waiting) {
      backlog += waiter.options.promptTokens ?? 0;
    }
    return {
      running: this.#active.size,
      waiting: this.#waiting.length,
      limit: this.#limit.limit + this.#maxBeforeFirstToken,
      millisecondsBetweenTokens: this.#limit.millisecondsBetweenTokens,
      prefillBacklogTokens: backlog,
    };
  }

  #admit(options: AcquireOptions): Slot {
    const attempt: ActiveAttempt = {
      options,
      paused: false,
      hasFirstToken: false,
      backlogTokens: options.promptTokens ?? 0,
      slot: {
        attemptId: options.attemptId,
        priority: options.priority,
        token: () => this.#recordToken(attempt),
        pause: () => this.#setPaused(attempt, true),
        resume: () => this.#setPaused(attempt, false),
        release: () => this.#release(attempt),
      },
    };
    this.#active.add(attempt);
    this.#countRunning(attempt, 1);
    this.#limit.adjust(this.#timer.now(), this.#running);
    return attempt.slot;
  }

  #recordToken(attempt: ActiveAttempt): void {
    const now = this.#timer.now();
    if (attempt.lastTokenAt !== undefined) {
      this.observeTokenInterval(now - attempt.lastTokenAt);
    }
    attempt.lastTokenAt = now;
    if (attempt.hasFirstToken || !this.#active.has(attempt)) return;
    attempt.backlogTokens = 0;
    attempt.hasFirstToken = true;
    if (attempt.paused) return;
    this.#beforeFirstToken -= 1;
    this.#admitWaiting();
  }

  #countRunning(attempt: ActiveAttempt, change: 1 | -1): void {
    this.#running += change;
    if (!attempt.hasFirstToken) this.#beforeFirstToken += change;
  }

  #setPaused(attempt: ActiveAttempt, paused: boolean): void {
    if (!this.#active.has(attempt) || attempt.paused === paused) return;
    attempt.paused = paused;
    attempt.lastTokenAt = undefined;
    this.#countRunning(attempt, paused ? -1 : 1);
    this.#paused += paused ? 1 : -1;
    this.#admitWaiting();
  }

  #release(attempt: ActiveAttempt): void {
    if (!this.#active.delete(attempt)) return;
    if (attempt.paused) this.#paused -= 1;
    else this.#countRunning(attempt, -1);
    this.#limit.adjust(this.#timer.now(), this.#running);
    this.#admitWaiting();
  }

  get #hasCapacity(): boolean {
    const extra = Math.min(this.#beforeFirstToken, this.#maxBeforeFirstToken);
    return this.#running - extra < this.#limit.limit;
  }

  /** A paused attempt is resumed before new ones that are not more urgent. */
  #hasCapacityFor(priority: number): boolean {
    if (!this.#hasCapacity) return false;
    const paused = this.#mostUrgentPaused();
    return paused === undefined || priority < paused.options.priority;
  }

  #mostUrgentPaused(): ActiveAttempt | undefined {
    if (this.#paused === 0) return undefined;
    let chosen: ActiveAttempt | undefined;
    for (const attempt of this.#active) {
      if (!attempt.paused) continue;
      if (!chosen || attempt.options.priority < chosen.options.priority) {
        chosen = attempt;
      }
    }
    return chosen;
  }

  #admitWaiting(): void {
    for (;;) {
      const waiter = this.#waiting[0];
      if (waiter === undefined) return;
      if (!this.#hasCapacityFor(waiter.options.priority)) return;
      this.#waiting.shift();
      waiter.deadlineTimer?.cancel();
      waiter.resolve(ok(this.#admit(waiter.options)));
    }
  }

  /**
   * Returns false if the wait queue is full of work that is at least as urgent.
   */
  #ensureQueueSpaceFor(options: AcquireOptions): boolean {
    if (this.#waiting.length < this.#maxWaiting) return true;
    const last = this.#waiting[this.#waiting.length - 1];
    if (last === undefined || last.options.priority <= options.priority) {
      return false;
    }
    this.#waiting.pop();
    last.deadlineTimer?.cancel();
    last.resolve(err(this.#saturatedRefusal()));
    return true;
  }

  #enqueue(
    options: AcquireOptions,
    resolve: (result: Result<Slot, AcquireRefusal>) => void,
  ): void {
    const enteredAt = this.#timer.now();
    const waiter: Waiter = {
      order: this.#nextOrder++,
      options,
      enteredAt,
      resolve,
    };
    const index = this.#waiting.findIndex((other) =>
      other.options.priority > options.priority
    );
    if (index === -1) this.#waiting.push(waiter);
    else this.#waiting.splice(index, 0, waiter);
    waiter.deadlineTimer = this.#timer.after(
      options.deadlineMilliseconds,
      () => this.#expire(waiter),
    );
  }

  /** Refuses all that wait for a slot. */
  refuseWaiting(): void {
    for (const waiter of this.#waiting.splice(0)) {
      waiter.deadlineTimer?.cancel();
      waiter.resolve(err(this.#saturatedRefusal()));
    }
  }

  #expire(waiter: Waiter): void {
    const index = this.#waiting.indexOf(waiter);
    if (index === -1) return;
    this.#waiting.splice(index, 1);
    const waitedMilliseconds = this.#timer.now() - waiter.enteredAt;
    waiter.resolve(err(failure(DeadlineExceededError, { waitedMilliseconds })));
  }

  #saturatedRefusal(): AcquireRefusal {
    return failure(SaturatedError, {
      running: this.#running,
      limit: this.#limit.limit,
    });
  }
}
