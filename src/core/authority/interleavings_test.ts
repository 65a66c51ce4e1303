import { expect } from "chai";
import type { RecordBody } from "../../generated/log_records.ts";
import { numbered } from "../identity/mod.ts";
import { OrdersFold } from "./mod.ts";

/**
 * The claim and order protocol over every interleaving at small size: two
 * planners that each read the log as slowly as they like, appends that land
 * whenever they like, once or twice, a relay that is behind, a side that
 * restarts, an engine that checks no fencing. Breadth-first over states; a
 * state is its JSON. `OrdersFold` decides, as in the product.
 */

const ENDPOINT = "triage-1";
const PLANNERS = ["a", "b"] as const;
const ROLES = { a: "prefill", b: "decode" } as const;
const MOST_RECORDS = 4;
const MOST_APPENDS_OF_ONE = 2;

interface State {
  readonly log: readonly RecordBody[];
  /** Records that each planner has read. */
  readonly read: Readonly<Record<string, number>>;
  readonly appends: Readonly<Record<string, number>>;
  /** Appends on their way; an answer may be lost, so each may land twice. */
  readonly flying: readonly { body: RecordBody; landings: number }[];
  /** Records that the side's relay has read, and the order that it knows. */
  readonly relayed: number;
  readonly known: number;
  /** Offsets of the orders that the engine was given. */
  readonly engine: readonly number[];
}

const START: State = {
  log: [],
  read: { a: 0, b: 0 },
  appends: { a: 0, b: 0 },
  flying: [],
  relayed: 0,
  known: -1,
  engine: [],
};

const folds = new Map<string, OrdersFold>();

/** The fold of a prefix; the same few prefixes come up in most states. */
function foldOf(log: readonly RecordBody[], length: number): OrdersFold {
  const key = JSON.stringify(log.slice(0, length));
  const known = folds.get(key);
  if (known !== undefined) return known;
  const fold = new OrdersFold();
  folds.set(key, fold);
  log.slice(0, length).forEach((body, offset) =>
    fold.apply(numbered(offset), body)
  );
  return fold;
}

/** Appends on their way have no order; sorted, the same ones are one state. */
function sorted(flying: State["flying"]): State["flying"] {
  const keyed = flying.map((append) => ({
    append,
    key: JSON.stringify(append),
  }));
  keyed.sort((one, other) => one.key < other.key ? -1 : 1);
  return keyed.map(({ append }) => append);
}

/** What a planner may append, by what it has read, at any moment. */
function wishes(state: State, planner: "a" | "b"): RecordBody[] {
  const fold = foldOf(state.log, state.read[planner]);
  const replaces = fold.claim?.offset ?? -1;
  if (fold.claim?.holder !== planner) {
    return [{ kind: "claim", holder: planner, replaces }];
  }
  return [{
    kind: "order",
    claim: replaces,
    number: fold.lastNumber(ENDPOINT) + 1,
    endpoint: ENDPOINT,
    target: { role: ROLES[planner] },
  }];
}

function* plannerSteps(state: State): Generator<State> {
  for (const planner of PLANNERS) {
    const { [planner]: read } = state.read;
    if (read < state.log.length) {
      yield { ...state, read: { ...state.read, [planner]: read + 1 } };
    }
    const { [planner]: count } = state.appends;
    if (count >= MOST_APPENDS_OF_ONE) continue;
    const appends = { ...state.appends, [planner]: count + 1 };
    for (const body of wishes(state, planner)) {
      const flying = sorted([...state.flying, { body, landings: 2 }]);
      yield { ...state, appends, flying };
    }
  }
}

function* logSteps(state: State): Generator<State> {
  if (state.log.length >= MOST_RECORDS) return;
  for (const [index, { body, landings }] of state.flying.entries()) {
    const others = state.flying.filter((_, other) => other !== index);
    const flying = landings === 1
      ? others
      : [...others, { body, landings: landings - 1 }];
    yield { ...state, log: [...state.log, body], flying: sorted(flying) };
  }
}

function* sideSteps(state: State): Generator<State> {
  if (state.relayed < state.log.length) {
    yield { ...state, relayed: state.relayed + 1 };
  }
  const told = foldOf(state.log, state.relayed).standingOrder(ENDPOINT);
  if (told !== undefined && told.offset > state.known) {
    const engine = [...state.engine, told.offset];
    yield { ...state, known: told.offset, engine };
  }
}

/** What must hold in every state, and between it and the one before. */
function check(state: State): void {
  const whole = foldOf(state.log, state.log.length);
  const valid = validOrders(state.log);
  for (const [index, offset] of state.engine.entries()) {
    expect(valid, "the engine gets valid orders only").to.include(offset);
    expect(offset, "in rising order").to.be.above(
      state.engine[index - 1] ?? -1,
    );
  }
  expect(state.known).to.be.at.most(
    whole.standingOrder(ENDPOINT)?.offset ?? -1,
  );
}

/** Orders under the claim that was in force where they stand, reckoned anew. */
function validOrders(log: readonly RecordBody[]): number[] {
  const valid: number[] = [];
  let claim = -1;
  let last = -1;
  log.forEach((body, offset) => {
    if (body.kind === "claim" && body.replaces === claim) claim = offset;
    if (body.kind !== "order" || body.claim !== claim) return;
    if (body.number <= last) return;
    last = body.number;
    valid.push(offset);
  });
  return valid;
}

describe("Claims and orders over every interleaving", () => {
  // Planners are paused and woken at every possible moment, and every append
  // lands at every possible moment, once or twice. No engine may ever get an
  // order of a planner that had been replaced where its record stands, nor an
  // older order after a newer one.
  it("gives engines valid orders only, in rising order", function () {
    this.timeout(120_000);
    const seen = new Set([JSON.stringify(START)]);
    const queue = [START];
    let takeovers = 0;
    let voids = 0;
    // The queue grows while it is walked, which makes the walk breadth-first.
    for (const state of queue) {
      check(state);
      const whole = foldOf(state.log, state.log.length);
      if (whole.voidOrders > 0) voids += 1;
      if (whole.claim !== undefined && whole.claim.offset > 0) takeovers += 1;
      for (const steps of [plannerSteps, logSteps, sideSteps]) {
        for (const next of steps(state)) {
          const key = JSON.stringify(next);
          if (seen.has(key)) continue;
          seen.add(key);
          queue.push(next);
        }
      }
    }
    console.log(
      `      ${seen.size} states, ${takeovers} with a takeover, ` +
        `${voids} with a void order`,
    );
    expect(takeovers).to.be.above(0);
    expect(voids).to.be.above(0);
  });
});
