import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import { numberOf, textOf, valueOf, type Violation } from "./violation.ts";

interface EngineState {
  underWay?: HistoryEvent;
  newest?: HistoryEvent;
  readonly targets: Map<number, HistoryEvent>;
}

/**
 * An engine never receives conflicting orders: none while another is under
 * way, none older than one it has had, none of the same number with another
 * target. The same order again is no conflict, since orders are whole states.
 */
export function checkConflictingOrders(
  events: readonly HistoryEvent[],
): Violation[] {
  const violations: Violation[] = [];
  const engines = new Map<string, EngineState>();
  for (const event of events) {
    const engine = engineOf(engines, event);
    if (event.kind === "order_received") {
      violations.push(...conflictsOf(engine, event));
      engine.underWay = event;
      if (!isOlder(event, engine.newest)) engine.newest = event;
      engine.targets.set(numberOf(event, "order"), event);
    }
    const ends = event.kind === "order_done" &&
      isSameOrder(event, engine.underWay);
    if (ends || event.kind === "process_killed") engine.underWay = undefined;
  }
  return violations;
}

function engineOf(
  engines: Map<string, EngineState>,
  event: HistoryEvent,
): EngineState {
  const key = textOf(event, "endpoint") || event.process;
  return valueOf(engines, { key, make: () => ({ targets: new Map() }) });
}

function conflictsOf(engine: EngineState, event: HistoryEvent): Violation[] {
  const violations: Violation[] = [];
  const { underWay, newest } = engine;
  if (underWay !== undefined && !isSameOrder(event, underWay)) {
    violations.push(conflict("A second order while one was under way", [
      underWay,
      event,
    ]));
  }
  if (newest !== undefined && isOlder(event, newest)) {
    violations.push(conflict("An order older than one the engine has had", [
      newest,
      event,
    ]));
  }
  const same = engine.targets.get(numberOf(event, "order"));
  if (
    same !== undefined && textOf(same, "target") !== textOf(event, "target")
  ) {
    violations.push(conflict("One order with two targets", [same, event]));
  }
  return violations;
}

function isSameOrder(event: HistoryEvent, other?: HistoryEvent): boolean {
  return other !== undefined &&
    numberOf(event, "order") === numberOf(other, "order");
}

function isOlder(event: HistoryEvent, other?: HistoryEvent): boolean {
  return other !== undefined &&
    numberOf(event, "order") < numberOf(other, "order");
}

function conflict(detail: string, events: HistoryEvent[]): Violation {
  return { condition: "conflicting_orders", detail, events };
}

interface StreamState {
  claim: number;
  readonly numbers: Map<string, number>;
}

/**
 * Orders from a process that has lost its authority have no effect. The
 * checker folds the log itself: an order counts if its claim was in force
 * where it stands and its number is above the endpoint's last one.
 */
export function checkOrderWithoutAuthority(
  events: readonly HistoryEvent[],
): Violation[] {
  const orders = new Map<string, { event: HistoryEvent; valid: boolean }>();
  const streams = new Map<string, StreamState>();
  for (const event of inLogOrder(events, "orders")) {
    const stream = valueOf(streams, {
      key: textOf(event, "stream"),
      make: () => ({ claim: -1, numbers: new Map<string, number>() }),
    });
    if (textOf(event, "kind") === "claim") takeClaim(stream, event);
    if (textOf(event, "kind") !== "order") continue;
    orders.set(orderKey(event, "offset"), {
      event,
      valid: takeOrder(stream, event),
    });
  }
  return events
    .filter((event) => event.kind === "order_received")
    .flatMap((event) =>
      authorityOf(event, orders.get(orderKey(event, "order")))
    );
}

/**
 * What counts on streams with this name's beginning, by offset. A record that
 * landed behind a later one of its writer's run is void, whatever it says.
 */
export function inLogOrder(
  events: readonly HistoryEvent[],
  stream: string,
): HistoryEvent[] {
  return events
    .filter((event) =>
      event.kind === "log_appended" &&
      textOf(event, "stream").startsWith(stream)
    )
    .sort((one, other) => numberOf(one, "offset") - numberOf(other, "offset"))
    .filter(inSequence());
}

function inSequence(): (event: HistoryEvent) => boolean {
  const last = new Map<string, number>();
  return (event) => {
    const sequence = numberOf(event, "sequence");
    if (Number.isNaN(sequence)) return true;
    const writer = ["stream", "writer", "incarnation"]
      .map((fact) => textOf(event, fact)).join(" ");
    if (sequence <= (last.get(writer) ?? -1)) return false;
    last.set(writer, sequence);
    return true;
  };
}

function takeClaim(stream: StreamState, event: HistoryEvent): void {
  if (numberOf(event, "replaces") !== stream.claim) return;
  stream.claim = numberOf(event, "offset");
}

function takeOrder(stream: StreamState, event: HistoryEvent): boolean {
  const endpoint = textOf(event, "endpoint");
  const last = stream.numbers.get(endpoint) ?? Number.NEGATIVE_INFINITY;
  const valid = numberOf(event, "claim") === stream.claim &&
    numberOf(event, "number") > last;
  if (valid) stream.numbers.set(endpoint, numberOf(event, "number"));
  return valid;
}

function orderKey(event: HistoryEvent, fact: string): string {
  return `${textOf(event, "endpoint")} ${numberOf(event, fact)}`;
}

function authorityOf(
  event: HistoryEvent,
  order: { event: HistoryEvent; valid: boolean } | undefined,
): Violation[] {
  const condition = "order_without_authority";
  if (order === undefined) {
    const detail = "An order that does not stand on the log";
    return [{ condition, detail, events: [event] }];
  }
  if (!order.valid) {
    const detail = "An order that was void where it stood";
    return [{ condition, detail, events: [order.event, event] }];
  }
  if (textOf(order.event, "target") !== textOf(event, "target")) {
    const detail = "An order with another target than on the log";
    return [{ condition, detail, events: [order.event, event] }];
  }
  return [];
}
