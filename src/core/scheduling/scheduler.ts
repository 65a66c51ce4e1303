import type { Result } from "neverthrow";
import type { EndpointId } from "../identity/mod.ts";
import type { Refusal, RequestProfile } from "../requests/mod.ts";
import type { EndpointLoad, SideReport } from "../../generated/messages.ts";
import type { Inventory } from "../../generated/inventory.ts";
import type { Rules } from "../../generated/rules.ts";

/** How an attempt at an endpoint ended; input to the scheduler's statistics. */
export interface AttemptSummary {
  readonly result: "answered" | "not_run" | "failed" | "cancelled";
  readonly tokens: number;
  /** From placement to the first token; absent where no token arrived. */
  readonly firstTokenMilliseconds?: number;
  readonly totalMilliseconds: number;
  /** Load reported with the last frame, if any. */
  readonly load?: EndpointLoad;
}

/** A slot at an endpoint, held until `release`. */
export interface Placement {
  readonly endpoint: EndpointId;
  /** Priority of the request's class, for the side and the engine. */
  readonly priority: number;
  /** Frees the slot; further calls have no effect. */
  release(summary: AttemptSummary): void;
}

/** A request that waits for a slot. */
export interface WaitingRequest {
  /** Resolves with a slot, or with a final refusal. */
  readonly placed: Promise<Result<Placement, Refusal>>;
  /** Removes the request from the queue after its caller has disconnected. */
  cancel(): void;
}

/**
 * Admission, queueing and placement at one entry, with statistics of past
 * attempts. Holds no socket and no clock of its own.
 */
export interface Scheduler {
  /**
   * Applies the inventory and rules in force. Waiting requests stay queued
   * unless their pool is gone.
   */
  configure(inventory: Inventory, rules: Rules): void;
  /** First attempt of a request: admitted or refused immediately. */
  submit(profile: RequestProfile): Result<WaitingRequest, Refusal>;
  /**
   * Further attempt of an admitted request. It draws on the retry budget and is
   * refused when the budget is exhausted.
   */
  resubmit(profile: RequestProfile): Result<WaitingRequest, Refusal>;
  /** Applies a report of a side; `receivedAt` is timer time in milliseconds. */
  report(report: SideReport, receivedAt: number): void;
  /**
   * Marks the endpoint as unreachable from this entry (true) or reachable again
   * (false).
   */
  suspect(endpoint: EndpointId, suspected: boolean): void;
  /**
   * Cache event of an engine, possibly delayed: prefixes it has added or
   * dropped.
   */
  cacheEvent(
    endpoint: EndpointId,
    event: { added: readonly string[]; dropped: readonly string[] },
  ): void;
  /**
   * Delay of the entry's event loop, milliseconds; the scheduler sheds load
   * before the loop stalls.
   */
  loopDelay(milliseconds: number): void;
  /** Demand on each pool as seen at this entry; input of the planner. */
  demand(): readonly PoolDemand[];
  readonly waiting: number;
  readonly running: number;
}

/** Demand on one pool at one entry over the last window. */
export interface PoolDemand {
  readonly pool: string;
  readonly arrivalsPerSecond: number;
  readonly promptTokensPerSecond: number;
  readonly outputTokensPerSecond: number;
  readonly waiting: number;
  readonly refusedPerSecond: number;
  /** The same demand by class, for the planner. */
  readonly classes?: readonly ClassArrivals[];
}

/** Arrivals of one class over the last window, including refused ones. */
export interface ClassArrivals {
  readonly className: string;
  readonly arrivalsPerSecond: number;
  /** Mean tokens of a request; for outputs the expected number. */
  readonly promptTokens: number;
  readonly outputTokens: number;
}
