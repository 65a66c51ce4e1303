import type { Subscription, TimerService } from "../../src/core/time/mod.ts";

/**
 * Controls the callbacks of one run of a process. A killed process runs none; a
 * paused one runs them in order when it resumes, as after SIGSTOP and SIGCONT.
 */
export class ProcessGate {
  #state: "running" | "paused" | "dead" = "running";
  readonly #deferred: (() => void)[] = [];

  get alive(): boolean {
    return this.#state !== "dead";
  }

  get running(): boolean {
    return this.#state === "running";
  }

  /** Runs the callback now, on resume if paused, or never if killed. */
  run(callback: () => void): void {
    if (this.#state === "running") callback();
    else if (this.#state === "paused") this.#deferred.push(callback);
  }

  kill(): void {
    this.#state = "dead";
    this.#deferred.length = 0;
  }

  pause(): void {
    if (this.#state === "running") this.#state = "paused";
  }

  resume(): void {
    if (this.#state !== "paused") return;
    this.#state = "running";
    for (const callback of this.#deferred.splice(0)) this.run(callback);
  }

  /** Returns a promise that resolves only while the process is running. */
  defer<Value>(promise: Promise<Value>): Promise<Value> {
    return new Promise((resolve) => {
      void promise.then((value) => this.run(() => resolve(value)));
    });
  }

  /** Wraps a timer service so that the gate controls its callbacks. */
  timer(base: TimerService): TimerService {
    const after = (delay: number, listener: () => unknown) =>
      base.after(delay, () => this.run(listener));
    return {
      now: () => base.now(),
      wallClock: () => base.wallClock(),
      after,
      every: (period, listener) => repeat(after, { period, listener }),
      run: (listener) => this.run(listener),
    };
  }
}

function repeat(
  after: TimerService["after"],
  options: { readonly period: number; readonly listener: () => void },
): Subscription {
  let current: Subscription;
  let cancelled = false;
  const fire = () => {
    if (cancelled) return;
    current = after(options.period, fire);
    options.listener();
  };
  current = after(options.period, fire);
  return {
    cancel() {
      cancelled = true;
      current.cancel();
    },
  };
}
