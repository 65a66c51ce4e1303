/** Models one endpoint: a side's limiter in front of an engine or service. */
import { EndpointLimiter, type Slot } from "../src/core/limits/mod.ts";
import type { Role } from "../src/core/roles/mod.ts";
import type { TimerService } from "../src/core/time/mod.ts";
import type { EngineCharacteristics } from "../src/generated/inventory.ts";
import type { EndpointLoad, SideReport } from "../src/generated/messages.ts";
import { EngineModel, type RunningJob } from "./engine_model.ts";

export interface SideModelOptions {
  readonly timer: TimerService;
  readonly endpoint: string;
  readonly role: Role;
  readonly engine?: EngineCharacteristics;
  readonly serviceSlots: number;
  /** Side and engine use neither priorities nor a queue limit. */
  readonly fifo: boolean;
  readonly speed?: number;
  readonly mostWaiting: number;
  readonly toleratedSlowdown?: number;
}

export interface SideAttempt {
  readonly attemptId: string;
  readonly priority: number;
  readonly className: string;
  readonly mayPause: boolean;
  readonly deadlineMilliseconds: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly callMilliseconds: number;
  readonly prefix?: { hash: string; share: number };
  readonly onFirstToken: () => void;
  /** `failed` means that the attempt failed at the endpoint. */
  readonly onEnd: (
    result: "answered" | "not_run" | "failed",
    load: EndpointLoad,
  ) => void;
}

export class SideModel {
  readonly endpoint: string;
  readonly engine?: EngineModel;
  readonly limiter: EndpointLimiter;
  /** If positive, every attempt fails after 5 ms. */
  failureShare = 0;
  reachable = true;
  pauses = 0;
  readonly #options: SideModelOptions;
  readonly #jobs = new Map<string, RunningJob>();
  #state: SideReport["state"] = "serving";
  readonly #openAttempts = new Set<() => void>();
  #targetRole: Role | undefined;
  #onChanged: (() => void) | undefined;

  constructor(options: SideModelOptions) {
    this.#options = options;
    this.endpoint = options.endpoint;
    if (options.engine !== undefined) {
      this.engine = new EngineModel({
        timer: options.timer,
        engine: options.engine,
        role: options.role,
        speed: options.speed,
      });
    }
    this.limiter = new EndpointLimiter({
      timer: options.timer,
      mostRunning: this.engine?.slots ?? options.serviceSlots,
      mostWaiting: options.fifo ? Infinity : options.mostWaiting,
      maxBeforeFirstToken: options.engine === undefined ? 0 : 2,
      toleratedSlowdown: options.fifo ? Infinity : options.toleratedSlowdown,
    });
  }

  get role(): Role {
    return this.#targetRole ?? this.engine?.role ?? "mixed";
  }

  get currentRole(): Role {
    return this.engine?.role ?? "mixed";
  }

  get changingTo(): Role | undefined {
    return this.#targetRole;
  }

  get serving(): boolean {
    return this.#state === "serving" && this.reachable;
  }

  report(): SideReport {
    return {
      side: this.endpoint,
      incarnation: "1",
      endpoint: this.endpoint,
      state: this.#state,
      role: this.engine?.role,
      load: this.load(),
      configurationVersion: 1,
      ordersRead: 0,
      orderTaken: 0,
    };
  }

  load(): EndpointLoad {
    if (this.engine === undefined) return this.limiter.load();
    this.limiter.observeTokenInterval(this.engine.millisecondsBetweenTokens);
    return {
      ...this.limiter.load(),
      prefillBacklogTokens: this.engine.prefillBacklogTokens,
    };
  }

  /** Drains the endpoint, changes its role, then accepts work again. */
  changeRole(role: Role, onChanged: () => void): void {
    if (this.#targetRole !== undefined) return;
    this.#targetRole = role;
    this.#state = "changing";
    this.#onChanged = onChanged;
    this.#changeWhenDrained();
  }

  /** Makes the endpoint unreachable and fails all its attempts. */
  disconnect(): void {
    this.reachable = false;
    for (const job of this.#jobs.values()) job.cancel();
    for (const failAttempt of [...this.#openAttempts]) failAttempt();
  }

  /** Runs an attempt; returns a function that cancels it. */
  run(attempt: SideAttempt): () => void {
    let slot: Slot | undefined;
    let job: RunningJob | undefined;
    let settled = false;
    const failAttempt = () => end("failed");
    const end = (result: "answered" | "not_run" | "failed") => {
      if (settled) return;
      settled = true;
      this.#openAttempts.delete(failAttempt);
      this.#finishAttempt(attempt, slot);
      attempt.onEnd(result, this.load());
    };
    if (this.#state !== "serving") {
      settled = true;
      attempt.onEnd("not_run", this.load());
      return () => {};
    }
    this.#openAttempts.add(failAttempt);
    void this.limiter.acquire({
      ...attempt,
      priority: this.#options.fifo ? 0 : attempt.priority,
      mayPause: attempt.mayPause && !this.#options.fifo,
    }).then((admitted) => {
      if (admitted.isErr()) return end("not_run");
      slot = admitted.value;
      if (settled) return slot.release();
      job = this.#start(attempt, slot, end);
      this.#jobs.set(attempt.attemptId, job);
    });
    this.#pauseForUrgent();
    return () => {
      if (settled) return;
      settled = true;
      job?.cancel();
      this.#openAttempts.delete(failAttempt);
      this.#finishAttempt(attempt, slot);
    };
  }

  #start(
    attempt: SideAttempt,
    slot: Slot,
    end: (result: "answered" | "failed") => void,
  ): RunningJob {
    const { timer } = this.#options;
    if (this.failureShare > 0) {
      const failureTimer = timer.after(5, () => end("failed"));
      return { cancel: () => failureTimer.cancel(), pause() {}, resume() {} };
    }
    if (this.engine === undefined) {
      const speed = this.#options.speed ?? 1;
      const callTimer = timer.after(
        attempt.callMilliseconds / speed,
        () => end("answered"),
      );
      return { cancel: () => callTimer.cancel(), pause() {}, resume() {} };
    }
    return this.engine.start({
      promptTokens: attempt.promptTokens,
      outputTokens: attempt.outputTokens,
      priority: this.#options.fifo ? 0 : attempt.priority,
      prefix: attempt.prefix,
      onFirstToken: () => {
        slot.token();
        attempt.onFirstToken();
      },
      onEnd: () => end("answered"),
    });
  }

  #finishAttempt(attempt: SideAttempt, slot: Slot | undefined): void {
    this.#jobs.delete(attempt.attemptId);
    slot?.release();
    this.#resumePaused();
    this.#changeWhenDrained();
  }

  #pauseForUrgent(): void {
    const slot = this.limiter.nextToPause();
    if (slot === undefined) return;
    this.pauses += 1;
    this.#jobs.get(slot.attemptId as string)?.pause();
    slot.pause();
  }

  #resumePaused(): void {
    for (;;) {
      const slot = this.limiter.nextToResume();
      if (slot === undefined) return;
      slot.resume();
      this.#jobs.get(slot.attemptId as string)?.resume();
    }
  }

  #changeWhenDrained(): void {
    if (this.#targetRole === undefined || this.#openAttempts.size > 0) return;
    if (this.engine === undefined || this.engine.outOfService) return;
    const role = this.#targetRole;
    this.engine.changeRole(role, () => {
      this.#targetRole = undefined;
      this.#state = "serving";
      this.limiter.setCeiling(this.engine?.slots ?? 1);
      this.#onChanged?.();
    });
  }
}
