import type { Subscription, TimerService } from "../../src/core/time/mod.ts";

/**
 * Stands between one run of a process and everything that can wake it. A
 * killed process never runs again; a paused one runs late, in order, as
 * after SIGSTOP and SIGCONT.
 */
export class ProcessGate {
  #state: "running" | "paused" | "dead" = "running";
  readonly #late: (() => void)[] = [];

  get alive(): boolean {
    return this.#state !== "dead";
  }

  get running(): boolean {
    return this.#state === "running";
  }

  /** Runs the work now, later or never. */
  pass(work: () => void): void {
    if (this.#state === "running") work();
    else if (this.#state === "paused") this.#late.push(work);
  }

  kill(): void {
    this.#state = "dead";
    this.#late.length = 0;
  }

  pause(): void {
    if (this.#state === "running") this.#state = "paused";
  }

  resume(): void {
    if (this.#state !== "paused") return;
    this.#state = "running";
    for (const work of this.#late.splice(0)) this.pass(work);
  }

  /** A promise that settles only while the process runs. */
  hold<Value>(promise: Promise<Value>): Promise<Value> {
    return new Promise((resolve) => {
      void promise.then((value) => this.pass(() => resolve(value)));
    });
  }

  /** The timer service as the process sees it. */
  timer(base: TimerService): TimerService {
    const after = (delay: number, listener: () => void) =>
      base.after(delay, () => this.pass(listener));
    return {
      now: () => base.now(),
      wallClock: () => base.wallClock(),
      after,
      every: (period, listener) => repeat(after, { period, listener }),
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
