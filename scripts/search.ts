/**
 * Model checks two protocols, at-most-once execution and claims with orders:
 * searches every interleaving of small instances and prints the counts.
 */
import process from "node:process";
import { createOnceModel } from "../test/model/once_model.ts";
import { createOrdersModel } from "../test/model/orders_model.ts";
import { type SearchResult, searchStates } from "../test/model/state_search.ts";
import {
  ONCE_GUARDS,
  ONCE_SEARCHES,
  ORDERS_GUARDS,
  ORDERS_SEARCHES,
} from "../test/model/search_cases.ts";

/** Limits one search to about 1 GB of memory. */
const MAX_STATES = 450_000;

const totals = {
  searches: 0,
  states: 0,
  transitions: 0,
  violations: 0,
  cutShort: 0,
  guards: 0,
  caught: 0,
};

function report(name: string, result: SearchResult): void {
  const { states, transitions, depth, exhausted, violation } = result;
  const outcome = violation?.detail ??
    (exhausted ? "nothing found" : "cut short");
  const counts = `${states} states, ${transitions} transitions, depth ${depth}`;
  console.log(`${name}: ${counts}: ${outcome}`);
}

function recordSearch(name: string, result: SearchResult): void {
  report(name, result);
  totals.searches += 1;
  totals.states += result.states;
  totals.transitions += result.transitions;
  if (result.violation !== undefined) totals.violations += 1;
  else if (!result.exhausted) totals.cutShort += 1;
}

function recordGuard(name: string, result: SearchResult): void {
  report(`without ${name}`, result);
  totals.guards += 1;
  if (result.violation !== undefined) totals.caught += 1;
}

const limits = { maxStates: MAX_STATES };
for (const [name, { budget }] of Object.entries(ORDERS_SEARCHES)) {
  recordSearch(
    `orders, ${name}`,
    searchStates(createOrdersModel(budget), limits),
  );
}
for (const [name, { budget }] of Object.entries(ONCE_SEARCHES)) {
  recordSearch(`once, ${name}`, searchStates(createOnceModel(budget), limits));
}
for (const [name, { budget, guards }] of Object.entries(ORDERS_GUARDS)) {
  recordGuard(name, searchStates(createOrdersModel(budget, guards), limits));
}
for (const [name, { budget, guards }] of Object.entries(ONCE_GUARDS)) {
  recordGuard(name, searchStates(createOnceModel(budget, guards), limits));
}
console.log(JSON.stringify({ search: totals }));
const passed = totals.violations === 0 && totals.caught === totals.guards;
process.exitCode = passed ? 0 : 1;
