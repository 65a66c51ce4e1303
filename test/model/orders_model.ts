/**
 * Model of two entries that claim and issue orders to one engine over a log
 * with delayed appends, and a side that gets orders from either entry and may
 * restart. The production fold validates claims and orders. The side's executor
 * depends on timers, so the model restates its rules: accept only newer orders,
 * send one order at a time, and only when no other can be in transit or in
 * progress.
 */
import type { RecordBody } from "../../src/generated/log_records.ts";
import { OrdersFold } from "../../src/core/authority/mod.ts";
import { numbered } from "../../src/core/identity/mod.ts";
import type { Model, Step } from "./state_search.ts";

export interface OrdersBudget {
  readonly maxRecords: number;
  readonly restarts: number;
  /** Messages to the engine that are duplicated. */
  readonly duplicates: number;
}

/** Options that disable one guard each. */
export interface OrdersModelGuards {
  /** Treats every order on the log as valid. */
  readonly acceptsInvalidOrders?: boolean;
  /** Sends an order while another is in transit or in progress. */
  readonly allowsConcurrentOrders?: boolean;
  /** Accepts the last order received, whether it is newer or not. */
  readonly acceptsOlderOrders?: boolean;
  /** A restarted side sends without waiting until all entries responded. */
  readonly acceptsFirstEntry?: boolean;
}

interface SideState {
  /** Offset of the newest order that it accepted; -1 for none. */
  accepted: number;
  /** Whether each entry has responded since the side's start. */
  responded: boolean[];
}

export interface OrdersState {
  log: RecordBody[];
  /** Records sent to the log that may be appended at any later step. */
  pendingAppends: RecordBody[];
  /** Number of log records that each entry has read. */
  recordsRead: number[];
  side: SideState;
  /** Offsets of the orders in transit to the engine. */
  ordersInTransit: number[];
  engine: { inProgress: number; newest: number; completed: number };
  restarts: number;
  duplicates: number;
  violation?: string;
}

const ENTRIES = ["entry-0", "entry-1"];
const ROLES_BY_ENTRY = ["prefill", "decode"] as const;
const ENDPOINT_ID = "engine-0";

export function createOrdersModel(
  budget: OrdersBudget,
  guards: OrdersModelGuards = {},
): Model<OrdersState> {
  return {
    initial: {
      log: [],
      pendingAppends: [],
      recordsRead: [0, 0],
      side: { accepted: -1, responded: [false, false] },
      ordersInTransit: [],
      engine: { inProgress: -1, newest: -1, completed: -1 },
      restarts: 0,
      duplicates: 0,
    },
    key: (state) =>
      JSON.stringify({
        ...state,
        pendingAppends: state.pendingAppends.map((body) => JSON.stringify(body))
          .sort(),
        ordersInTransit: [...state.ordersInTransit].sort(),
      }),
    steps: (state) => new OrdersStepGenerator(budget, guards).steps(state),
    violation: (state) => state.violation,
  };
}

/** Generates the steps of a state; each changes a copy of it. */
class OrdersStepGenerator {
  readonly #budget: OrdersBudget;
  readonly #guards: OrdersModelGuards;

  constructor(budget: OrdersBudget, guards: OrdersModelGuards) {
    this.#budget = budget;
    this.#guards = guards;
  }

  *steps(state: OrdersState): Iterable<Step<OrdersState>> {
    for (const entry of ENTRIES.keys()) yield* this.#entrySteps(state, entry);
    for (const at of state.pendingAppends.keys()) {
      const name = `a pending ${state.pendingAppends[at].kind} is appended`;
      yield createStep(state, name, (next) => {
        next.log.push(...next.pendingAppends.splice(at, 1));
      });
    }
    yield* this.#sideSteps(state);
    yield* this.#engineSteps(state);
  }

  *#entrySteps(state: OrdersState, entry: number): Iterable<Step<OrdersState>> {
    if (state.recordsRead[entry] < state.log.length) {
      yield createStep(state, `${ENTRIES[entry]} reads`, (next) => {
        next.recordsRead[entry] += 1;
      });
    }
    if (
      state.log.length + state.pendingAppends.length >= this.#budget.maxRecords
    ) return;
    const { claim, ...fold } = this.#readLog(state, state.recordsRead[entry]);
    if (claim?.holder === ENTRIES[entry]) {
      yield createStep(state, `${ENTRIES[entry]} issues an order`, (next) => {
        next.pendingAppends.push({
          kind: "order",
          claim: claim.offset,
          number: fold.lastNumber + 1,
          endpoint: ENDPOINT_ID,
          target: { role: ROLES_BY_ENTRY[entry] },
        });
      });
    } else {
      yield createStep(state, `${ENTRIES[entry]} claims`, (next) => {
        const replaces = claim?.offset ?? -1;
        next.pendingAppends.push({
          kind: "claim",
          holder: ENTRIES[entry],
          replaces,
        });
      });
    }
  }

  *#sideSteps(state: OrdersState): Iterable<Step<OrdersState>> {
    for (const entry of ENTRIES.keys()) {
      const { standingOrder } = this.#readLog(state, state.recordsRead[entry]);
      yield createStep(
        state,
        `the side gets the response of ${ENTRIES[entry]}`,
        (next) => {
          next.side.responded[entry] = true;
          const offset = standingOrder?.offset ?? -1;
          if (
            offset > next.side.accepted || this.#guards.acceptsOlderOrders
          ) {
            next.side.accepted = offset;
          }
        },
      );
    }
    if (this.#canSend(state)) {
      yield createStep(
        state,
        `the side sends order ${state.side.accepted}`,
        (next) => {
          next.ordersInTransit.push(next.side.accepted);
        },
      );
    }
    if (state.restarts >= this.#budget.restarts) return;
    yield createStep(state, "the side restarts", (next) => {
      next.restarts += 1;
      next.side = { accepted: -1, responded: [false, false] };
    });
  }

  /**
   * The executor waits for the maximum transit time of an order; the model
   * waits until no order is in transit.
   */
  #canSend({ side, ordersInTransit, engine }: OrdersState): boolean {
    if (side.accepted < 0 || side.accepted === engine.completed) return false;
    const acceptsFirstEntry = this.#guards.acceptsFirstEntry ?? false;
    if (!acceptsFirstEntry && side.responded.includes(false)) return false;
    if (
      ordersInTransit.includes(side.accepted) ||
      engine.inProgress === side.accepted
    ) {
      return false;
    }
    if (this.#guards.allowsConcurrentOrders) return true;
    return ordersInTransit.length === 0 && engine.inProgress < 0;
  }

  *#engineSteps(state: OrdersState): Iterable<Step<OrdersState>> {
    for (const at of state.ordersInTransit.keys()) {
      yield createStep(
        state,
        `order ${state.ordersInTransit[at]} arrives`,
        (next) => {
          this.#receive(next, next.ordersInTransit.splice(at, 1)[0]);
        },
      );
      if (state.duplicates >= this.#budget.duplicates) continue;
      yield createStep(
        state,
        `a duplicate of order ${state.ordersInTransit[at]} arrives`,
        (next) => {
          next.duplicates += 1;
          this.#receive(next, next.ordersInTransit[at]);
        },
      );
    }
    if (state.engine.inProgress < 0) return;
    yield createStep(state, "the engine finishes", (next) => {
      next.engine.completed = next.engine.inProgress;
      next.engine.inProgress = -1;
    });
  }

  #receive(next: OrdersState, offset: number): void {
    const { engine } = next;
    if (!this.#isValid(next, offset)) {
      next.violation = `Order ${offset} is void at its offset`;
    } else if (offset < engine.newest) {
      next.violation = `Order ${offset} arrived after order ${engine.newest}`;
    } else if (engine.inProgress >= 0 && engine.inProgress !== offset) {
      next.violation =
        `Order ${offset} arrived while ${engine.inProgress} was in progress`;
    }
    engine.newest = Math.max(engine.newest, offset);
    engine.inProgress = offset;
  }

  /** Validates an order against the whole log with all guards enabled. */
  #isValid(state: OrdersState, offset: number): boolean {
    const valid = new Set<number>();
    const fold = new OrdersFold({
      onOrder: (_endpoint, order) => void valid.add(order.offset),
    });
    state.log.forEach((body, at) => fold.apply(numbered(at), body));
    return valid.has(offset);
  }

  #readLog(state: OrdersState, upTo: number) {
    const fold = new OrdersFold(
      this.#guards.acceptsInvalidOrders
        ? { guards: { checksClaim: false, checksNumber: false } }
        : {},
    );
    for (let at = 0; at < upTo; at += 1) {
      fold.apply(numbered(at), state.log[at]);
    }
    return {
      claim: fold.claim,
      lastNumber: fold.lastNumber(ENDPOINT_ID),
      standingOrder: fold.standingOrder(ENDPOINT_ID),
    };
  }
}

function createStep(
  state: OrdersState,
  name: string,
  change: (next: OrdersState) => void,
): Step<OrdersState> {
  const next: OrdersState = JSON.parse(JSON.stringify(state));
  change(next);
  return { name, state: next };
}
