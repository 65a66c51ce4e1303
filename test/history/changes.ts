import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import {
  type CheckOptions,
  factText,
  getOrCreate,
  type Violation,
} from "./violation.ts";

/** Maps each side to its endpoint, from the sides' start events. */
function endpointsBySide(events: readonly HistoryEvent[]) {
  const endpoints = new Map<string, string>();
  for (const event of events) {
    if (event.kind !== "process_started") continue;
    const endpoint = factText(event, "endpoint");
    if (endpoint !== "") endpoints.set(event.process, endpoint);
  }
  return endpoints;
}

/** Tracks work that endpoints have started and not ended. */
class WorkInProgress {
  readonly #endpoints: Map<string, string>;
  readonly #work = new Map<string, Map<string, HistoryEvent>>();

  constructor(events: readonly HistoryEvent[]) {
    this.#endpoints = endpointsBySide(events);
  }

  applyEvent(event: HistoryEvent): void {
    const attempt = factText(event, "attemptId");
    if (event.kind === "endpoint_started") {
      this.workOn(factText(event, "endpoint")).set(attempt, event);
    }
    const ends = event.kind === "endpoint_finished" ||
      event.kind === "endpoint_cancelled" ||
      event.kind === "attempt_refused";
    if (ends) this.workOn(factText(event, "endpoint")).delete(attempt);
    if (event.kind !== "process_killed") return;
    this.workOn(this.#endpoints.get(event.process) ?? event.process).clear();
  }

  workOn(endpoint: string): Map<string, HistoryEvent> {
    return getOrCreate(this.#work, { key: endpoint, create: () => new Map() });
  }
}

/**
 * Checks that a planned change interrupts no request: no order that changes an
 * engine's target reaches it while it is working, and work that is moved for a
 * change continues on another endpoint.
 */
export function checkCutByChange(events: readonly HistoryEvent[]): Violation[] {
  const violations: Violation[] = [];
  const workInProgress = new WorkInProgress(events);
  const targets = new Map<string, string>();
  for (const event of events) {
    workInProgress.applyEvent(event);
    const endpoint = factText(event, "endpoint");
    if (event.kind === "order_done") {
      targets.set(endpoint, factText(event, "target"));
    }
    if (event.kind !== "order_received") continue;
    if (targets.get(endpoint) === factText(event, "target")) continue;
    for (const work of workInProgress.workOn(endpoint).values()) {
      const detail = "Order reached an engine with work in progress";
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
    const request = factText(event, "requestId");
    if (
      event.kind === "endpoint_cancelled" &&
      factText(event, "cause") === "planned"
    ) moved.set(request, event);
    if (event.kind === "endpoint_started") moved.delete(request);
    if (event.kind !== "request_finished") return [];
    const interrupted = moved.get(request);
    if (interrupted === undefined || isServed(event)) return [];
    const detail = "Work interrupted for a change did not continue elsewhere";
    return [{
      condition: "cut_by_change",
      detail,
      events: [interrupted, event],
    }];
  });
}

/** Whether the request was answered or cancelled by its caller. */
function isServed(event: HistoryEvent): boolean {
  return factText(event, "outcome") === "answered" ||
    factText(event, "reason") === "cancelled";
}

/** Checks that a leaving endpoint gets no new work after the time limit. */
export function checkLeavingEndpointUsed(
  events: readonly HistoryEvent[],
  options: CheckOptions,
): Violation[] {
  const leaving = new Map<string, HistoryEvent>();
  return events.flatMap((event) => {
    const endpoint = factText(event, "endpoint");
    if (event.kind === "endpoint_leaving" && !leaving.has(endpoint)) {
      leaving.set(endpoint, event);
    }
    if (event.kind === "endpoint_returned") leaving.delete(endpoint);
    const isNewWork = event.kind === "attempt_accepted" ||
      event.kind === "endpoint_started";
    const since = leaving.get(endpoint);
    if (!isNewWork || since === undefined) return [];
    if (event.at <= since.at + options.leavingLimitMilliseconds) return [];
    const detail = `New work ${
      event.at - since.at
    } ms after the endpoint began to leave`;
    return [{
      condition: "leaving_endpoint_used",
      detail,
      events: [since, event],
    }];
  });
}

/**
 * Checks that a planned stop interrupts no request: an entry stops only after
 * its requests have outcomes, and a side only after its endpoint's work has
 * ended or is answered through another endpoint.
 */
export function checkCutByStop(events: readonly HistoryEvent[]): Violation[] {
  const violations: Violation[] = [];
  const open = new Map<string, HistoryEvent>();
  const workInProgress = new WorkInProgress(events);
  const endpoints = endpointsBySide(events);
  const outcomes = outcomesByRequest(events);
  for (const event of events) {
    workInProgress.applyEvent(event);
    const request = factText(event, "requestId");
    if (event.kind === "request_received") open.set(request, event);
    if (event.kind === "request_finished") open.delete(request);
    if (event.kind === "process_killed") deleteRequestsOf(open, event.process);
    if (event.kind !== "process_stopped") continue;
    const endpoint = endpoints.get(event.process);
    const interrupted = endpoint === undefined
      ? [...open.values()].filter((one) => one.process === event.process)
      : [...workInProgress.workOn(endpoint).values()].filter((one) => {
        const end = outcomes.get(factText(one, "requestId"));
        return end === undefined || !isServed(end);
      });
    for (const work of interrupted) {
      const detail = "Planned stop left a request unfinished";
      violations.push({
        condition: "cut_by_stop",
        detail,
        events: [work, event],
      });
    }
  }
  return violations;
}

/** Deletes requests that a kill ended; a later run's planned stop did not. */
function deleteRequestsOf(
  open: Map<string, HistoryEvent>,
  process: string,
): void {
  for (const [request, received] of open) {
    if (received.process === process) open.delete(request);
  }
}

function outcomesByRequest(events: readonly HistoryEvent[]) {
  const outcomes = new Map<string, HistoryEvent>();
  for (const event of events) {
    if (event.kind !== "request_finished") continue;
    outcomes.set(factText(event, "requestId"), event);
  }
  return outcomes;
}
