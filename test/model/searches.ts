import type { OnceBudget, OnceModelGuards } from "./once_model.ts";
import type { OrdersBudget, OrdersModelGuards } from "./orders_model.ts";

const NO_FAULTS: OnceBudget = {
  duplicates: 0,
  restarts: 0,
  refusals: 0,
  timeouts: 0,
  records: 2,
};

/** Searches that have to find nothing; the short ones run in CI. */
export const ONCE_SEARCHES: Readonly<
  Record<string, { readonly budget: OnceBudget; readonly short: boolean }>
> = {
  "no fault, three records": {
    budget: { ...NO_FAULTS, records: 3 },
    short: true,
  },
  "a refusal": { budget: { ...NO_FAULTS, refusals: 1 }, short: true },
  "a restart": { budget: { ...NO_FAULTS, restarts: 1 }, short: true },
  "a duplicate": { budget: { ...NO_FAULTS, duplicates: 1 }, short: false },
  "a restart, three records": {
    budget: { ...NO_FAULTS, restarts: 1, records: 3 },
    short: false,
  },
  "a duplicate, three records": {
    budget: { ...NO_FAULTS, duplicates: 1, records: 3 },
    short: false,
  },
  "a wait given up": { budget: { ...NO_FAULTS, timeouts: 1 }, short: false },
  "a duplicate and a refusal": {
    budget: { ...NO_FAULTS, duplicates: 1, refusals: 1 },
    short: false,
  },
  "a duplicate and a restart": {
    budget: { ...NO_FAULTS, duplicates: 1, restarts: 1 },
    short: false,
  },
};

/** Each guard of at-most-once execution, with the faults that it is for. */
export const ONCE_GUARDS: Readonly<
  Record<string, { budget: OnceBudget; guards: OnceModelGuards }>
> = {
  "compare-and-set of the key's record": {
    budget: NO_FAULTS,
    guards: { mayReplace: () => true },
  },
  "the bar": { budget: NO_FAULTS, guards: { table: { bars: false } } },
  "the incarnation check": {
    budget: { ...NO_FAULTS, duplicates: 1, restarts: 1 },
    guards: { table: { checksIncarnation: false } },
  },
  "the memory of runs": {
    budget: { ...NO_FAULTS, duplicates: 1 },
    guards: { table: { remembersRuns: false } },
  },
  "reading the own record": {
    budget: NO_FAULTS,
    guards: { trustsAppendAnswer: true },
  },
  "a bar with each refusal": {
    budget: { ...NO_FAULTS, duplicates: 1, refusals: 1 },
    guards: { refusesWithoutBar: true },
  },
  "no trust in another incarnation": {
    budget: { ...NO_FAULTS, duplicates: 1, restarts: 1 },
    guards: { trustsOtherIncarnation: true },
  },
  "the question behind a lost dispatch": {
    budget: { ...NO_FAULTS, timeouts: 1 },
    guards: { trustsLostLink: true },
  },
};

/** Searches over claims and orders that have to find nothing. */
export const ORDERS_SEARCHES: Readonly<
  Record<string, { readonly budget: OrdersBudget; readonly short: boolean }>
> = {
  "three records": {
    budget: { records: 3, restarts: 0, duplicates: 0 },
    short: true,
  },
  "three records, a restart of the side": {
    budget: { records: 3, restarts: 1, duplicates: 0 },
    short: true,
  },
  "four records": {
    budget: { records: 4, restarts: 0, duplicates: 0 },
    short: false,
  },
  "four records, a restart of the side": {
    budget: { records: 4, restarts: 1, duplicates: 0 },
    short: false,
  },
  "four records, a duplicate order": {
    budget: { records: 4, restarts: 0, duplicates: 1 },
    short: false,
  },
};

/** Each guard of claims and orders, with the size that shows its absence. */
export const ORDERS_GUARDS: Readonly<
  Record<string, { budget: OrdersBudget; guards: OrdersModelGuards }>
> = {
  "the position check of claims": {
    budget: { records: 4, restarts: 0, duplicates: 0 },
    guards: { countsEveryOrder: true },
  },
  "one outstanding order": {
    budget: { records: 3, restarts: 0, duplicates: 0 },
    guards: { sendsAtOnce: true },
  },
  "rising order numbers at the side": {
    budget: { records: 3, restarts: 0, duplicates: 0 },
    guards: { takesOlder: true },
  },
  "hearing all entries at the start": {
    budget: { records: 3, restarts: 1, duplicates: 0 },
    guards: { trustsFirstAnswer: true },
  },
};
