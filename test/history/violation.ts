import type { HistoryEvent } from "../../src/core/observation/mod.ts";

/** The nine correctness conditions, in the order of the user contract. */
export const CONDITIONS = [
  "conflicting_orders",
  "cut_by_change",
  "order_without_authority",
  "wrong_answer",
  "false_not_run",
  "ran_twice",
  "leaving_endpoint_used",
  "cut_by_stop",
  "configuration_reverted",
] as const;

export type Condition = (typeof CONDITIONS)[number];

/** A violated condition with the events that prove it. */
export interface Violation {
  readonly condition: Condition;
  readonly detail: string;
  readonly events: readonly HistoryEvent[];
}

export interface CheckOptions {
  /** Time in which a leaving endpoint may still receive new work. */
  readonly leavingLimitMilliseconds: number;
  /** Time until an accepted configuration is in force everywhere. */
  readonly inForceLimitMilliseconds: number;
}

export type Checker = (
  events: readonly HistoryEvent[],
  options: CheckOptions,
) => Violation[];

/** Returns a fact as text; "" if it is absent. */
export function factText(event: HistoryEvent, fact: string): string {
  const value = event.facts[fact];
  return value === undefined ? "" : String(value);
}

/** Returns a numeric fact; otherwise NaN, which compares equal to nothing. */
export function factNumber(event: HistoryEvent, fact: string): number {
  const value = event.facts[fact];
  return typeof value === "number" ? value : Number.NaN;
}

/** Returns the value of a key and creates it on first use. */
export function getOrCreate<Key, Value>(
  map: Map<Key, Value>,
  options: { readonly key: Key; readonly create: () => Value },
): Value {
  const existing = map.get(options.key);
  if (existing !== undefined) return existing;
  const created = options.create();
  map.set(options.key, created);
  return created;
}
