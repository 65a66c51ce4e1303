import type { Result } from "neverthrow";
import type { EndpointId } from "../identity/mod.ts";
import type { Refusal, RequestProfile } from "../requests/mod.ts";
import type { EndpointLoad, SideReport } from "../../generated/messages.ts";
import type { Inventory } from "../../generated/inventory.ts";
import type { Rules } from "../../generated/rules.ts";

/** How an attempt at an endpoint ended, for what the scheduler learns of it. */
export interface AttemptSummary {
  readonly result: "answered" | "not_run" | "failed" | "cancelled";
  readonly tokens: number;
  /** From placement to the first token; absent where none came. */
  readonly firstTokenMilliseconds?: number;
  readonly totalMilliseconds: number;
  /** Load that came with the last frame, where one did. */
  readonly load?: EndpointLoad;
}

/** A slot at an endpoint, held until `release`. */
export interface Placement {
  readonly endpoint: EndpointId;
  /** Priority of the request's class, for the side and the engine. */
  readonly priority: number;
  /** Gives the slot back; a second call does nothing. */
  release(summary: AttemptSummary): void;
}

/** A request that waits for a slot. */
export interface WaitingRequest {
  /** Settles with a slot, or with a refusal that is final. */
  readonly placed: Promise<Result<Placement, Refusal>>;
  /** The caller has gone; the request leaves the queue. */
  cancel(): void;
}

/**
 * Decides under load at one entry: admits, queues, places and learns. It
 * holds no socket and no clock of its own.
 */
export interface Scheduler {
  /** Takes inventory and rules in force; requests that wait stay. */
  configure(inventory: Inventory, rules: Rules): void;
  /** A first try: admitted or refused at once. */
  submit(profile: RequestProfile): Result<WaitingRequest, Refusal>;
  /**
   * A further try of a request that is already admitted; it is paid from the
   * retry budget, and refused where that is empty.
   */
  resubmit(profile: RequestProfile): Result<WaitingRequest, Refusal>;
  /** A side's report, as it came; `receivedAt` is timer time. */
  report(report: SideReport, receivedAt: number): void;
  /** The entry can't reach the endpoint (true) or can again (false). */
  suspect(endpoint: EndpointId, suspected: boolean): void;
  /** Engine's late cache event: it has (or has dropped) these prefixes. */
  cacheEvent(
    endpoint: EndpointId,
    event: { added: readonly string[]; dropped: readonly string[] },
  ): void;
  /** Lag of the entry's own loop, milliseconds: it sheds before it stalls. */
  loopDelay(milliseconds: number): void;
  /** What the planner needs: demand and capacity seen here, per pool. */
  demand(): readonly PoolDemand[];
  readonly waiting: number;
  readonly running: number;
}

/** Demand on one pool as one entry has seen it over its last window. */
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

/** Arrivals of one class over the last window, refused ones included. */
export interface ClassArrivals {
  readonly className: string;
  readonly arrivalsPerSecond: number;
  /** Mean tokens of a request; outputs as expected. */
  readonly promptTokens: number;
  readonly outputTokens: number;
}
