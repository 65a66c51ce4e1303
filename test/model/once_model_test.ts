import { expect } from "chai";
import { onceModel } from "./once_model.ts";
import { search } from "./search.ts";
import { ONCE_GUARDS, ONCE_SEARCHES } from "./searches.ts";

const MOST_STATES = 100_000;

describe("search over at-most-once execution", () => {
  for (const [name, { budget, short }] of Object.entries(ONCE_SEARCHES)) {
    if (!short) continue;
    it(`finds nothing with ${name}`, () => {
      // Two requests with one key at two entries, over every order in which
      // reads, appends, questions, dispatches and frames can come.
      const found = search(onceModel(budget), { mostStates: MOST_STATES });
      expect(found.violation).to.equal(undefined);
      expect(found.exhausted).to.equal(true);
    });
  }

  for (const [name, { budget, guards }] of Object.entries(ONCE_GUARDS)) {
    it(`finds a violation without ${name}`, () => {
      // A search that can't see what a guard prevents proves nothing.
      const model = onceModel(budget, guards);
      const found = search(model, { mostStates: MOST_STATES });
      expect(found.violation?.trace).to.be.an("array").that.is.not.empty;
    });
  }
});
