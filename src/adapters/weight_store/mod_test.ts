import { expect } from "chai";
import { WeightStoreStandIn } from "../../../test/stand_ins/weight_store.ts";
import { SystemTimerService } from "../time/mod.ts";
import { HttpWeightStore } from "./mod.ts";

describe("HttpWeightStore", () => {
  let standIn: WeightStoreStandIn;
  let store: HttpWeightStore;

  beforeEach(async () => {
    standIn = new WeightStoreStandIn({
      requestsPerSecond: 2,
      versions: { "triage-llm": ["v1", "v2"] },
    });
    const url = `http://127.0.0.1:${await standIn.listen()}`;
    store = new HttpWeightStore(url, { timer: new SystemTimerService() });
  });

  afterEach(async () => {
    store.close();
    await standIn.close();
  });

  it("returns the versions of a model", async () => {
    const versions = await store.versions("triage-llm");
    expect(versions._unsafeUnwrap()).to.deep.equal(["v1", "v2"]);
    const none = await store.versions("none");
    expect(none._unsafeUnwrapErr().name).to.equal("model_unknown");
  });

  // Checking a large inventory exceeds the store's rate limit. Without retries
  // the check would report existing weights as missing.
  it("retries when the store's rate limit is exhausted", async () => {
    const results = await Promise.all(
      [1, 2, 3].map(() => store.versions("triage-llm")),
    );
    expect(results.every((result) => result.isOk())).to.equal(true);
    expect(standIn.refused).to.equal(1);
  });
});
