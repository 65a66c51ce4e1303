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
import { pause, type TimerService } from "../../src/core/time/mod.ts";

const FENCED = defineError<Record<never, never>>()({
  name: "order_fenced",
  title: "Order refused",
  message: () => "The order carries an old fencing number",
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
  message: () => "The engine does not answer",
  hint: "Look at the engine.",
});

/** What goes wrong at the engine or on the way to it. */
export interface EngineFaults {
  /** Orders to come that are carried out although their answer is lost. */
  lostAnswers: number;
  /** Orders to come that get lost on the way. */
  lostOrders: number;
  /** Orders to come that arrive later, while the sender hears nothing. */
  lateOrders: number;
  lateMilliseconds: number;
  /** Orders to come that the engine refuses to start. */
  refusals: number;
  /** How old the engine's figures are, milliseconds. */
  ageMilliseconds: number;
  /** The engine does not answer. */
  down: boolean;
}

export interface FakeEngineOptions {
  readonly timer: TimerService;
  readonly checksFencing: boolean;
  /** How long a change takes, milliseconds. */
  readonly changeMilliseconds: number;
}

interface EngineState {
  role: EngineTarget["role"];
  models: readonly string[];
  weights: string;
  changing: boolean;
}

const LATENCY_MILLISECONDS = 2;

/** An engine that takes orders, with faults, on the timer that it is given. */
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
  /** Fencing numbers of the orders that reached the engine, in order. */
  readonly received: number[] = [];
  /** What went against the rule that orders never conflict. */
  readonly conflicts: string[] = [];
  readonly #past: { at: number; state: EngineState }[] = [];
  #state: EngineState = {
    role: "mixed",
    models: [],
    weights: "",
    changing: false,
  };
  #fence = -1;
  #change = 0;

  constructor(options: FakeEngineOptions) {
    this.#options = options;
    this.#remember();
  }

  get state(): Readonly<EngineState> {
    return this.#state;
  }

  /** Ends what is under way; the engine is back later with nothing loaded. */
  crash(downMilliseconds: number): void {
    this.#change += 1;
    this.faults.down = true;
    this.#options.timer.after(downMilliseconds, () => {
      this.faults.down = false;
      this.#set({ role: "mixed", models: [], weights: "", changing: false });
    });
  }

  /** The part of a link that orders and observations go over. */
  link(): EndpointLink {
    const unused = () => {
      throw new Error("This engine takes orders only");
    };
    return {
      generate: unused,
      call: unused,
      observe: () => this.#observe(),
      order: (target, fencing) => this.#order(target, fencing),
    };
  }

  async #observe(): Promise<Result<EngineObservation, EndpointFailure>> {
    await pause(this.#options.timer, LATENCY_MILLISECONDS);
    if (this.faults.down) return err(failure(UNREACHABLE, {}));
    const { ageMilliseconds } = this.faults;
    const at = this.#options.timer.now() - ageMilliseconds;
    const seen = this.#past.findLast((past) => past.at <= at) ?? this.#past[0];
    return ok({ ...seen.state, running: 0, waiting: 0, ageMilliseconds });
  }

  async #order(
    target: EngineTarget,
    fencing: number,
  ): Promise<Result<void, EndpointFailure | Failure<"order_fenced">>> {
    const { timer } = this.#options;
    await pause(timer, LATENCY_MILLISECONDS);
    if (this.faults.down) return err(failure(UNREACHABLE, {}));
    if (take(this.faults, "lostOrders")) return await new Promise(() => {});
    if (take(this.faults, "lateOrders")) {
      const { lateMilliseconds } = this.faults;
      timer.after(lateMilliseconds, () => this.#receive(target, fencing));
      return await new Promise(() => {});
    }
    if (take(this.faults, "refusals")) return err(failure(REFUSED, {}));
    if (!this.#receive(target, fencing)) return err(failure(FENCED, {}));
    if (take(this.faults, "lostAnswers")) return await new Promise(() => {});
    return ok(undefined);
  }

  #receive(target: EngineTarget, fencing: number): boolean {
    const newest = Math.max(-1, ...this.received);
    if (this.#options.checksFencing && fencing < this.#fence) return false;
    this.#fence = Math.max(this.#fence, fencing);
    if (fencing < newest) this.conflicts.push(`${fencing} after ${newest}`);
    if (this.#state.changing && fencing !== newest) {
      this.conflicts.push(`${fencing} while ${newest} is under way`);
    }
    this.received.push(fencing);
    this.#begin(target);
    return true;
  }

  #begin(target: EngineTarget): void {
    const change = ++this.#change;
    this.#set({ ...this.#state, changing: true });
    this.#options.timer.after(this.#options.changeMilliseconds, () => {
      if (change !== this.#change) return;
      this.#set({
        role: target.role,
        models: target.models ?? [],
        weights: target.weights ?? "",
        changing: false,
      });
    });
  }

  #set(state: EngineState): void {
    this.#state = state;
    this.#remember();
  }

  #remember(): void {
    this.#past.push({ at: this.#options.timer.now(), state: this.#state });
  }
}

function take(
  faults: EngineFaults,
  name: "lostAnswers" | "lostOrders" | "lateOrders" | "refusals",
): boolean {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
}
