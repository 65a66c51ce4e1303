import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { defineError, failure } from "../../src/core/errors/mod.ts";
import type { Failure } from "../../src/core/errors/mod.ts";
import type {
  EndpointFailure,
  EndpointLink,
  EngineObservation,
} from "../../src/core/links/mod.ts";
import type { EngineTarget } from "../../src/generated/log_records.ts";
import { sleep, type TimerService } from "../../src/core/time/mod.ts";

const FENCED = defineError<Record<never, never>>()({
  name: "order_fenced",
  title: "Order refused",
  message: () => "The order carries an outdated fencing token",
  hint: "Wait for the newer order.",
});

const REFUSED = defineError<Record<never, never>>()({
  name: "endpoint_refused",
  title: "Endpoint refused",
  message: () => "The engine did not start the order",
  hint: "Try again later.",
});

const UNREACHABLE = defineError<Record<never, never>>()({
  name: "endpoint_unreachable",
  title: "Endpoint unreachable",
  message: () => "The engine does not respond",
  hint: "Check the engine.",
});

/** Faults of the engine and of the connection to it. */
export interface EngineFaults {
  /** Number of next orders that take effect but whose response is lost. */
  lostAnswers: number;
  /** Number of next orders that are lost on the way to the engine. */
  lostOrders: number;
  /** Number of next orders that arrive late and get no response. */
  lateOrders: number;
  /** Delay of late orders, milliseconds. */
  lateMilliseconds: number;
  /** Number of next orders that the engine refuses to start. */
  refusals: number;
  /** Age of the state that the engine reports, milliseconds. */
  ageMilliseconds: number;
  /** Whether the engine is unreachable. */
  down: boolean;
}

export interface FakeEngineOptions {
  readonly timer: TimerService;
  readonly checksFencing: boolean;
  /** Duration of a state change, milliseconds. */
  readonly changeMilliseconds: number;
}

interface EngineState {
  role: EngineTarget["role"];
  models: readonly string[];
  weights: string;
  changing: boolean;
}

const LATENCY_MILLISECONDS = 2;

/**
 * An engine that accepts orders, with injectable faults, on the given timer.
 */
export class FakeEngine {
  readonly #options: FakeEngineOptions;
  readonly faults: EngineFaults = {
    lostAnswers: 0,
    lostOrders: 0,
    lateOrders: 0,
    lateMilliseconds: 0,
    refusals: 0,
    ageMilliseconds: 0,
    down: false,
  };
  /**
   * Fencing tokens of the orders that reached the engine, in order of arrival.
   */
  readonly received: number[] = [];
  /** Violations of the rule that orders never conflict. */
  readonly conflicts: string[] = [];
  readonly #history: { at: number; state: EngineState }[] = [];
  #state: EngineState = {
    role: "mixed",
    models: [],
    weights: "",
    changing: false,
  };
  #maxFencing = -1;
  #changeCount = 0;

  constructor(options: FakeEngineOptions) {
    this.#options = options;
    this.#recordState();
  }

  get state(): Readonly<EngineState> {
    return this.#state;
  }

  /**
   * Aborts any change; the engine returns after the given time with nothing
   * loaded.
   */
  crash(downMilliseconds: number): void {
    this.#changeCount += 1;
    this.faults.down = true;
    this.#options.timer.after(downMilliseconds, () => {
      this.faults.down = false;
      this.#setState({
        role: "mixed",
        models: [],
        weights: "",
        changing: false,
      });
    });
  }

  /** A link that supports only orders and observations. */
  link(): EndpointLink {
    const unused = () => {
      throw new Error("FakeEngine supports only observe and order");
    };
    return {
      generate: unused,
      call: unused,
      observe: () => this.#observe(),
      order: (target, fencing) => this.#order(target, fencing),
    };
  }

  async #observe(): Promise<Result<EngineObservation, EndpointFailure>> {
    await sleep(this.#options.timer, LATENCY_MILLISECONDS);
    if (this.faults.down) return err(failure(UNREACHABLE, {}));
    const { ageMilliseconds } = this.faults;
    const at = this.#options.timer.now() - ageMilliseconds;
    const reported = this.#history.findLast((past) => past.at <= at) ??
      this.#history[0];
    return ok({ ...reported.state, running: 0, waiting: 0, ageMilliseconds });
  }

  async #order(
    target: EngineTarget,
    fencing: number,
  ): Promise<Result<void, EndpointFailure | Failure<"order_fenced">>> {
    const { timer } = this.#options;
    await sleep(timer, LATENCY_MILLISECONDS);
    if (this.faults.down) return err(failure(UNREACHABLE, {}));
    if (consume(this.faults, "lostOrders")) return await new Promise(() => {});
    if (consume(this.faults, "lateOrders")) {
      const { lateMilliseconds } = this.faults;
      timer.after(lateMilliseconds, () => this.#receive(target, fencing));
      return await new Promise(() => {});
    }
    if (consume(this.faults, "refusals")) return err(failure(REFUSED, {}));
    if (!this.#receive(target, fencing)) return err(failure(FENCED, {}));
    if (consume(this.faults, "lostAnswers")) return await new Promise(() => {});
    return ok(undefined);
  }

  #receive(target: EngineTarget, fencing: number): boolean {
    const newest = Math.max(-1, ...this.received);
    if (this.#options.checksFencing && fencing < this.#maxFencing) return false;
    this.#maxFencing = Math.max(this.#maxFencing, fencing);
    if (fencing < newest) this.conflicts.push(`${fencing} after ${newest}`);
    if (this.#state.changing && fencing !== newest) {
      this.conflicts.push(`${fencing} while ${newest} is in progress`);
    }
    this.received.push(fencing);
    this.#startChange(target);
    return true;
  }

  #startChange(target: EngineTarget): void {
    const change = ++this.#changeCount;
    this.#setState({ ...this.#state, changing: true });
    this.#options.timer.after(this.#options.changeMilliseconds, () => {
      if (change !== this.#changeCount) return;
      this.#setState({
        role: target.role,
        models: target.models ?? [],
        weights: target.weights ?? "",
        changing: false,
      });
    });
  }

  #setState(state: EngineState): void {
    this.#state = state;
    this.#recordState();
  }

  #recordState(): void {
    this.#history.push({ at: this.#options.timer.now(), state: this.#state });
  }
}

function consume(
  faults: EngineFaults,
  name: "lostAnswers" | "lostOrders" | "lateOrders" | "refusals",
): boolean {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
}
