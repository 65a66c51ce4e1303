import { type OnceBudget, type OnceModelGuards } from "./once_model.ts";

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
