/** Order handling of the stand-in engine. */
import type { ServerResponse } from "node:http";
import { sendJson } from "./stand_in_server.ts";

export interface EngineState {
  role: "mixed" | "prefill" | "decode";
  models: string[];
  weights: string;
}

/** An order as received. */
export interface ReceivedOrder {
  readonly at: number;
  readonly fencing: number;
  readonly target: Partial<EngineState>;
  /** False if the order was rejected for an outdated fencing token. */
  readonly taken: boolean;
}

export interface EngineOrdersOptions {
  readonly checksFencing: boolean;
  readonly changeMilliseconds: number;
  onChangeStart(): void;
  onHalfway(): void;
}

/**
 * Applies target states with a delay and checks fencing tokens if configured.
 */
export class EngineOrders {
  state: EngineState;
  changing = false;
  readonly received: ReceivedOrder[] = [];
  /**
   * Number of orders that arrived while a different one was being carried out.
   */
  conflicts = 0;
  readonly #options: EngineOrdersOptions;
  #maxFencing = -1;
  #target: EngineState;
  #timers: NodeJS.Timeout[] = [];

  constructor(state: EngineState, options: EngineOrdersOptions) {
    this.state = state;
    this.#target = state;
    this.#options = options;
  }

  onRequest(response: ServerResponse, body: Record<string, unknown>): void {
    const target = (body.target ?? {}) as Partial<EngineState>;
    const fencing = Number(body.fencing);
    const stale = this.#options.checksFencing &&
      fencing < this.#maxFencing;
    this.received.push({
      at: performance.now(),
      fencing,
      target,
      taken: !stale,
    });
    if (stale) return sendJson(response, 409, { newest: this.#maxFencing });
    this.#maxFencing = Math.max(this.#maxFencing, fencing);
    this.#applyTarget({ ...this.#target, ...target });
    sendJson(response, 202, { changing: this.changing });
  }

  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }

  #applyTarget(target: EngineState): void {
    if (isSameState(target, this.#target)) return;
    if (this.changing) this.conflicts += 1;
    this.stop();
    this.#target = target;
    this.changing = true;
    this.#options.onChangeStart();
    const duration = this.#options.changeMilliseconds;
    this.#timers = [
      setTimeout(() => this.#options.onHalfway(), duration / 2),
      setTimeout(() => {
        this.state = target;
        this.changing = false;
      }, duration),
    ];
  }
}

function isSameState(one: EngineState, other: EngineState): boolean {
  return one.role === other.role && one.weights === other.weights &&
    one.models.join("\n") === other.models.join("\n");
}
