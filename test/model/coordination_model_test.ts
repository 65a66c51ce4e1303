import { expect } from "chai";
import type { OrdersGuards } from "../../src/core/authority/mod.ts";
import type { ConfigurationGuards } from "../../src/core/configuration/mod.ts";
import { configurationModel } from "./configuration_model.ts";
import { claimsModel } from "./claims_model.ts";
import { search } from "./search.ts";

const MOST_STATES = 400_000;
const ORDERS_RECORDS = 6;
const CONFIGURATION_RECORDS = 6;

describe("search over claims and orders", function () {
  this.timeout(60_000);

  // Planners are paused and woken at every possible moment, and every append
  // lands at every possible moment, once or twice. No engine may get an order
  // of a planner that had been replaced where its record stands.
  it("finds nothing", () => {
    const found = search(claimsModel({ records: ORDERS_RECORDS }), {
      mostStates: MOST_STATES,
    });
    expect(found.violation).to.equal(undefined);
    expect(found.exhausted).to.equal(true);
  });

  const guards: readonly (keyof OrdersGuards)[] = [
    "replacesInForce",
    "checksClaim",
    "checksNumber",
  ];
  for (const guard of guards) {
    it(`finds a violation without ${guard}`, () => {
      const model = claimsModel({
        records: ORDERS_RECORDS,
        guards: { [guard]: false },
      });
      const found = search(model, { mostStates: MOST_STATES });
      expect(found.violation?.trace).to.be.an("array").that.is.not.empty;
    });
  }
});

describe("search over publications and verdicts", function () {
  this.timeout(60_000);

  // Two operators race, the judges take the claim from each other in the
  // middle of a verdict, and every append lands at every possible moment. No
  // version may revert another or come from a judge without the claim.
  it("finds nothing", () => {
    const found = search(
      configurationModel({ records: CONFIGURATION_RECORDS }),
      { mostStates: MOST_STATES },
    );
    expect(found.violation).to.equal(undefined);
    expect(found.exhausted).to.equal(true);
  });

  const guards: readonly (keyof ConfigurationGuards)[] = [
    "replacesInForce",
    "checksClaim",
    "checksBase",
    "dropsRepeats",
  ];
  for (const guard of guards) {
    it(`finds a violation without ${guard}`, () => {
      const model = configurationModel({
        records: CONFIGURATION_RECORDS,
        guards: { [guard]: false },
      });
      const found = search(model, { mostStates: MOST_STATES });
      expect(found.violation?.trace).to.be.an("array").that.is.not.empty;
    });
  }
});
