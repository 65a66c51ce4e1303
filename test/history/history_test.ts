import { expect } from "chai";
import type {
  HistoryEvent,
  HistoryEventKind,
} from "../../src/core/observation/mod.ts";
import { checkHistory, type Condition, CONDITIONS } from "./mod.ts";

type Facts = HistoryEvent["facts"];

function event(
  at: number,
  kind: HistoryEventKind,
  facts: Facts & { process?: string } = {},
): HistoryEvent {
  const { process, ...others } = facts;
  return { at, process: process ?? "entry-1", kind, facts: others };
}

function order(at: number, number: number, facts: Facts = {}): HistoryEvent {
  return event(at, "order_received", {
    process: "e1",
    endpoint: "e1",
    order: number,
    target: "decode",
    ...facts,
  });
}

function done(at: number, number: number): HistoryEvent {
  return event(at, "order_done", {
    process: "e1",
    endpoint: "e1",
    order: number,
    target: "decode",
  });
}

function appended(offset: number, kind: string, facts: Facts): HistoryEvent {
  const stream = kind === "publication" || kind === "verdict"
    ? "configuration"
    : "orders.r";
  return event(0, "log_appended", {
    process: "log",
    stream,
    offset,
    kind,
    ...facts,
  });
}

const CLAIM = appended(0, "claim", { replaces: -1, holder: "entry-1" });
/** A claim at offset 0 and its valid orders 1 to 3. */
const ORDERS = [
  CLAIM,
  ...[1, 2, 3].map((offset) =>
    appended(offset, "order", {
      claim: 0,
      number: offset,
      endpoint: "e1",
      target: "decode",
    })
  ),
];

const LATE_WRITER = { writer: "entry-2", incarnation: "i" };

const SIDE = event(0, "process_started", {
  process: "side-1",
  role: "side",
  endpoint: "e1",
});
const ATTEMPT = { requestId: "r", attemptId: "a", endpoint: "e1" };

function started(at: number, facts: Facts = {}): HistoryEvent {
  return event(at, "endpoint_started", {
    process: "side-1",
    ...ATTEMPT,
    ...facts,
  });
}

function executed(at: number, facts: Facts = {}): HistoryEvent {
  const work = { ...ATTEMPT, idempotent: false };
  return event(at, "endpoint_executed", { process: "e1", ...work, ...facts });
}

function finished(at: number, outcome: string, facts: Facts = {}) {
  return event(at, "request_finished", { requestId: "r", outcome, ...facts });
}

function token(at: number, index: number, text = "x"): HistoryEvent {
  return event(at, "token_delivered", { requestId: "r", index, text });
}

const RECEIVED = event(0, "request_received", { requestId: "r" });
const EXPECTED = event(0, "answer_expected", { requestId: "r", text: "xx" });
const RUN_ENDED = event(60_000, "run_ended");

function inForce(
  at: number,
  version: number,
  process = "entry-1",
): HistoryEvent {
  return event(at, "configuration_in_force", { process, version });
}

const CONFIGURATION = [
  event(0, "process_started", { role: "entry" }),
  {
    ...appended(0, "claim", { replaces: -1 }),
    facts: {
      ...appended(0, "claim", { replaces: -1 }).facts,
      stream: "configuration",
    },
  },
  appended(1, "publication", { base: 0, publicationId: "p" }),
  appended(2, "verdict", { claim: 0, publication: 1, accepted: true }),
];

/** Histories that violate exactly one condition. */
const INVALID_HISTORIES: Readonly<
  Record<Condition, Record<string, HistoryEvent[]>>
> = {
  conflicting_orders: {
    "a second order while one is in progress": [
      ...ORDERS,
      order(1, 1),
      order(2, 2),
    ],
    "an older order that arrives late": [
      ...ORDERS,
      order(1, 2),
      done(2, 2),
      order(3, 1),
    ],
    "an older order after a crash": [
      ...ORDERS,
      order(1, 2),
      event(2, "process_killed", { process: "e1" }),
      order(3, 1),
    ],
  },
  cut_by_change: {
    "an order to an engine with work in progress": [
      SIDE,
      ...ORDERS,
      started(1),
      order(2, 1),
    ],
    "work that is moved and not continued": [
      started(1),
      event(2, "endpoint_cancelled", { ...ATTEMPT, cause: "planned" }),
      finished(3, "unknown"),
    ],
  },
  order_without_authority: {
    "an order that is not on the log": [order(1, 1)],
    "an order after a newer claim": [
      CLAIM,
      appended(1, "claim", { replaces: 0, holder: "entry-2" }),
      appended(2, "order", {
        claim: 0,
        number: 1,
        endpoint: "e1",
        target: "decode",
      }),
      order(1, 2),
    ],
    "a reused order number": [
      CLAIM,
      ...[1, 2].map((offset) =>
        appended(offset, "order", {
          claim: 0,
          number: 1,
          endpoint: "e1",
          target: "decode",
        })
      ),
      order(1, 2),
    ],
    "a target that differs from the log": [
      ...ORDERS,
      order(1, 1, { target: "prefill" }),
    ],
  },
  wrong_answer: {
    "a duplicate token": [token(1, 0), token(2, 0)],
    "a missing token": [token(1, 0), token(2, 2)],
    "a token of another request": [EXPECTED, token(1, 0, "y")],
    "a truncated answer reported as complete": [
      EXPECTED,
      token(1, 0),
      finished(2, "answered", { tokens: 1 }),
    ],
    "a token after the outcome": [
      token(1, 0),
      finished(2, "answered", { tokens: 1 }),
      token(3, 1),
    ],
    "the response of another request": [
      EXPECTED,
      event(1, "response_delivered", { requestId: "r", body: "yy" }),
    ],
    "two outcomes": [finished(1, "unknown"), finished(2, "unknown")],
    "an answer without content": [finished(1, "answered")],
    "no outcome": [RECEIVED, RUN_ENDED],
  },
  false_not_run: {
    "work started before the outcome": [started(1), finished(2, "not_run")],
    "work executed after the outcome": [finished(1, "not_run"), executed(2)],
  },
  ran_twice: {
    "a key executed twice": [
      executed(1, { key: "k" }),
      executed(2, { key: "k", requestId: "r2", endpoint: "e2" }),
    ],
    "a request without a key executed twice": [executed(1), executed(2)],
    "a retry with a different answer": ["r", "r2"].flatMap((
      requestId,
      index,
    ) => [
      event(1, "request_received", { requestId, key: "k" }),
      event(2, "response_delivered", { requestId, body: `case ${index}` }),
    ]),
  },
  leaving_endpoint_used: {
    "new work six seconds later": [
      event(0, "endpoint_leaving", { process: "network", endpoint: "e1" }),
      started(6_000),
    ],
  },
  cut_by_stop: {
    "an entry that stops with an open request": [
      RECEIVED,
      event(1, "process_stopped"),
      finished(2, "unknown"),
    ],
    "a side that stops with work in progress": [
      SIDE,
      started(1),
      event(2, "process_stopped", { process: "side-1" }),
      finished(3, "unknown"),
    ],
  },
  configuration_reverted: {
    "a version that decreases": [
      ...CONFIGURATION,
      inForce(1, 3),
      inForce(2, 0),
    ],
    "a version that decreases across a restart": [
      ...CONFIGURATION,
      inForce(1, 3),
      event(2, "process_killed"),
      event(3, "process_started"),
      inForce(4, 0),
    ],
    "a version that was not accepted": [...CONFIGURATION, inForce(1, 4)],
    "a second publication on the same base": [
      ...CONFIGURATION,
      appended(3, "publication", { base: 0, publicationId: "q" }),
      appended(4, "verdict", { claim: 0, publication: 3, accepted: true }),
      inForce(1, 5),
    ],
    "a process that never puts it in force": [...CONFIGURATION, RUN_ENDED],
    "a side that is late after a pause of its only entry": [
      ...CONFIGURATION,
      SIDE,
      event(1, "process_paused"),
      event(20_000, "process_resumed"),
      inForce(20_001, 3),
      inForce(29_001, 3, "side-1"),
    ],
    "a process that is late after a pause": [
      ...CONFIGURATION,
      event(1, "process_paused"),
      event(20_000, "process_resumed"),
      inForce(29_001, 3),
    ],
  },
};

/** Histories that are close to a violation and valid. */
const VALID_HISTORIES: Readonly<
  Record<Condition, Record<string, HistoryEvent[]>>
> = {
  conflicting_orders: {
    "a repeated order": [...ORDERS, order(1, 1), order(2, 1)],
    "the next order after a crash during a change": [
      ...ORDERS,
      order(1, 1),
      event(2, "process_killed", { process: "e1" }),
      order(3, 1),
      done(4, 1),
      order(5, 2),
    ],
    "an older order that the engine refuses": [
      ...ORDERS,
      order(1, 2),
      event(2, "order_refused", { process: "e1", endpoint: "e1", order: 1 }),
    ],
  },
  cut_by_change: {
    "an order after the work has ended": [
      SIDE,
      ...ORDERS,
      started(1),
      event(2, "endpoint_finished", { ...ATTEMPT, result: "answered" }),
      order(3, 1),
    ],
    "work that is moved and continued": [
      started(1),
      event(2, "endpoint_cancelled", { ...ATTEMPT, cause: "planned" }),
      started(3, { attemptId: "b", endpoint: "e2" }),
    ],
    "an unchanged target while work is in progress": [
      SIDE,
      ...ORDERS,
      order(1, 1),
      done(2, 1),
      started(3),
      order(4, 2),
    ],
  },
  order_without_authority: {
    "an order before a newer claim, delivered after it": [
      ...ORDERS,
      appended(4, "claim", { replaces: 0, holder: "entry-2" }),
      order(1, 3),
    ],
    "a claim that was appended after a later record of its writer": [
      ...ORDERS,
      appended(4, "renewal", { ...LATE_WRITER, sequence: 7 }),
      appended(5, "claim", { ...LATE_WRITER, sequence: 6, replaces: 0 }),
      appended(6, "order", {
        claim: 0,
        number: 6,
        endpoint: "e1",
        target: "decode",
      }),
      order(1, 6),
    ],
    "a claim that lost its race": [
      CLAIM,
      appended(1, "claim", { replaces: -1, holder: "entry-2" }),
      appended(2, "order", {
        claim: 0,
        number: 1,
        endpoint: "e1",
        target: "decode",
      }),
      order(1, 2),
    ],
  },
  wrong_answer: {
    "the complete answer": [
      RECEIVED,
      EXPECTED,
      token(1, 0),
      token(2, 1),
      finished(3, "answered", { tokens: 2 }),
      RUN_ENDED,
    ],
    "a partial answer with an explicit error": [
      EXPECTED,
      token(1, 0),
      finished(2, "unknown"),
    ],
    "no outcome at an entry that was killed": [
      RECEIVED,
      event(1, "process_killed"),
      RUN_ENDED,
    ],
  },
  false_not_run: {
    "work that the endpoint refused": [
      started(1),
      event(2, "attempt_refused", ATTEMPT),
      finished(3, "not_run"),
    ],
    "another request with the same key": [
      started(1, { key: "k" }),
      finished(2, "not_run", { requestId: "r2", key: "k" }),
    ],
  },
  ran_twice: {
    "idempotent work executed twice": [
      executed(1, { idempotent: true }),
      executed(2, { idempotent: true }),
    ],
    "two keys with the same body": [
      executed(1, { key: "k" }),
      executed(2, { key: "l" }),
    ],
    "a retry with the first answer": ["r", "r2"].flatMap((requestId) => [
      event(1, "request_received", { requestId, key: "k" }),
      event(2, "response_delivered", { requestId, body: "case 1" }),
    ]),
  },
  leaving_endpoint_used: {
    "new work within the time limit": [
      event(0, "endpoint_leaving", { process: "network", endpoint: "e1" }),
      started(4_000),
    ],
    "new work after the endpoint returned": [
      event(0, "endpoint_leaving", { process: "network", endpoint: "e1" }),
      event(5_500, "endpoint_returned", { process: "network", endpoint: "e1" }),
      started(6_000),
    ],
  },
  cut_by_stop: {
    "an entry that stops after its last outcome": [
      RECEIVED,
      finished(1, "unknown"),
      event(2, "process_stopped"),
    ],
    "a side that stops while its work continues elsewhere": [
      SIDE,
      started(1),
      event(2, "process_stopped", { process: "side-1" }),
      started(3, { attemptId: "b", endpoint: "e2" }),
      token(4, 0),
      finished(5, "answered", { tokens: 1 }),
    ],
    "a kill": [RECEIVED, event(1, "process_killed")],
    "a planned stop of the run after a kill": [
      RECEIVED,
      event(1, "process_killed"),
      event(2, "process_started"),
      event(3, "process_stopped"),
    ],
  },
  configuration_reverted: {
    "in force in time": [...CONFIGURATION, inForce(8_000, 3), RUN_ENDED],
    "in force in time after a pause": [
      ...CONFIGURATION,
      event(1, "process_paused"),
      event(20_000, "process_resumed"),
      inForce(28_000, 3),
      RUN_ENDED,
    ],
    "a losing publication that was never in force": [
      ...CONFIGURATION,
      appended(3, "publication", { base: 0, publicationId: "q" }),
      appended(4, "verdict", { claim: 0, publication: 3, accepted: true }),
      inForce(1, 3),
      RUN_ENDED,
    ],
    "a side in time after a pause of its only entry": [
      ...CONFIGURATION,
      SIDE,
      event(1, "process_paused"),
      event(20_000, "process_resumed"),
      inForce(20_001, 3),
      inForce(28_000, 3, "side-1"),
      RUN_ENDED,
    ],
    "a stopped process": [
      ...CONFIGURATION,
      event(1, "process_stopped"),
      RUN_ENDED,
    ],
  },
};

describe("checkHistory", () => {
  for (const condition of CONDITIONS) {
    describe(condition, () => {
      for (
        const [name, events] of Object.entries(INVALID_HISTORIES[condition])
      ) {
        it(`reports ${name}`, () => {
          const found = checkHistory(events).map((one) => one.condition);
          expect([...new Set(found)]).to.deep.equal([condition]);
        });
      }
      for (const [name, events] of Object.entries(VALID_HISTORIES[condition])) {
        it(`allows ${name}`, () => {
          expect(checkHistory(events)).to.deep.equal([]);
        });
      }
    });
  }
});
