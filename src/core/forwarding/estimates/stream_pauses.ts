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
  /** `waiting`: for the first event, or the first since the entry reads again. */
  #state: "waiting" | "read" | "suspended" | "ended" = "waiting";
  #lastEventAt = 0;
  /** The last pause, until the next event shows what caused it. */
  #unverified: number | undefined;

  constructor(options: StreamPausesOptions) {
    this.#options = options;
  }

  /** Records one event, or several that arrived together. */
  received({ several = false }: { readonly several?: boolean } = {}): void {
    const { onPause, open, timer } = this.#options;
    const now = timer.now();
    if (this.#state === "waiting") {
      this.#state = "read";
      open.count += 1;
    } else if (this.#state === "read") {
      const pause = several ? 0 : now - this.#lastEventAt;
      const unverified = this.#unverified;
      const isDelayed = several || unverified !== undefined &&
          pause < MAX_DELAYED_RATIO * unverified;
      if (unverified !== undefined && !isDelayed) onPause(unverified);
      this.#unverified = isDelayed ? undefined : pause;
    } else return;
    this.#lastEventAt = now;
    open.lastEventAt = now;
  }

  /** The entry stops reading, as the caller reads slowly. */
  suspend(): void {
    this.#stop("suspended");
  }

  /** The entry reads again. */
  resume(): void {
    if (this.#state === "suspended") this.#state = "waiting";
  }

  /** The response has ended; `whole` is false if it was cut. */
  end({ whole }: { readonly whole: boolean }): void {
    if (whole && this.#unverified !== undefined) {
      this.#options.onPause(this.#unverified);
    }
    this.#stop("ended");
  }

  #stop(state: "suspended" | "ended"): void {
    if (this.#state === "read") this.#options.open.count -= 1;
    if (this.#state !== "ended") this.#state = state;
    this.#unverified = undefined;
  }
}
