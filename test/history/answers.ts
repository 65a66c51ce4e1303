import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import { numberOf, textOf, valueOf, type Violation } from "./violation.ts";

interface RequestState {
  received?: HistoryEvent;
  expected?: HistoryEvent;
  readonly tokens: HistoryEvent[];
  response?: HistoryEvent;
  finished?: HistoryEvent;
}

/**
 * Each caller gets the whole answer to its own request: tokens in order and
 * once, one outcome and nothing behind it, an answer called whole only if it
 * is, and no request left without an outcome at an entry that lived on.
 */
export function checkWrongAnswer(events: readonly HistoryEvent[]): Violation[] {
  const violations: Violation[] = [];
  const requests = new Map<string, RequestState>();
  const dead = new Set<string>();
  let ended = false;
  for (const event of events) {
    if (event.kind === "process_killed") dead.add(event.process);
    if (event.kind === "run_ended") ended = true;
    const id = textOf(event, "requestId");
    if (id === "") continue;
    const request = valueOf(requests, {
      key: id,
      make: () => ({ tokens: [] }),
    });
    violations.push(...take(request, event));
  }
  if (!ended) return violations;
  for (const request of requests.values()) {
    violations.push(...checkLost(request, dead));
  }
  return violations;
}

function take(request: RequestState, event: HistoryEvent): Violation[] {
  switch (event.kind) {
    case "answer_expected":
      request.expected = event;
      return [];
    case "request_received":
      request.received = event;
      return [];
    case "token_delivered":
      return takeToken(request, event);
    case "response_delivered":
      return takeResponse(request, event);
    case "request_finished":
      return takeEnd(request, event);
    default:
      return [];
  }
}

function takeToken(request: RequestState, event: HistoryEvent): Violation[] {
  const index = request.tokens.push(event) - 1;
  if (request.finished !== undefined) {
    return [wrong("A token behind the outcome", [request.finished, event])];
  }
  if (numberOf(event, "index") !== index) {
    return [wrong(`Token ${event.facts.index} in place ${index}`, [event])];
  }
  const expected = request.expected;
  if (expected === undefined) return [];
  if (textOf(expected, "text").startsWith(joined(request))) return [];
  return [wrong("A token of another answer", [expected, event])];
}

function takeResponse(request: RequestState, event: HistoryEvent): Violation[] {
  const earlier = request.response ?? request.finished;
  request.response = event;
  if (earlier !== undefined) {
    return [wrong("A response behind another end", [earlier, event])];
  }
  const expected = request.expected;
  if (expected === undefined) return [];
  if (textOf(expected, "text") === textOf(event, "body")) return [];
  return [wrong("The response to another request", [expected, event])];
}

function takeEnd(request: RequestState, event: HistoryEvent): Violation[] {
  const earlier = request.finished;
  request.finished = event;
  if (earlier !== undefined) {
    return [wrong("A second outcome", [earlier, event])];
  }
  if (textOf(event, "outcome") !== "answered") return [];
  if (request.response !== undefined) return [];
  const count = numberOf(event, "tokens");
  if (!(count > 0) || count !== request.tokens.length) {
    const detail = `An answer of ${count} tokens with ${request.tokens.length}`;
    return [wrong(detail, [event])];
  }
  const { expected } = request;
  if (expected === undefined) return [];
  if (textOf(expected, "text") === joined(request)) return [];
  return [wrong("A shorter answer that looks whole", [expected, event])];
}

function checkLost(request: RequestState, dead: Set<string>): Violation[] {
  const { received, finished } = request;
  if (received === undefined || finished !== undefined) return [];
  if (dead.has(received.process)) return [];
  return [wrong("A request without an outcome", [received])];
}

function joined(request: RequestState): string {
  return request.tokens.map((event) => textOf(event, "text")).join("");
}

function wrong(detail: string, events: HistoryEvent[]): Violation {
  return { condition: "wrong_answer", detail, events };
}

/**
 * "Not run" is true: no endpoint has started work of the request, before or
 * after. A start that the side took back as refused by its endpoint is none.
 */
export function checkFalseNotRun(events: readonly HistoryEvent[]): Violation[] {
  const refused = new Set(
    events.filter((event) => event.kind === "attempt_refused")
      .map((event) => textOf(event, "attemptId")),
  );
  const started = new Map<string, HistoryEvent>();
  for (const event of events) {
    const handedOver = event.kind === "endpoint_started" &&
      !refused.has(textOf(event, "attemptId"));
    if (handedOver || event.kind === "endpoint_executed") {
      started.set(textOf(event, "requestId"), event);
    }
  }
  return events.flatMap((event) => {
    if (event.kind !== "request_finished") return [];
    if (textOf(event, "outcome") !== "not_run") return [];
    const start = started.get(textOf(event, "requestId"));
    if (start === undefined) return [];
    const detail = `"Not run" of work that an endpoint started`;
    return [{ condition: "false_not_run", detail, events: [start, event] }];
  });
}

/**
 * A non-idempotent request runs at most once, counted by its key or, without
 * one, by the request; and every repeat of a key gets the first answer.
 */
export function checkRanTwice(events: readonly HistoryEvent[]): Violation[] {
  return [...checkExecutions(events), ...checkRepeats(events)];
}

function checkExecutions(events: readonly HistoryEvent[]): Violation[] {
  const first = new Map<string, HistoryEvent>();
  return events.flatMap((event) => {
    if (event.kind !== "endpoint_executed") return [];
    if (event.facts.idempotent !== false) return [];
    const id = textOf(event, "key") || textOf(event, "requestId");
    const earlier = first.get(id);
    if (earlier === undefined) {
      first.set(id, event);
      return [];
    }
    const detail = `Work of "${id}" took effect twice`;
    return [{ condition: "ran_twice", detail, events: [earlier, event] }];
  });
}

function checkRepeats(events: readonly HistoryEvent[]): Violation[] {
  const keys = new Map<string, string>();
  const answers = new Map<string, HistoryEvent>();
  return events.flatMap((event) => {
    const request = textOf(event, "requestId");
    if (event.kind === "request_received" && event.facts.key !== undefined) {
      keys.set(request, textOf(event, "key"));
    }
    const key = keys.get(request);
    if (event.kind !== "response_delivered" || key === undefined) return [];
    const earlier = answers.get(key) ?? event;
    answers.set(key, earlier);
    if (textOf(earlier, "body") === textOf(event, "body")) return [];
    const detail = `A repeat of "${key}" got another answer`;
    return [{ condition: "ran_twice", detail, events: [earlier, event] }];
  });
}
