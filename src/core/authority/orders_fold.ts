import type {
  EngineTarget,
  OrderRecord,
  RecordBody,
} from "../../generated/log_records.ts";
import type { StandingOrder } from "../../generated/messages.ts";
import type { LogOffset } from "../identity/mod.ts";
import type { StreamFold } from "../journal/mod.ts";
import { type Claim, loadClaim, nextClaim } from "./claim.ts";

/** The last valid order for an endpoint. */
export interface EndpointOrder {
  readonly offset: number;
  readonly claim: number;
  readonly number: number;
  readonly target: EngineTarget;
}

/** Checks that a test can disable; production code leaves all enabled. */
export interface OrdersGuards {
  /** A claim is valid only if it replaces the one in force. */
  readonly replacesInForce: boolean;
  /** An order is valid only under the claim in force. */
  readonly checksClaim: boolean;
  /** An order is valid only with a number above its endpoint's last one. */
  readonly checksNumber: boolean;
}

export interface OrdersFoldOptions {
  readonly guards?: Partial<OrdersGuards>;
  /** A valid order has been applied. */
  readonly onOrder?: (endpoint: string, order: EndpointOrder) => void;
  readonly onClaim?: (claim: Claim) => void;
  /** An order is void, because its claim or number is superseded. */
  readonly onVoid?: (offset: number, record: OrderRecord) => void;
}

/**
 * Claims and orders of one region. An order is valid only under the claim in
 * force at its position and with a number above its endpoint's last one.
 *
 * The claim fences orders by position: a planner that was paused or cut off
 * resumes, still treats its claim as valid and moves engines that the new
 * planner has already moved, so that one engine gets orders of two planners in
 * turn. Its records come after the new claim and are void for every reader,
 * without the use of a clock.
 */
export class OrdersFold implements StreamFold {
  readonly #options: OrdersFoldOptions;
  readonly #guards: OrdersGuards;
  #claim: Claim | undefined;
  #orders = new Map<string, EndpointOrder>();
  #lastSign = -1;
  #voidOrders = 0;

  constructor(options: OrdersFoldOptions = {}) {
    this.#options = options;
    this.#guards = {
      replacesInForce: true,
      checksClaim: true,
      checksNumber: true,
      ...options.guards,
    };
  }

  get claim(): Claim | undefined {
    return this.#claim;
  }

  /** Offset of the last record that the claim's holder can have written. */
  get lastSign(): number {
    return this.#lastSign;
  }

  /** Void orders that this reader has seen; not part of the state. */
  get voidOrders(): number {
    return this.#voidOrders;
  }

  /** The order that the endpoint has to follow, if there is one. */
  standingOrder(endpoint: string): StandingOrder | undefined {
    const order = this.#orders.get(endpoint);
    if (order === undefined) return undefined;
    const { offset, claim, target } = order;
    return { offset, claim, target };
  }

  /** Number of the endpoint's last valid order; -1 before the first. */
  lastNumber(endpoint: string): number {
    return this.#orders.get(endpoint)?.number ?? -1;
  }

  /** Every endpoint's last valid order, from which a new planner continues. */
  get orders(): ReadonlyMap<string, EndpointOrder> {
    return this.#orders;
  }

  apply(offset: LogOffset, body: RecordBody): void {
    if (body.kind === "claim") this.#applyClaim(offset, body);
    else if (body.kind === "order") this.#applyOrder(offset, body);
    else if (body.kind === "renewal" && body.claim === this.#claim?.offset) {
      this.#lastSign = offset;
    }
  }

  save(): Record<string, unknown> {
    return {
      claim: this.#claim ?? null,
      lastSign: this.#lastSign,
      orders: [...this.#orders],
    };
  }

  load(state: Record<string, unknown>): void {
    this.#claim = loadClaim(state.claim);
    this.#lastSign = typeof state.lastSign === "number" ? state.lastSign : -1;
    this.#orders = new Map(
      (state.orders ?? []) as Iterable<[string, EndpointOrder]>,
    );
  }

  #applyClaim(
    offset: number,
    record: Extract<RecordBody, { kind: "claim" }>,
  ): void {
    const unchecked = !this.#guards.replacesInForce;
    const next = nextClaim(this.#claim, { offset, record, unchecked });
    if (next === this.#claim || next === undefined) return;
    this.#claim = next;
    this.#lastSign = offset;
    this.#options.onClaim?.(next);
  }

  #applyOrder(offset: number, record: OrderRecord): void {
    if (!this.#isValid(record)) {
      this.#voidOrders += 1;
      this.#options.onVoid?.(offset, record);
      return;
    }
    const { claim, number, target } = record;
    const order = { offset, claim, number, target };
    this.#orders.set(record.endpoint, order);
    this.#lastSign = offset;
    this.#options.onOrder?.(record.endpoint, order);
  }

  #isValid(record: OrderRecord): boolean {
    const { checksClaim, checksNumber } = this.#guards;
    if (checksClaim && record.claim !== this.#claim?.offset) return false;
    return !checksNumber || record.number > this.lastNumber(record.endpoint);
  }
}
