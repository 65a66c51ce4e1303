import { expect } from "chai";
import { createOrdersModel } from "./orders_model.ts";
import { searchStates } from "./state_search.ts";
import { ORDERS_GUARDS, ORDERS_SEARCHES } from "./search_cases.ts";

const MAX_STATES = 100_000;

describe("search over claims and orders", () => {
  for (
    const [name, { budget, runsInTests }] of Object.entries(ORDERS_SEARCHES)
  ) {
    if (!runsInTests) continue;
    it(`finds no violation with ${name}`, () => {
      // Two entries claim and issue orders, over every order in which records
      // are appended and read, the side is updated and orders reach the engine.
      const found = searchStates(createOrdersModel(budget), {
        maxStates: MAX_STATES,
      });
      expect(found.violation).to.equal(undefined);
      expect(found.exhausted).to.equal(true);
    });
  }

  for (const [name, { budget, guards }] of Object.entries(ORDERS_GUARDS)) {
    it(`finds a violation without ${name}`, () => {
      // A search that misses the violation that a guard prevents would also
      // pass without the guard.
      const model = createOrdersModel(budget, guards);
      const found = searchStates(model, { maxStates: MAX_STATES });
      expect(found.violation?.trace).to.be.an("array").that.is.not.empty;
    });
  }
});
