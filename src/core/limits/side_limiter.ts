import { err, ok, type Result } from "neverthrow";
import { type Failure, failure } from "../errors/mod.ts";
import type { Subscription, TimerService } from "../time/mod.ts";
import type { EndpointLoad } from "../../generated/messages.ts";
import { AdaptiveLimit } from "./adaptive_limit.ts";
import { LateError, SaturatedError } from "./errors.ts";

export type EnterRefusal = Failure<"saturated" | "late">;

export interface SideLimiterOptions {
  readonly timer: TimerService;
  readonly mostRunning: number;
  readonly mostWaiting: number;
  /**
   * Attempts without a first token that are let in beyond the limit. Engines
   * process prompts one after the other, and a prompt that waits takes no place
   * of the batch; without any, the batch runs short while a prompt is read.
   */
  readonly mostBeforeFirstToken?: number;
  /** Aim for the time between tokens; without it the limit finds its own. */
  readonly targetMillisecondsBetweenTokens?: number;
  readonly toleratedSlowdown?: number;
}

export interface EnterOptions {
  /** Smaller comes first. */
  readonly priority: number;
  readonly className: string;
  /** Time that is left until the answer has to be complete. */
  readonly deadlineMilliseconds: number;
  /** The attempt may be paused while more urgent work waits. */
  readonly mayPause?: boolean;
  /** Names the attempt in `toPause` and `toResume`. */
  readonly attemptId?: string;
  /** Tokens of the prompt, counted as backlog until the first token. */
  readonly promptTokens?: number;
}

/** Permission to run one attempt at the endpoint, held until `release`. */
export interface Slot {
  readonly attemptId?: string;
  readonly priority: number;
  /** A token has come from the endpoint. */
  token(): void;
  /** The attempt stands still; its place is free for others meanwhile. */
  pause(): void;
  /** The attempt goes on; its place is taken again. */
  resume(): void;
  /** Gives the slot back; a second call does nothing. */
  release(): void;
}

interface Waiter {
  readonly order: number;
  readonly options: EnterOptions;
  readonly enteredAt: number;
  readonly settle: (result: Result<Slot, EnterRefusal>) => void;
  alarm?: Subscription;
}

interface Held {
  readonly options: EnterOptions;
  readonly slot: Slot;
  lastTokenAt?: number;
  paused: boolean;
  hasToken: boolean;
  backlogTokens: number;
}

/**
 * Door to one endpoint. Load: several entries that place work on old reports.
 * Harm prevented: a batch larger than the endpoint carries in time, and an
 * urgent attempt behind bulk. It lets in up to an adaptive limit, the most
 * urgent first; a few wait, the rest is sent back as not run.
 */
export class SideLimiter {
  readonly #timer: TimerService;
  readonly #mostWaiting: number;
  readonly #mostBeforeFirstToken: number;
  readonly #limit: AdaptiveLimit;
  readonly #held = new Set<Held>();
  /** Sorted, most urgent first; short by its bound. */
  readonly #waiting: Waiter[] = [];
  /** Held and not paused. */
  #running = 0;
  /** Of those, without a first token. */
  #beforeFirstToken = 0;
  #paused = 0;
  #order = 0;

  constructor(options: SideLimiterOptions) {
    this.#timer = options.timer;
    this.#mostWaiting = options.mostWaiting;
    this.#mostBeforeFirstToken = options.mostBeforeFirstToken ?? 0;
    this.#limit = new AdaptiveLimit({
      mostRunning: options.mostRunning,
      targetMilliseconds: options.targetMillisecondsBetweenTokens,
      toleratedSlowdown: options.toleratedSlowdown,
    });
  }

  /**
   * Asks for a slot. The result settles at once where there is room, or where
   * the attempt is sent back; else when a slot is free or the deadline passes.
   */
  enter(options: EnterOptions): Promise<Result<Slot, EnterRefusal>> {
    if (options.deadlineMilliseconds <= 0) {
      return Promise.resolve(
        err(failure(LateError, { waitedMilliseconds: 0 })),
      );
    }
    if (this.#waiting.length === 0 && this.#hasPlaceFor(options.priority)) {
      return Promise.resolve(ok(this.#hold(options)));
    }
    if (!this.#makeRoomFor(options)) {
      return Promise.resolve(err(this.#saturated()));
    }
    return new Promise((settle) => this.#wait(options, settle));
  }

  /** Takes a new ceiling, such as the slots of the engine's new role. */
  useCeiling(mostRunning: number): void {
    this.#limit.useCeiling(mostRunning);
    this.#letIn();
  }

  /** One observed time between tokens, where no slot tells its tokens. */
  observeBetweenTokens(milliseconds: number): void {
    this.#limit.observe(milliseconds);
    this.#limit.adjust(this.#timer.now(), this.#running);
  }

  /**
   * Running attempt that should yield: the least urgent one that may pause,
   * while a more urgent one waits. The caller pauses it at the endpoint and
   * then calls the slot's `pause`.
   */
  toPause(): Slot | undefined {
    const first = this.#waiting[0];
    if (first === undefined) return undefined;
    let chosen: Held | undefined;
    for (const held of this.#held) {
      if (held.paused || !held.options.mayPause) continue;
      if (held.options.priority <= first.options.priority) continue;
      if (!chosen || held.options.priority >= chosen.options.priority) {
        chosen = held;
      }
    }
    return chosen?.slot;
  }

  /** Paused attempt that may go on, because there is room and nobody waits. */
  toResume(): Slot | undefined {
    if (!this.#hasPlace) return undefined;
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
    for (const held of this.#held) backlog += held.backlogTokens;
    for (const waiter of this.#waiting) {
      backlog += waiter.options.promptTokens ?? 0;
    }
    return {
      running: this.#held.size,
      waiting: this.#waiting.length,
      limit: this.#limit.limit + this.#mostBeforeFirstToken,
      millisecondsBetweenTokens: this.#limit.millisecondsBetweenTokens,
      prefillBacklogTokens: backlog,
    };
  }

  #hold(options: EnterOptions): Slot {
    const held: Held = {
      options,
      paused: false,
      hasToken: false,
      backlogTokens: options.promptTokens ?? 0,
      slot: {
        attemptId: options.attemptId,
        priority: options.priority,
        token: () => this.#token(held),
        pause: () => this.#setPaused(held, true),
        resume: () => this.#setPaused(held, false),
        release: () => this.#release(held),
      },
    };
    this.#held.add(held);
    this.#count(held, 1);
    this.#limit.adjust(this.#timer.now(), this.#running);
    return held.slot;
  }

  #token(held: Held): void {
    const now = this.#timer.now();
    if (held.lastTokenAt !== undefined) {
      this.observeBetweenTokens(now - held.lastTokenAt);
    }
    held.lastTokenAt = now;
    if (held.hasToken || !this.#held.has(held)) return;
    held.backlogTokens = 0;
    held.hasToken = true;
    if (held.paused) return;
    this.#beforeFirstToken -= 1;
    this.#letIn();
  }

  #count(held: Held, change: 1 | -1): void {
    this.#running += change;
    if (!held.hasToken) this.#beforeFirstToken += change;
  }

  #setPaused(held: Held, paused: boolean): void {
    if (!this.#held.has(held) || held.paused === paused) return;
    held.paused = paused;
    held.lastTokenAt = undefined;
    this.#count(held, paused ? -1 : 1);
    this.#paused += paused ? 1 : -1;
    this.#letIn();
  }

  #release(held: Held): void {
    if (!this.#held.delete(held)) return;
    if (held.paused) this.#paused -= 1;
    else this.#count(held, -1);
    this.#limit.adjust(this.#timer.now(), this.#running);
    this.#letIn();
  }

  get #hasPlace(): boolean {
    const extra = Math.min(this.#beforeFirstToken, this.#mostBeforeFirstToken);
    return this.#running - extra < this.#limit.limit;
  }

  /** A paused attempt goes on before anything that is not more urgent. */
  #hasPlaceFor(priority: number): boolean {
    if (!this.#hasPlace) return false;
    const paused = this.#mostUrgentPaused();
    return paused === undefined || priority < paused.options.priority;
  }

  #mostUrgentPaused(): Held | undefined {
    if (this.#paused === 0) return undefined;
    let chosen: Held | undefined;
    for (const held of this.#held) {
      if (!held.paused) continue;
      if (!chosen || held.options.priority < chosen.options.priority) {
        chosen = held;
      }
    }
    return chosen;
  }

  #letIn(): void {
    for (;;) {
      const waiter = this.#waiting[0];
      if (waiter === undefined) return;
      if (!this.#hasPlaceFor(waiter.options.priority)) return;
      this.#waiting.shift();
      waiter.alarm?.cancel();
      waiter.settle(ok(this.#hold(waiter.options)));
    }
  }

  /** False: the waiting room is full of work that is at least as urgent. */
  #makeRoomFor(options: EnterOptions): boolean {
    if (this.#waiting.length < this.#mostWaiting) return true;
    const last = this.#waiting[this.#waiting.length - 1];
    if (last === undefined || last.options.priority <= options.priority) {
      return false;
    }
    this.#waiting.pop();
    last.alarm?.cancel();
    last.settle(err(this.#saturated()));
    return true;
  }

  #wait(
    options: EnterOptions,
    settle: (result: Result<Slot, EnterRefusal>) => void,
  ): void {
    const enteredAt = this.#timer.now();
    const waiter: Waiter = { order: this.#order++, options, enteredAt, settle };
    const index = this.#waiting.findIndex((other) =>
      other.options.priority > options.priority
    );
    if (index === -1) this.#waiting.push(waiter);
    else this.#waiting.splice(index, 0, waiter);
    waiter.alarm = this.#timer.after(
      options.deadlineMilliseconds,
      () => this.#giveUp(waiter),
    );
  }

  #giveUp(waiter: Waiter): void {
    const index = this.#waiting.indexOf(waiter);
    if (index === -1) return;
    this.#waiting.splice(index, 1);
    const waitedMilliseconds = this.#timer.now() - waiter.enteredAt;
    waiter.settle(err(failure(LateError, { waitedMilliseconds })));
  }

  #saturated(): EnterRefusal {
    return failure(SaturatedError, {
      running: this.#running,
      limit: this.#limit.limit,
    });
  }
}
