import type { OnceFaultBudget, OnceModelGuards } from "./once_model.ts";
import type { OrdersBudget, OrdersModelGuards } from "./orders_model.ts";

const NO_FAULTS: OnceFaultBudget = {
  duplicates: 0,
  restarts: 0,
  refusals: 0,
  timeouts: 0,
  maxRecords: 2,
};

/**
 * Searches over at-most-once execution that must find no violation. CI runs the
 * short ones, marked `runsInTests`.
 */
export const ONCE_SEARCHES: Readonly<
  Record<
    string,
    { readonly budget: OnceFaultBudget; readonly runsInTests: boolean }
  >
> = {
  "no fault, three records": {
    budget: { ...NO_FAULTS, maxRecords: 3 },
    runsInTests: true,
  },
  "a refusal": { budget: { ...NO_FAULTS, refusals: 1 }, runsInTests: true },
  "a restart": { budget: { ...NO_FAULTS, restarts: 1 }, runsInTests: true },
  "a duplicate": {
    budget: { ...NO_FAULTS, duplicates: 1 },
    runsInTests: false,
  },
  "a restart, three records": {
    budget: { ...NO_FAULTS, restarts: 1, maxRecords: 3 },
    runsInTests: false,
  },
  "a duplicate, three records": {
    budget: { ...NO_FAULTS, duplicates: 1, maxRecords: 3 },
    runsInTests: false,
  },
  "a timeout": { budget: { ...NO_FAULTS, timeouts: 1 }, runsInTests: false },
  "a duplicate and a refusal": {
    budget: { ...NO_FAULTS, duplicates: 1, refusals: 1 },
    runsInTests: false,
  },
  "a duplicate and a restart": {
    budget: { ...NO_FAULTS, duplicates: 1, restarts: 1 },
    runsInTests: false,
  },
};

/** Guards of at-most-once execution, each with the faults that require it. */
export const ONCE_GUARDS: Readonly<
  Record<string, { budget: OnceFaultBudget; guards: OnceModelGuards }>
> = {
  "compare-and-set of the key's record": {
    budget: NO_FAULTS,
    guards: { mayReplace: () => true },
  },
  "barring": { budget: NO_FAULTS, guards: { table: { bars: false } } },
  "the incarnation check": {
    budget: { ...NO_FAULTS, duplicates: 1, restarts: 1 },
    guards: { table: { checksIncarnation: false } },
  },
  "the record of started runs": {
    budget: { ...NO_FAULTS, duplicates: 1 },
    guards: { table: { remembersRuns: false } },
  },
  "reading the appended record": {
    budget: NO_FAULTS,
    guards: { trustsAppendAnswer: true },
  },
  "barring on each refusal": {
    budget: { ...NO_FAULTS, duplicates: 1, refusals: 1 },
    guards: { refusesWithoutBar: true },
  },
  "rejecting refusals of other incarnations": {
    budget: { ...NO_FAULTS, duplicates: 1, restarts: 1 },
    guards: { trustsOtherIncarnation: true },
  },
  "the question after a lost dispatch": {
    budget: { ...NO_FAULTS, timeouts: 1 },
    guards: { trustsLostLink: true },
  },
};

/**
 * Searches over claims and orders that must find no violation. CI runs the
 * short ones, marked `runsInTests`.
 */
export const ORDERS_SEARCHES: Readonly<
  Record<
    string,
    { readonly budget: OrdersBudget; readonly runsInTests: boolean }
  >
> = {
  "three records": {
    budget: { maxRecords: 3, restarts: 0, duplicates: 0 },
    runsInTests: true,
  },
  "three records, a restart of the side": {
    budget: { maxRecords: 3, restarts: 1, duplicates: 0 },
    runsInTests: true,
  },
  "four records": {
    budget: { maxRecords: 4, restarts: 0, duplicates: 0 },
    runsInTests: false,
  },
  "four records, a restart of the side": {
    budget: { maxRecords: 4, restarts: 1, duplicates: 0 },
    runsInTests: false,
  },
  "four records, a duplicate order": {
    budget: { maxRecords: 4, restarts: 0, duplicates: 1 },
    runsInTests: false,
  },
};

/** Guards of claims and orders, each with a budget that requires it. */
export const ORDERS_GUARDS: Readonly<
  Record<string, { budget: OrdersBudget; guards: OrdersModelGuards }>
> = {
  "the claim check at the record's offset": {
    budget: { maxRecords: 4, restarts: 0, duplicates: 0 },
    guards: { acceptsInvalidOrders: true },
  },
  "a single outstanding order": {
    budget: { maxRecords: 3, restarts: 0, duplicates: 0 },
    guards: { allowsConcurrentOrders: true },
  },
  "increasing order offsets at the side": {
    budget: { maxRecords: 3, restarts: 0, duplicates: 0 },
    guards: { acceptsOlderOrders: true },
  },
  "waiting for all entries at startup": {
    budget: { maxRecords: 3, restarts: 1, duplicates: 0 },
    guards: { acceptsFirstEntry: true },
  },
};
