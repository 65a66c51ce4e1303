/**
 * Two entries that claim and give orders to one engine over a log that takes
 * records late, and a side that hears from either entry and may be started
 * again. Claims and orders are judged by the product's own fold. The side's
 * executor waits on timers, so its rules stand here in short: take what is
 * newer, send one order at a time, and only when no other can be under way.
 */
import type { RecordBody } from "../../src/generated/log_records.ts";
import { OrdersFold } from "../../src/core/authority/mod.ts";
import { numbered } from "../../src/core/identity/mod.ts";
import type { Model, Step } from "./search.ts";

export interface OrdersBudget {
  readonly records: number;
  readonly restarts: number;
  /** Messages to the engine that arrive a second time. */
  readonly duplicates: number;
}

export interface OrdersModelGuards {
  /** Takes every order of the log for valid. */
  readonly countsEveryOrder?: boolean;
  /** Sends while another order is under way. */
  readonly sendsAtOnce?: boolean;
  /** Takes what it hears last, newer or not. */
  readonly takesOlder?: boolean;
  /** A side that was started again takes the first order that it hears. */
  readonly trustsFirstAnswer?: boolean;
}

interface SideState {
  /** Offset of the newest order that it has taken; -1 for none. */
  taken: number;
  /** Entries that it has heard from since its start. */
  heard: boolean[];
}

export interface OrdersState {
  log: RecordBody[];
  /** Records that have been sent to the log and may land any time. */
  late: RecordBody[];
  /** How much of the log each entry has read. */
  read: number[];
  side: SideState;
  /** Orders on their way to the engine. */
  sent: number[];
  engine: { underWay: number; newest: number; done: number };
  restarts: number;
  duplicates: number;
  wrong?: string;
}

const ENTRIES = ["entry-0", "entry-1"];
const ROLES = ["prefill", "decode"] as const;
const ENDPOINT = "engine-0";

export function ordersModel(
  budget: OrdersBudget,
  guards: OrdersModelGuards = {},
): Model<OrdersState> {
  return {
    initial: {
      log: [],
      late: [],
      read: [0, 0],
      side: { taken: -1, heard: [false, false] },
      sent: [],
      engine: { underWay: -1, newest: -1, done: -1 },
      restarts: 0,
      duplicates: 0,
    },
    key: (state) =>
      JSON.stringify({
        ...state,
        late: state.late.map((body) => JSON.stringify(body)).sort(),
        sent: [...state.sent].sort(),
      }),
    steps: (state) => new OrdersStepper(budget, guards).steps(state),
    violation: (state) => state.wrong,
  };
}

class OrdersStepper {
  readonly #budget: OrdersBudget;
  readonly #guards: OrdersModelGuards;

  constructor(budget: OrdersBudget, guards: OrdersModelGuards) {
    this.#budget = budget;
    this.#guards = guards;
  }

  *steps(state: OrdersState): Iterable<Step<OrdersState>> {
    for (const entry of ENTRIES.keys()) yield* this.#entrySteps(state, entry);
    for (const at of state.late.keys()) {
      const name = `a ${state.late[at].kind} of the log's queue lands`;
      yield step(state, name, (next) => {
        next.log.push(...next.late.splice(at, 1));
      });
    }
    yield* this.#sideSteps(state);
    yield* this.#engineSteps(state);
  }

  *#entrySteps(state: OrdersState, entry: number): Iterable<Step<OrdersState>> {
    if (state.read[entry] < state.log.length) {
      yield step(state, `${ENTRIES[entry]} reads`, (next) => {
        next.read[entry] += 1;
      });
    }
    if (state.log.length + state.late.length >= this.#budget.records) return;
    const { claim, ...fold } = this.#view(state, state.read[entry]);
    if (claim?.holder === ENTRIES[entry]) {
      yield step(state, `${ENTRIES[entry]} gives an order`, (next) => {
        next.late.push({
          kind: "order",
          claim: claim.offset,
          number: fold.lastNumber + 1,
          endpoint: ENDPOINT,
          target: { role: ROLES[entry] },
        });
      });
    } else {
      yield step(state, `${ENTRIES[entry]} claims`, (next) => {
        const replaces = claim?.offset ?? -1;
        next.late.push({ kind: "claim", holder: ENTRIES[entry], replaces });
      });
    }
  }

  *#sideSteps(state: OrdersState): Iterable<Step<OrdersState>> {
    for (const entry of ENTRIES.keys()) {
      const { standing } = this.#view(state, state.read[entry]);
      yield step(state, `the side hears ${ENTRIES[entry]}`, (next) => {
        next.side.heard[entry] = true;
        const offset = standing?.offset ?? -1;
        if (offset > next.side.taken || this.#guards.takesOlder) {
          next.side.taken = offset;
        }
      });
    }
    if (this.#maySend(state)) {
      yield step(state, `the side sends order ${state.side.taken}`, (next) => {
        next.sent.push(next.side.taken);
      });
    }
    if (state.restarts >= this.#budget.restarts) return;
    yield step(state, "the side is started again", (next) => {
      next.restarts += 1;
      next.side = { taken: -1, heard: [false, false] };
    });
  }

  /** The wait of the longest way of an order is an empty way here. */
  #maySend({ side, sent, engine }: OrdersState): boolean {
    if (side.taken < 0 || side.taken === engine.done) return false;
    const trusts = this.#guards.trustsFirstAnswer ?? false;
    if (!trusts && side.heard.includes(false)) return false;
    if (sent.includes(side.taken) || engine.underWay === side.taken) {
      return false;
    }
    if (this.#guards.sendsAtOnce) return true;
    return sent.length === 0 && engine.underWay < 0;
  }

  *#engineSteps(state: OrdersState): Iterable<Step<OrdersState>> {
    for (const at of state.sent.keys()) {
      yield step(state, `order ${state.sent[at]} arrives`, (next) => {
        this.#receive(next, next.sent.splice(at, 1)[0]);
      });
      if (state.duplicates >= this.#budget.duplicates) continue;
      yield step(state, `a copy of order ${state.sent[at]} arrives`, (next) => {
        next.duplicates += 1;
        this.#receive(next, next.sent[at]);
      });
    }
    if (state.engine.underWay < 0) return;
    yield step(state, "the engine finishes", (next) => {
      next.engine.done = next.engine.underWay;
      next.engine.underWay = -1;
    });
  }

  #receive(next: OrdersState, offset: number): void {
    const { engine } = next;
    if (!this.#isValid(next, offset)) {
      next.wrong = `Order ${offset} is void where it stands`;
    } else if (offset < engine.newest) {
      next.wrong = `Order ${offset} came after order ${engine.newest}`;
    } else if (engine.underWay >= 0 && engine.underWay !== offset) {
      next.wrong =
        `Order ${offset} came while ${engine.underWay} was under way`;
    }
    engine.newest = Math.max(engine.newest, offset);
    engine.underWay = offset;
  }

  /** By the whole log and without guards taken out. */
  #isValid(state: OrdersState, offset: number): boolean {
    const valid = new Set<number>();
    const fold = new OrdersFold({
      onOrder: (_endpoint, order) => void valid.add(order.offset),
    });
    state.log.forEach((body, at) => fold.apply(numbered(at), body));
    return valid.has(offset);
  }

  #view(state: OrdersState, upTo: number) {
    const fold = new OrdersFold(
      this.#guards.countsEveryOrder
        ? { guards: { checksClaim: false, checksNumber: false } }
        : {},
    );
    for (let at = 0; at < upTo; at += 1) {
      fold.apply(numbered(at), state.log[at]);
    }
    return {
      claim: fold.claim,
      lastNumber: fold.lastNumber(ENDPOINT),
      standing: fold.standingOrder(ENDPOINT),
    };
  }
}

function step(
  state: OrdersState,
  name: string,
  change: (next: OrdersState) => void,
): Step<OrdersState> {
  const next: OrdersState = JSON.parse(JSON.stringify(state));
  change(next);
  return { name, state: next };
}
