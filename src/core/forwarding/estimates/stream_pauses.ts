import type { TimerService } from "../../time/mod.ts";

/**
 * Largest pause, relative to the one before, that shows that the event before
 * was delayed on its way: the engine had the next one ready.
 */
const MAX_DELAYED_RATIO = 0.1;

/** Own streams at an engine that may deliver an event at any time. */
export interface OpenStreams {
  count: number;
  /** Time of the last event of any of them. */
  lastEventAt: number;
}

/** Options of `StreamPauses`. */
export interface StreamPausesOptions {
  readonly timer: TimerService;
  readonly open: OpenStreams;
  /** Called with each pause that the engine caused, in milliseconds. */
  readonly onPause: (milliseconds: number) => void;
}

/**
 * The pauses between the events of one response that its engine caused. A pause
 * is recorded once the next event shows that it was not caused by the link.
 */
export class StreamPauses {
  readonly #options: StreamPausesOptions;
  /** Undefined before the first event and after the entry stopped reading. */
  #lastEventAt: number | undefined;
  /** The last pause, until the next event shows what caused it. */
  #unverified: number | undefined;
  #isRead = false;

  constructor(options: StreamPausesOptions) {
    this.#options = options;
    this.resume();
  }

  /** Records one event, or several that arrived together. */
  received({ several = false }: { readonly several?: boolean } = {}): void {
    const { onPause, open, timer } = this.#options;
    const now = timer.now();
    open.lastEventAt = now;
    const pause = this.#lastEventAt === undefined || several
      ? undefined
      : now - this.#lastEventAt;
    const unverified = this.#unverified;
    const isDelayed = unverified !== undefined && pause !== undefined &&
      pause < MAX_DELAYED_RATIO * unverified;
    if (unverified !== undefined && !isDelayed && !several) onPause(unverified);
    this.#unverified = isDelayed ? undefined : pause;
    this.#lastEventAt = now;
  }

  /** The entry stops reading, as the caller reads slowly. */
  suspend(): void {
    if (!this.#isRead) return;
    this.#isRead = false;
    this.#options.open.count -= 1;
    this.#lastEventAt = undefined;
    this.#unverified = undefined;
  }

  /** The entry reads again. */
  resume(): void {
    if (this.#isRead) return;
    this.#isRead = true;
    const { open, timer } = this.#options;
    open.count += 1;
    open.lastEventAt = timer.now();
  }

  /** The response has ended; `whole` is false if it was cut. */
  end({ whole }: { readonly whole: boolean }): void {
    if (whole && this.#unverified !== undefined) {
      this.#options.onPause(this.#unverified);
    }
    this.suspend();
  }
}
