import { expect } from "chai";
import { identifier, type PartDigest } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { TrialIssuer } from "./trial_issuer.ts";

const PART = identifier<PartDigest>("part");

describe("TrialIssuer", () => {
  let timer: ManualTimerService;
  let issuer: TrialIssuer;

  beforeEach(() => {
    timer = new ManualTimerService();
    issuer = new TrialIssuer(timer);
  });

  it("grants a trial to one holder at a time", () => {
    expect(issuer.request(PART, "one")).to.equal(true);
    expect(issuer.request(PART, "other")).to.equal(false);
    issuer.end(PART, "other");
    expect(issuer.request(PART, "other")).to.equal(false);
    issuer.end(PART, "one");
    expect(issuer.request(PART, "other")).to.equal(true);
  });

  // The end of a trial is not reported if its entry is killed.
  it("grants a trial again whose end was never reported", async () => {
    issuer.request(PART, "one");
    await timer.advance(3_000);
    expect(issuer.size).to.equal(0);
    expect(issuer.request(PART, "other")).to.equal(true);
  });
});
