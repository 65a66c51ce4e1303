import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import {
  factNumber,
  factText,
  getOrCreate,
  type Violation,
} from "./violation.ts";

interface RequestHistory {
  received?: HistoryEvent;
  expected?: HistoryEvent;
  readonly tokens: HistoryEvent[];
  response?: HistoryEvent;
  finished?: HistoryEvent;
}

/**
 * Checks that each caller receives the complete answer to its own request:
 * every token once and in order, exactly one outcome, nothing after it,
 * `answered` only for a complete answer, and no request without an outcome
 * unless its entry was killed.
 */
export function checkWrongAnswer(events: readonly HistoryEvent[]): Violation[] {
  const violations: Violation[] = [];
  const requests = new Map<string, RequestHistory>();
  const killedProcesses = new Set<string>();
  let ended = false;
  for (const event of events) {
    if (event.kind === "process_killed") killedProcesses.add(event.process);
    if (event.kind === "run_ended") ended = true;
    const id = factText(event, "requestId");
    if (id === "") continue;
    const request = getOrCreate(requests, {
      key: id,
      create: () => ({ tokens: [] }),
    });
    violations.push(...applyEvent(request, event));
  }
  if (!ended) return violations;
  for (const request of requests.values()) {
    violations.push(...checkMissingOutcome(request, killedProcesses));
  }
  return violations;
}

function applyEvent(request: RequestHistory, event: HistoryEvent): Violation[] {
  switch (event.kind) {
    case "answer_expected":
      request.expected = event;
      return [];
    case "request_received":
      request.received = event;
      return [];
    case "token_delivered":
      return checkToken(request, event);
    case "response_delivered":
      return checkResponse(request, event);
    case "request_finished":
      return checkOutcome(request, event);
    default:
      return [];
  }
}

function checkToken(request: RequestHistory, event: HistoryEvent): Violation[] {
  const index = request.tokens.push(event) - 1;
  if (request.finished !== undefined) {
    return [
      wrongAnswer("Token delivered after the outcome", [
        request.finished,
        event,
      ]),
    ];
  }
  if (factNumber(event, "index") !== index) {
    return [
      wrongAnswer(`Token ${event.facts.index} at position ${index}`, [event]),
    ];
  }
  const expected = request.expected;
  if (expected === undefined) return [];
  if (factText(expected, "text").startsWith(deliveredText(request))) return [];
  return [wrongAnswer("Token of another answer", [expected, event])];
}

function checkResponse(
  request: RequestHistory,
  event: HistoryEvent,
): Violation[] {
  const earlier = request.response ?? request.finished;
  request.response = event;
  if (earlier !== undefined) {
    return [
      wrongAnswer("Response after an earlier response or outcome", [
        earlier,
        event,
      ]),
    ];
  }
  const expected = request.expected;
  if (expected === undefined) return [];
  if (factText(expected, "text") === factText(event, "body")) return [];
  return [wrongAnswer("Response of another request", [expected, event])];
}

function checkOutcome(
  request: RequestHistory,
  event: HistoryEvent,
): Violation[] {
  const earlier = request.finished;
  request.finished = event;
  if (earlier !== undefined) {
    return [wrongAnswer("Second outcome", [earlier, event])];
  }
  if (factText(event, "outcome") !== "answered") return [];
  if (request.response !== undefined) return [];
  const count = factNumber(event, "tokens");
  if (!(count > 0) || count !== request.tokens.length) {
    const detail =
      `Outcome counts ${count} tokens, delivered ${request.tokens.length}`;
    return [wrongAnswer(detail, [event])];
  }
  const { expected } = request;
  if (expected === undefined) return [];
  if (factText(expected, "text") === deliveredText(request)) return [];
  return [
    wrongAnswer("Truncated answer reported as complete", [expected, event]),
  ];
}

function checkMissingOutcome(
  request: RequestHistory,
  killedProcesses: Set<string>,
): Violation[] {
  const { received, finished } = request;
  if (received === undefined || finished !== undefined) return [];
  if (killedProcesses.has(received.process)) return [];
  return [wrongAnswer("Request without an outcome", [received])];
}

function deliveredText(request: RequestHistory): string {
  return request.tokens.map((event) => factText(event, "text")).join("");
}

function wrongAnswer(detail: string, events: HistoryEvent[]): Violation {
  return { condition: "wrong_answer", detail, events };
}

/**
 * Checks that a `not_run` outcome is true: no endpoint started the request's
 * work before or after it. A start that the endpoint refused does not count.
 */
export function checkFalseNotRun(events: readonly HistoryEvent[]): Violation[] {
  const refused = new Set(
    events.filter((event) => event.kind === "attempt_refused")
      .map((event) => factText(event, "attemptId")),
  );
  const started = new Map<string, HistoryEvent>();
  for (const event of events) {
    const isStart = event.kind === "endpoint_started" &&
      !refused.has(factText(event, "attemptId"));
    if (isStart || event.kind === "endpoint_executed") {
      started.set(factText(event, "requestId"), event);
    }
  }
  return events.flatMap((event) => {
    if (event.kind !== "request_finished") return [];
    if (factText(event, "outcome") !== "not_run") return [];
    const start = started.get(factText(event, "requestId"));
    if (start === undefined) return [];
    const detail = `Outcome not_run for work that an endpoint started`;
    return [{ condition: "false_not_run", detail, events: [start, event] }];
  });
}

/**
 * Checks that a non-idempotent request runs at most once per key, or per
 * request if it has no key, and that every retry with a key gets the first
 * answer.
 */
export function checkRanTwice(events: readonly HistoryEvent[]): Violation[] {
  return [
    ...checkDuplicateExecutions(events),
    ...checkRepeatedKeyAnswers(events),
  ];
}

function checkDuplicateExecutions(
  events: readonly HistoryEvent[],
): Violation[] {
  const first = new Map<string, HistoryEvent>();
  return events.flatMap((event) => {
    if (event.kind !== "endpoint_executed") return [];
    if (event.facts.idempotent !== false) return [];
    const id = factText(event, "key") || factText(event, "requestId");
    const earlier = first.get(id);
    if (earlier === undefined) {
      first.set(id, event);
      return [];
    }
    const detail = `Work of "${id}" executed twice`;
    return [{ condition: "ran_twice", detail, events: [earlier, event] }];
  });
}

function checkRepeatedKeyAnswers(events: readonly HistoryEvent[]): Violation[] {
  const keys = new Map<string, string>();
  const answers = new Map<string, HistoryEvent>();
  return events.flatMap((event) => {
    const request = factText(event, "requestId");
    if (event.kind === "request_received" && event.facts.key !== undefined) {
      keys.set(request, factText(event, "key"));
    }
    const key = keys.get(request);
    if (event.kind !== "response_delivered" || key === undefined) return [];
    const earlier = answers.get(key) ?? event;
    answers.set(key, earlier);
    if (factText(earlier, "body") === factText(event, "body")) return [];
    const detail = `Retry of "${key}" got a different answer`;
    return [{ condition: "ran_twice", detail, events: [earlier, event] }];
  });
}
