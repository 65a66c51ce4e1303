import { expect } from "chai";
import type { OrdersGuards } from "../../src/core/authority/mod.ts";
import type { ConfigurationGuards } from "../../src/core/configuration/mod.ts";
import { createConfigurationModel } from "./configuration_model.ts";
import { createClaimsModel } from "./claims_model.ts";
import { searchStates } from "./state_search.ts";

const MAX_STATES = 400_000;
const MAX_ORDERS_RECORDS = 6;
const MAX_CONFIGURATION_RECORDS = 6;

describe("search over claims and orders", function () {
  this.timeout(60_000);

  // Planners pause and resume at every step, and every append takes effect at
  // every later step, once or twice. No engine may get an order of a planner
  // whose claim had been replaced at the order's offset.
  it("finds no violation", () => {
    const found = searchStates(
      createClaimsModel({ maxRecords: MAX_ORDERS_RECORDS }),
      {
        maxStates: MAX_STATES,
      },
    );
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
      const model = createClaimsModel({
        maxRecords: MAX_ORDERS_RECORDS,
        guards: { [guard]: false },
      });
      const found = searchStates(model, { maxStates: MAX_STATES });
      expect(found.violation?.trace).to.be.an("array").that.is.not.empty;
    });
  }
});

describe("search over publications and verdicts", function () {
  this.timeout(60_000);

  // Two operators publish concurrently, the judges take over the claim from
  // each other before a verdict is appended, and every append takes effect at
  // every later step. No version may revert another or come from a judge
  // without the claim.
  it("finds no violation", () => {
    const found = searchStates(
      createConfigurationModel({ maxRecords: MAX_CONFIGURATION_RECORDS }),
      { maxStates: MAX_STATES },
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
      const model = createConfigurationModel({
        maxRecords: MAX_CONFIGURATION_RECORDS,
        guards: { [guard]: false },
      });
      const found = searchStates(model, { maxStates: MAX_STATES });
      expect(found.violation?.trace).to.be.an("array").that.is.not.empty;
    });
  }
});
