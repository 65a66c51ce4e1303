import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import {
  factNumber,
  factText,
  getOrCreate,
  type Violation,
} from "./violation.ts";

interface EngineState {
  inProgress?: HistoryEvent;
  newest?: HistoryEvent;
  readonly ordersByNumber: Map<number, HistoryEvent>;
}

/**
 * Checks that an engine receives no conflicting orders: none while another is
 * in progress, none older than one already received, and none with the same
 * number and another target. A repeated order does not conflict, because an
 * order states the complete target.
 */
export function checkConflictingOrders(
  events: readonly HistoryEvent[],
): Violation[] {
  const violations: Violation[] = [];
  const engines = new Map<string, EngineState>();
  for (const event of events) {
    const engine = engineStateOf(engines, event);
    if (event.kind === "order_received") {
      violations.push(...checkConflicts(engine, event));
      engine.inProgress = event;
      if (!isOlder(event, engine.newest)) engine.newest = event;
      engine.ordersByNumber.set(factNumber(event, "order"), event);
    }
    const ends = event.kind === "order_done" &&
      isSameOrder(event, engine.inProgress);
    if (ends || event.kind === "process_killed") engine.inProgress = undefined;
  }
  return violations;
}

function engineStateOf(
  engines: Map<string, EngineState>,
  event: HistoryEvent,
): EngineState {
  const key = factText(event, "endpoint") || event.process;
  return getOrCreate(engines, {
    key,
    create: () => ({ ordersByNumber: new Map() }),
  });
}

function checkConflicts(engine: EngineState, event: HistoryEvent): Violation[] {
  const violations: Violation[] = [];
  const { inProgress, newest } = engine;
  if (inProgress !== undefined && !isSameOrder(event, inProgress)) {
    violations.push(
      conflictViolation("Second order while another was in progress", [
        inProgress,
        event,
      ]),
    );
  }
  if (newest !== undefined && isOlder(event, newest)) {
    violations.push(conflictViolation("Order older than one already received", [
      newest,
      event,
    ]));
  }
  const same = engine.ordersByNumber.get(factNumber(event, "order"));
  if (
    same !== undefined && factText(same, "target") !== factText(event, "target")
  ) {
    violations.push(
      conflictViolation("Order number reused with another target", [
        same,
        event,
      ]),
    );
  }
  return violations;
}

function isSameOrder(event: HistoryEvent, other?: HistoryEvent): boolean {
  return other !== undefined &&
    factNumber(event, "order") === factNumber(other, "order");
}

function isOlder(event: HistoryEvent, other?: HistoryEvent): boolean {
  return other !== undefined &&
    factNumber(event, "order") < factNumber(other, "order");
}

function conflictViolation(detail: string, events: HistoryEvent[]): Violation {
  return { condition: "conflicting_orders", detail, events };
}

interface StreamState {
  claim: number;
  readonly numbers: Map<string, number>;
}

/**
 * Checks that orders of a process that lost its authority have no effect. The
 * checker folds the log itself: an order is valid if its claim was in force at
 * its offset and its number is above the endpoint's last one.
 */
export function checkOrderWithoutAuthority(
  events: readonly HistoryEvent[],
): Violation[] {
  const orders = new Map<string, { event: HistoryEvent; valid: boolean }>();
  const streams = new Map<string, StreamState>();
  for (const event of recordsInLogOrder(events, "orders")) {
    const stream = getOrCreate(streams, {
      key: factText(event, "stream"),
      create: () => ({ claim: -1, numbers: new Map<string, number>() }),
    });
    if (factText(event, "kind") === "claim") applyClaim(stream, event);
    if (factText(event, "kind") !== "order") continue;
    orders.set(orderKey(event, "offset"), {
      event,
      valid: applyOrder(stream, event),
    });
  }
  return events
    .filter((event) => event.kind === "order_received")
    .flatMap((event) =>
      checkAuthority(event, orders.get(orderKey(event, "order")))
    );
}

/**
 * Returns the valid records of streams whose name starts with `stream`, by
 * offset. A record that was appended after a later one of the same writer run
 * is void.
 */
export function recordsInLogOrder(
  events: readonly HistoryEvent[],
  stream: string,
): HistoryEvent[] {
  return events
    .filter((event) =>
      event.kind === "log_appended" &&
      factText(event, "stream").startsWith(stream)
    )
    .sort((one, other) =>
      factNumber(one, "offset") - factNumber(other, "offset")
    )
    .filter(createSequenceFilter());
}

function createSequenceFilter(): (event: HistoryEvent) => boolean {
  const last = new Map<string, number>();
  return (event) => {
    const sequence = factNumber(event, "sequence");
    if (Number.isNaN(sequence)) return true;
    const writer = ["stream", "writer", "incarnation"]
      .map((fact) => factText(event, fact)).join(" ");
    if (sequence <= (last.get(writer) ?? -1)) return false;
    last.set(writer, sequence);
    return true;
  };
}

function applyClaim(stream: StreamState, event: HistoryEvent): void {
  if (factNumber(event, "replaces") !== stream.claim) return;
  stream.claim = factNumber(event, "offset");
}

function applyOrder(stream: StreamState, event: HistoryEvent): boolean {
  const endpoint = factText(event, "endpoint");
  const last = stream.numbers.get(endpoint) ?? Number.NEGATIVE_INFINITY;
  const valid = factNumber(event, "claim") === stream.claim &&
    factNumber(event, "number") > last;
  if (valid) stream.numbers.set(endpoint, factNumber(event, "number"));
  return valid;
}

function orderKey(event: HistoryEvent, fact: string): string {
  return `${factText(event, "endpoint")} ${factNumber(event, fact)}`;
}

function checkAuthority(
  event: HistoryEvent,
  order: { event: HistoryEvent; valid: boolean } | undefined,
): Violation[] {
  const condition = "order_without_authority";
  if (order === undefined) {
    const detail = "Order is not on the log";
    return [{ condition, detail, events: [event] }];
  }
  if (!order.valid) {
    const detail = "Order is void at its log offset";
    return [{ condition, detail, events: [order.event, event] }];
  }
  if (factText(order.event, "target") !== factText(event, "target")) {
    const detail = "Order target differs from the log record";
    return [{ condition, detail, events: [order.event, event] }];
  }
  return [];
}
