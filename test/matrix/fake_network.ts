import type { Random } from "../../src/core/random/mod.ts";
import type { TimerService } from "../../src/core/time/mod.ts";

/** A message between two processes, endpoints or the log. */
export interface FakeNetworkMessage {
  /** Name of the message's step in the fault table. */
  readonly step: string;
  readonly from: string;
  readonly to: string;
  /** Called when the message arrives; twice if it is duplicated. */
  readonly deliver: () => void;
}

/** Fault of one message; without fields, it is delivered normally. */
export interface MessageFault {
  readonly drops?: boolean;
  /** Added to the transit time. */
  readonly delayMilliseconds?: number;
  /** Time from the message's arrival until that of its duplicate. */
  readonly duplicateAfterMilliseconds?: number;
}

export interface FakeNetworkOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Called for each message when it is sent; returns its fault. */
  readonly intercept: (message: FakeNetworkMessage) => MessageFault;
}

const MIN_DELAY_MILLISECONDS = 1;

/**
 * The network of a run. Messages of one channel stay in order, as on a
 * connection. A cut link holds its messages until it heals, as retransmission
 * on a connection would. That is the longest delay that a cut can cause.
 */
export class FakeNetwork {
  readonly #options: FakeNetworkOptions;
  readonly #heldMessages = new Map<string, FakeNetworkMessage[]>();

  constructor(options: FakeNetworkOptions) {
    this.#options = options;
  }

  send(
    message: FakeNetworkMessage,
    channel: OrderedChannel = new OrderedChannel(),
  ): void {
    const fault = this.#options.intercept(message);
    if (fault.drops) return;
    const { timer, random } = this.#options;
    const delay = MIN_DELAY_MILLISECONDS * (1 + random());
    const faultDelay = fault.delayMilliseconds ?? 0;
    // Later messages may overtake one that a fault delays.
    const totalDelay = faultDelay > 0
      ? delay + faultDelay
      : channel.nextDelay(timer.now(), delay);
    this.#deliver(message, totalDelay);
    if (fault.duplicateAfterMilliseconds === undefined) return;
    this.#deliver(message, totalDelay + fault.duplicateAfterMilliseconds);
  }

  /** Holds the messages of one direction until `healLink`. */
  cutLink(from: string, to: string): void {
    const key = directionKey(from, to);
    if (!this.#heldMessages.has(key)) this.#heldMessages.set(key, []);
  }

  healLink(from: string, to: string): void {
    const key = directionKey(from, to);
    const held = this.#heldMessages.get(key) ?? [];
    this.#heldMessages.delete(key);
    for (const message of held) message.deliver();
  }

  isLinkCut(from: string, to: string): boolean {
    return this.#heldMessages.has(directionKey(from, to));
  }

  #deliver(message: FakeNetworkMessage, delay: number): void {
    this.#options.timer.after(delay, () => {
      const held = this.#heldMessages.get(
        directionKey(message.from, message.to),
      );
      if (held === undefined) message.deliver();
      else held.push(message);
    });
  }
}

/** Delivers messages in the order in which they are sent. */
export class OrderedChannel {
  #lastDeliveryAt = 0;

  /** Returns the next message's delay, so that it overtakes no earlier one. */
  nextDelay(now: number, delay: number): number {
    this.#lastDeliveryAt = Math.max(this.#lastDeliveryAt, now + delay);
    return this.#lastDeliveryAt - now;
  }
}

function directionKey(from: string, to: string): string {
  return `${from} > ${to}`;
}
