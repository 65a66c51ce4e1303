import type { HistoryEvent } from "../../src/core/observation/mod.ts";

/** The nine conditions of the contract with the users, in its order. */
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

/** A condition that did not hold, with the events that show it. */
export interface Violation {
  readonly condition: Condition;
  readonly detail: string;
  readonly events: readonly HistoryEvent[];
}

export interface CheckOptions {
  /** "A few seconds" in which a leaving endpoint may still get new work. */
  readonly leavingLimitMilliseconds: number;
  /** Time until an accepted configuration is in force everywhere. */
  readonly inForceLimitMilliseconds: number;
}

export type Checker = (
  events: readonly HistoryEvent[],
  options: CheckOptions,
) => Violation[];

/** A fact as text; absent facts read as "". */
export function textOf(event: HistoryEvent, fact: string): string {
  const value = event.facts[fact];
  return value === undefined ? "" : String(value);
}

/** A fact as a number; absent facts read as NaN, which equals nothing. */
export function numberOf(event: HistoryEvent, fact: string): number {
  const value = event.facts[fact];
  return typeof value === "number" ? value : Number.NaN;
}

/** The value of a map's key, made on first use. */
export function valueOf<Key, Value>(
  map: Map<Key, Value>,
  at: { readonly key: Key; readonly make: () => Value },
): Value {
  const known = map.get(at.key);
  if (known !== undefined) return known;
  const made = at.make();
  map.set(at.key, made);
  return made;
}
