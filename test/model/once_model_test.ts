import { expect } from "chai";
import { createOnceModel } from "./once_model.ts";
import { searchStates } from "./state_search.ts";
import { ONCE_GUARDS, ONCE_SEARCHES } from "./search_cases.ts";

const MAX_STATES = 100_000;

describe("search over at-most-once execution", () => {
  for (const [name, { budget, runsInTests }] of Object.entries(ONCE_SEARCHES)) {
    if (!runsInTests) continue;
    it(`finds no violation with ${name}`, () => {
      // Two requests with the same key at two entries, over every order of
      // reads, appends, questions, dispatches and frames.
      const found = searchStates(createOnceModel(budget), {
        maxStates: MAX_STATES,
      });
      expect(found.violation).to.equal(undefined);
      expect(found.exhausted).to.equal(true);
    });
  }

  for (const [name, { budget, guards }] of Object.entries(ONCE_GUARDS)) {
    it(`finds a violation without ${name}`, () => {
      // A search that misses the violation that a guard prevents would also
      // pass without the guard.
      const model = createOnceModel(budget, guards);
      const found = searchStates(model, { maxStates: MAX_STATES });
      expect(found.violation?.trace).to.be.an("array").that.is.not.empty;
    });
  }
});
