import { expect } from "chai";
import { ordersModel } from "./orders_model.ts";
import { search } from "./search.ts";
import { ORDERS_GUARDS, ORDERS_SEARCHES } from "./searches.ts";

const MOST_STATES = 100_000;

describe("search over claims and orders", () => {
  for (const [name, { budget, short }] of Object.entries(ORDERS_SEARCHES)) {
    if (!short) continue;
    it(`finds nothing with ${name}`, () => {
      // Two entries claim and give orders, over every order in which records
      // land and are read, the side hears, and orders reach the engine.
      const found = search(ordersModel(budget), { mostStates: MOST_STATES });
      expect(found.violation).to.equal(undefined);
      expect(found.exhausted).to.equal(true);
    });
  }

  for (const [name, { budget, guards }] of Object.entries(ORDERS_GUARDS)) {
    it(`finds a violation without ${name}`, () => {
      // A search that can't see what a guard prevents proves nothing.
      const model = ordersModel(budget, guards);
      const found = search(model, { mostStates: MOST_STATES });
      expect(found.violation?.trace).to.be.an("array").that.is.not.empty;
    });
  }
});
