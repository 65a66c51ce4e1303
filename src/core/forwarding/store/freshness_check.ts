import type { Subscription, TimerService } from "../../time/mod.ts";

export interface FreshnessCheckOptions {
  readonly timer: TimerService;
  /** Longest time without a confirmation; called before each interval. */
  readonly intervalMilliseconds: () => number;
  /** Pause after a failed check; called before each pause. */
  readonly retryMilliseconds: () => number;
  /** Checks that the state is current; resolves to false if that is unknown. */
  readonly check: () => Promise<boolean>;
}

/** Checks whether a state is current if nothing has confirmed it for a time. */
export class FreshnessCheck {
  readonly #options: FreshnessCheckOptions;
  #scheduledCheck: Subscription | undefined;
  #isChecking = false;
  #stopped = false;

  constructor(options: FreshnessCheckOptions) {
    this.#options = options;
  }

  start(): void {
    this.#schedule(this.#options.intervalMilliseconds());
  }

  stop(): void {
    this.#stopped = true;
    this.#scheduledCheck?.cancel();
  }

  /** Records that the state is current, and restarts the interval. */
  confirm(): void {
    if (!this.#isChecking) this.#schedule(this.#options.intervalMilliseconds());
  }

  /** Checks immediately unless a check is in progress. */
  checkNow(): void {
    if (!this.#isChecking) this.#options.timer.run(() => this.#run());
  }

  async #run(): Promise<void> {
    if (this.#stopped) return;
    this.#scheduledCheck?.cancel();
    this.#isChecking = true;
    let isCurrent = false;
    try {
      isCurrent = await this.#options.check();
    } finally {
      this.#isChecking = false;
      const { intervalMilliseconds, retryMilliseconds } = this.#options;
      this.#schedule(isCurrent ? intervalMilliseconds() : retryMilliseconds());
    }
  }

  #schedule(milliseconds: number): void {
    this.#scheduledCheck?.cancel();
    if (this.#stopped) return;
    this.#scheduledCheck = this.#options.timer.after(
      milliseconds,
      () => this.#run(),
    );
  }
}
