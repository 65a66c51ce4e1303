import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import {
  type CheckOptions,
  textOf,
  valueOf,
  type Violation,
} from "./violation.ts";

/** Which endpoint each side stands beside, as the sides tell at their start. */
function endpointsOfSides(events: readonly HistoryEvent[]) {
  const endpoints = new Map<string, string>();
  for (const event of events) {
    if (event.kind !== "process_started") continue;
    const endpoint = textOf(event, "endpoint");
    if (endpoint !== "") endpoints.set(event.process, endpoint);
  }
  return endpoints;
}

/** Work that has been handed to endpoints and has not ended, by endpoint. */
class WorkUnderWay {
  readonly #endpoints: Map<string, string>;
  readonly #work = new Map<string, Map<string, HistoryEvent>>();

  constructor(events: readonly HistoryEvent[]) {
    this.#endpoints = endpointsOfSides(events);
  }

  take(event: HistoryEvent): void {
    const attempt = textOf(event, "attemptId");
    if (event.kind === "endpoint_started") {
      this.at(textOf(event, "endpoint")).set(attempt, event);
    }
    const ends = event.kind === "endpoint_finished" ||
      event.kind === "endpoint_cancelled" ||
      event.kind === "attempt_refused";
    if (ends) this.at(textOf(event, "endpoint")).delete(attempt);
    if (event.kind !== "process_killed") return;
    this.at(this.#endpoints.get(event.process) ?? event.process).clear();
  }

  at(endpoint: string): Map<string, HistoryEvent> {
    return valueOf(this.#work, { key: endpoint, make: () => new Map() });
  }
}

/**
 * No request is cut off by a planned change: no order that alters an engine
 * reaches it while it works, and what is moved for a change goes on elsewhere.
 */
export function checkCutByChange(events: readonly HistoryEvent[]): Violation[] {
  const violations: Violation[] = [];
  const underWay = new WorkUnderWay(events);
  const targets = new Map<string, string>();
  for (const event of events) {
    underWay.take(event);
    const endpoint = textOf(event, "endpoint");
    if (event.kind === "order_done") {
      targets.set(endpoint, textOf(event, "target"));
    }
    if (event.kind !== "order_received") continue;
    if (targets.get(endpoint) === textOf(event, "target")) continue;
    for (const work of underWay.at(endpoint).values()) {
      const detail = "An order reached an engine that was at work";
      violations.push({
        condition: "cut_by_change",
        detail,
        events: [work, event],
      });
    }
  }
  return [...violations, ...checkMovedWork(events)];
}

function checkMovedWork(events: readonly HistoryEvent[]): Violation[] {
  const moved = new Map<string, HistoryEvent>();
  return events.flatMap((event) => {
    const request = textOf(event, "requestId");
    if (
      event.kind === "endpoint_cancelled" &&
      textOf(event, "cause") === "planned"
    ) moved.set(request, event);
    if (event.kind === "endpoint_started") moved.delete(request);
    if (event.kind !== "request_finished") return [];
    const cut = moved.get(request);
    if (cut === undefined || isServed(event)) return [];
    const detail = "Work was cut for a change and did not go on elsewhere";
    return [{ condition: "cut_by_change", detail, events: [cut, event] }];
  });
}

/** Answered, or given up by the caller itself. */
function isServed(event: HistoryEvent): boolean {
  return textOf(event, "outcome") === "answered" ||
    textOf(event, "reason") === "cancelled";
}

/** A leaving endpoint gets no new work after a few seconds. */
export function checkLeavingEndpointUsed(
  events: readonly HistoryEvent[],
  options: CheckOptions,
): Violation[] {
  const leaving = new Map<string, HistoryEvent>();
  return events.flatMap((event) => {
    const endpoint = textOf(event, "endpoint");
    if (event.kind === "endpoint_leaving" && !leaving.has(endpoint)) {
      leaving.set(endpoint, event);
    }
    if (event.kind === "endpoint_returned") leaving.delete(endpoint);
    const isNewWork = event.kind === "attempt_accepted" ||
      event.kind === "endpoint_started";
    const since = leaving.get(endpoint);
    if (!isNewWork || since === undefined) return [];
    if (event.at <= since.at + options.leavingLimitMilliseconds) return [];
    const detail = `New work ${event.at - since.at} ms after it was leaving`;
    return [{
      condition: "leaving_endpoint_used",
      detail,
      events: [since, event],
    }];
  });
}

/**
 * Every planned stop cuts no request: an entry stops when its requests have
 * their outcome, a side when its endpoint's work has ended or goes on
 * elsewhere to a whole answer.
 */
export function checkCutByStop(events: readonly HistoryEvent[]): Violation[] {
  const violations: Violation[] = [];
  const open = new Map<string, HistoryEvent>();
  const underWay = new WorkUnderWay(events);
  const endpoints = endpointsOfSides(events);
  const outcomes = outcomesOf(events);
  for (const event of events) {
    underWay.take(event);
    const request = textOf(event, "requestId");
    if (event.kind === "request_received") open.set(request, event);
    if (event.kind === "request_finished") open.delete(request);
    if (event.kind === "process_killed") forgetRequestsOf(open, event.process);
    if (event.kind !== "process_stopped") continue;
    const endpoint = endpoints.get(event.process);
    const cut = endpoint === undefined
      ? [...open.values()].filter((one) => one.process === event.process)
      : [...underWay.at(endpoint).values()].filter((one) => {
        const end = outcomes.get(textOf(one, "requestId"));
        return end === undefined || !isServed(end);
      });
    for (const work of cut) {
      const detail = "A planned stop left a request behind";
      violations.push({
        condition: "cut_by_stop",
        detail,
        events: [work, event],
      });
    }
  }
  return violations;
}

/** What a kill cut off is not left behind by a later run's planned stop. */
function forgetRequestsOf(
  open: Map<string, HistoryEvent>,
  process: string,
): void {
  for (const [request, received] of open) {
    if (received.process === process) open.delete(request);
  }
}

function outcomesOf(events: readonly HistoryEvent[]) {
  const outcomes = new Map<string, HistoryEvent>();
  for (const event of events) {
    if (event.kind !== "request_finished") continue;
    outcomes.set(textOf(event, "requestId"), event);
  }
  return outcomes;
}
