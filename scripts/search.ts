/**
 * Searches every interleaving of two protocols at small size and prints the
 * counts: at-most-once execution, and claims and orders.
 */
import process from "node:process";
import { onceModel } from "../test/model/once_model.ts";
import { ordersModel } from "../test/model/orders_model.ts";
import { search, type SearchResult } from "../test/model/search.ts";
import {
  ONCE_GUARDS,
  ONCE_SEARCHES,
  ORDERS_GUARDS,
  ORDERS_SEARCHES,
} from "../test/model/searches.ts";

/** Bounds the memory of one search to about a gigabyte. */
const MOST_STATES = 450_000;

const sum = {
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
  const end = violation?.detail ?? (exhausted ? "nothing found" : "cut short");
  const counts = `${states} states, ${transitions} transitions, depth ${depth}`;
  console.log(`${name}: ${counts}: ${end}`);
}

function runClean(name: string, result: SearchResult): void {
  report(name, result);
  sum.searches += 1;
  sum.states += result.states;
  sum.transitions += result.transitions;
  if (result.violation !== undefined) sum.violations += 1;
  else if (!result.exhausted) sum.cutShort += 1;
}

function runGuard(name: string, result: SearchResult): void {
  report(`without ${name}`, result);
  sum.guards += 1;
  if (result.violation !== undefined) sum.caught += 1;
}

const size = { mostStates: MOST_STATES };
for (const [name, { budget }] of Object.entries(ORDERS_SEARCHES)) {
  runClean(`orders, ${name}`, search(ordersModel(budget), size));
}
for (const [name, { budget }] of Object.entries(ONCE_SEARCHES)) {
  runClean(`once, ${name}`, search(onceModel(budget), size));
}
for (const [name, { budget, guards }] of Object.entries(ORDERS_GUARDS)) {
  runGuard(name, search(ordersModel(budget, guards), size));
}
for (const [name, { budget, guards }] of Object.entries(ONCE_GUARDS)) {
  runGuard(name, search(onceModel(budget, guards), size));
}
console.log(JSON.stringify({ search: sum }));
const good = sum.violations === 0 && sum.caught === sum.guards;
process.exitCode = good ? 0 : 1;
