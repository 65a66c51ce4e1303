import type { Random } from "../../src/core/random/mod.ts";
import type { TimerService } from "../../src/core/time/mod.ts";

/** One message on its way between two processes, endpoints or the log. */
export interface Parcel {
  /** What the message is for, as the fault table names it. */
  readonly step: string;
  readonly from: string;
  readonly to: string;
  /** Called as the message arrives; twice where it is doubled. */
  readonly arrive: () => void;
}

/** What becomes of one message; the default is that it arrives. */
export interface Treatment {
  readonly lost?: boolean;
  /** Added to the way, milliseconds. */
  readonly late?: number;
  /** A copy arrives this much behind the message, milliseconds. */
  readonly copyAfter?: number;
}

export interface WireOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Looks at each message as it sets off, and may bring a fault about. */
  readonly inspect: (parcel: Parcel) => Treatment;
}

const FEWEST_DELAY_MILLISECONDS = 1;

/**
 * The network of a run. Messages of one channel keep their order, as on a
 * connection. A cut holds messages back until it heals: that is what a
 * connection does, and it makes them as late as they can get.
 */
export class Wire {
  readonly #options: WireOptions;
  readonly #cuts = new Map<string, Parcel[]>();

  constructor(options: WireOptions) {
    this.#options = options;
  }

  send(parcel: Parcel, channel: Channel = new Channel()): void {
    const treatment = this.#options.inspect(parcel);
    if (treatment.lost) return;
    const { timer, random } = this.#options;
    const delay = FEWEST_DELAY_MILLISECONDS * (1 + random());
    const late = treatment.late ?? 0;
    // A message that is delayed on purpose is overtaken by those behind it.
    const due = late > 0 ? delay + late : channel.due(timer.now(), delay);
    this.#deliver(parcel, due);
    if (treatment.copyAfter === undefined) return;
    this.#deliver(parcel, due + treatment.copyAfter);
  }

  /** Holds messages of one direction back until `heal`. */
  cut(from: string, to: string): void {
    const key = direction(from, to);
    if (!this.#cuts.has(key)) this.#cuts.set(key, []);
  }

  heal(from: string, to: string): void {
    const key = direction(from, to);
    const held = this.#cuts.get(key) ?? [];
    this.#cuts.delete(key);
    for (const parcel of held) parcel.arrive();
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(direction(from, to));
  }

  #deliver(parcel: Parcel, delay: number): void {
    this.#options.timer.after(delay, () => {
      const held = this.#cuts.get(direction(parcel.from, parcel.to));
      if (held === undefined) parcel.arrive();
      else held.push(parcel);
    });
  }
}

/** Messages that keep their order. */
export class Channel {
  #last = 0;

  /** Time until the next message arrives, none before an earlier one. */
  due(now: number, delay: number): number {
    this.#last = Math.max(this.#last, now + delay);
    return this.#last - now;
  }
}

function direction(from: string, to: string): string {
  return `${from} > ${to}`;
}
