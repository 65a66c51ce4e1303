import { type FakeRegion, MATRIX_ENGINES } from "./fake_region.ts";
import type { MatrixCell } from "./fault_table.ts";
import type { FakeNetworkMessage, MessageFault } from "./fake_network.ts";

/** Exceeds the region's message timeouts; less than a request's deadline. */
const MESSAGE_DELAY_MILLISECONDS = 8_000;
const ORDER_DELAY_MILLISECONDS = 2_800;
const DUPLICATE_DELAY_MILLISECONDS = 2_500;
/** Long enough for the message to arrive and take effect. */
const KILL_DELAY_MILLISECONDS = 4;

/** Injects a cell's fault at the selected message of its step. */
export class FaultInjector {
  readonly #cell: MatrixCell;
  readonly #occurrence: number;
  #messageCount = 0;
  /** The message whose answer will be dropped. */
  #requestOfLostAnswer: FakeNetworkMessage | undefined;
  /** Whether the fault was injected; otherwise the run does not test it. */
  isInjected = false;

  constructor(cell: MatrixCell, options: { readonly random: () => number }) {
    this.#cell = cell;
    const { occurrences } = cell.step;
    const index = Math.floor(options.random() * occurrences.length);
    this.#occurrence = occurrences[index];
  }

  intercept(message: FakeNetworkMessage, region: FakeRegion): MessageFault {
    if (this.#isAnswerToLose(message)) return this.#loseAnswer();
    if (message.step !== this.#cell.step.name) return {};
    this.#messageCount += 1;
    if (this.#messageCount !== this.#occurrence) return {};
    return this.#inject(message, region);
  }

  #isAnswerToLose(message: FakeNetworkMessage): boolean {
    return this.#requestOfLostAnswer !== undefined &&
      message.step === `${this.#requestOfLostAnswer.step} answer` &&
      message.to === this.#requestOfLostAnswer.from;
  }

  #loseAnswer(): MessageFault {
    this.#requestOfLostAnswer = undefined;
    this.isInjected = true;
    return { drops: true };
  }

  #inject(message: FakeNetworkMessage, region: FakeRegion): MessageFault {
    const { from, to } = message;
    switch (this.#cell.fault) {
      case "lost":
        return this.#injectMessageFault({ drops: true });
      case "late":
        return this.#injectMessageFault({
          delayMilliseconds: faultDelayOf(message),
        });
      case "duplicate":
        return this.#injectMessageFault({
          duplicateAfterMilliseconds: DUPLICATE_DELAY_MILLISECONDS,
        });
      case "lost_answer":
        this.#requestOfLostAnswer = message;
        return {};
      case "cut_one_way":
        return this.#scheduleFault(region, () => region.cutLink(from, to));
      case "cut_answers":
        return this.#scheduleFault(region, () => region.cutLink(to, from));
      case "cut_both":
        return this.#scheduleFault(region, () => {
          region.cutLink(from, to);
          region.cutLink(to, from);
        });
      case "log_outage":
        return this.#scheduleFault(region, () => region.injectLogFault("down"));
      case "log_slow":
        return this.#scheduleFault(region, () => region.injectLogFault("slow"));
      case "log_behind":
        return this.#scheduleFault(
          region,
          () => region.injectLogFault("behind"),
        );
      case "operator_race":
        return this.#scheduleFault(region, () => publishConcurrently(region));
      case "endpoint_crash":
        return this.#scheduleFault(
          region,
          () => region.kill(nearestEndpoint(message, region)),
        );
      default:
        return this.#injectProcessFault(message, region);
    }
  }

  #injectProcessFault(
    message: FakeNetworkMessage,
    region: FakeRegion,
  ): MessageFault {
    const { fault } = this.#cell;
    const name = fault.includes("sender") ? message.from : message.to;
    if (!region.isProcess(name)) return {};
    if (fault === "kill_receiver_after") {
      this.isInjected = true;
      region.timer.after(
        KILL_DELAY_MILLISECONDS,
        () => region.kill(name),
      );
      return {};
    }
    return this.#scheduleFault(region, () => {
      if (fault.startsWith("kill")) region.kill(name);
      else if (fault.startsWith("restart")) region.restart(name);
      else if (fault.startsWith("pause")) region.pause(name);
      else if (fault.startsWith("leave")) region.leave(name);
      else void region.stop(name);
    });
  }

  #injectMessageFault(fault: MessageFault): MessageFault {
    this.isInjected = true;
    return fault;
  }

  /** Injects the fault after the sender's current callback has returned. */
  #scheduleFault(region: FakeRegion, fault: () => void): MessageFault {
    this.isInjected = true;
    region.timer.after(0, fault);
    return {};
  }
}

/**
 * An order reaches its engine within the side's `longestOrderMilliseconds` or
 * never; a side whose engine does not check fencing tokens depends on this bound.
 */
function faultDelayOf({ step }: FakeNetworkMessage): number {
  return step === "order"
    ? ORDER_DELAY_MILLISECONDS
    : MESSAGE_DELAY_MILLISECONDS;
}

function nearestEndpoint(
  message: FakeNetworkMessage,
  region: FakeRegion,
): string {
  return region.findEndpoint(message.from) ?? region.findEndpoint(message.to) ??
    MATRIX_ENGINES[0];
}

/** Publishes for two operators on the same base at the same time. */
function publishConcurrently(region: FakeRegion): void {
  const content = { weights: "v2" };
  void region.publish("operator-2", content);
  void region.publish("operator", { draining: ["portal-1"] });
}
