import { expect } from "chai";
import {
  type EndpointId,
  identifier,
  type ProcessId,
} from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  type PermitAnswer,
  PermitIssuer,
  type PermitRequest,
} from "./permit_issuer.ts";

const ENDPOINT = identifier<EndpointId>("a");
/** Time after which an issuer gives out the whole limit. */
const TAKEOVER_MILLISECONDS = 2_000;

class IssuerScenario {
  readonly timer = new ManualTimerService();
  readonly issuer = new PermitIssuer(this.timer);

  ask(entry: string, values: Partial<PermitRequest> = {}): PermitAnswer {
    return this.issuer.issue(ENDPOINT, {
      entry: identifier<ProcessId>(entry),
      wanted: [[0, 1]],
      waiting: [],
      requestsPerSecond: 10,
      share: 1,
      ...values,
    });
  }

  /** Permits that one entry gets if it asks for many at each step. */
  async grantedIn(
    milliseconds: number,
    values: Partial<PermitRequest> = {},
  ): Promise<number> {
    let granted = 0;
    for (let passed = 0; passed < milliseconds; passed += 10) {
      await this.timer.advance(10);
      granted += this.ask("one", { wanted: [[0, 100]], ...values }).granted;
    }
    return granted;
  }

  /** Asks until the issuer has taken over. */
  async settle(): Promise<void> {
    await this.grantedIn(TAKEOVER_MILLISECONDS + 1_000);
  }
}

describe("PermitIssuer", () => {
  it("issues the limit, whoever asks", async () => {
    const scenario = new IssuerScenario();
    await scenario.settle();
    expect(await scenario.grantedIn(4_000)).to.be.within(39, 41);
  });

  it("issues a part of the limit if it does not reach all entries", async () => {
    const scenario = new IssuerScenario();
    await scenario.settle();
    const granted = await scenario.grantedIn(4_000, { share: 0.5 });
    expect(granted).to.be.within(19, 21);
  });

  // Guards against two issuers that give out the limit each while entries
  // disagree on which one it is.
  it("issues a part of the limit until entries agree on it", async () => {
    const scenario = new IssuerScenario();
    const granted = await scenario.grantedIn(TAKEOVER_MILLISECONDS);
    expect(granted).to.be.within(8, 10);
  });

  // Guards against an issuer that was replaced, comes back and gives out the
  // limit beside its replacement.
  it("issues a part of the limit after it was not asked for a while", async () => {
    const scenario = new IssuerScenario();
    await scenario.settle();
    await scenario.timer.advance(TAKEOVER_MILLISECONDS + 1_000);
    const granted = await scenario.grantedIn(TAKEOVER_MILLISECONDS);
    expect(granted).to.be.within(9, 12);
  });

  // Guards against a burst after a pause, such as a suspended VM.
  it("does not accumulate permits without bound", async () => {
    const scenario = new IssuerScenario();
    await scenario.settle();
    await scenario.timer.advance(60_000);
    expect(scenario.ask("one", { wanted: [[0, 100]] }).granted)
      .to.be.at.most(2);
  });

  it("issues few permits at a limit of 0, but some", async () => {
    const scenario = new IssuerScenario();
    const limit = { requestsPerSecond: 0 };
    expect(await scenario.grantedIn(20_000, limit)).to.be.within(3, 5);
  });

  it("grants permits to the most urgent requests first", async () => {
    const scenario = new IssuerScenario();
    await scenario.settle();
    await scenario.timer.advance(100);
    const wanted = [[3, 5], [0, 5]] as const;
    expect(scenario.ask("one", { wanted }).granted).to.equal(1);
    const urgent = scenario.ask("two", { wanted: [[0, 1]], waiting: [[0, 1]] });
    expect(urgent.granted).to.equal(0);
    await scenario.timer.advance(95);
    expect(scenario.ask("one", { wanted: [[3, 1]] }).granted).to.equal(0);
    expect(scenario.ask("two", { wanted: [[0, 1]] }).granted).to.equal(1);
  });

  it("does not keep permits for demand that has not come back", async () => {
    const scenario = new IssuerScenario();
    await scenario.settle();
    scenario.ask("two", { wanted: [[0, 1]], waiting: [[0, 1]] });
    await scenario.timer.advance(2_000);
    expect(scenario.ask("one", { wanted: [[3, 1]] }).granted).to.equal(1);
  });

  it("lets an entry with more waiting requests expect more", async () => {
    const scenario = new IssuerScenario();
    await scenario.settle();
    const busy = scenario.ask("one", { waiting: [[0, 9]] });
    const quiet = scenario.ask("two", { waiting: [[0, 1]] });
    expect(quiet.expectedPerSecond).to.be.closeTo(1, 0.01);
    expect(busy.expectedPerSecond).to.be.above(5);
    expect(quiet.retryMilliseconds).to.be.above(busy.retryMilliseconds);
  });

  it("discards the permits of a run that is over", async () => {
    const scenario = new IssuerScenario();
    await scenario.settle();
    await scenario.timer.advance(1_000);
    scenario.issuer.forget({ id: ENDPOINT });
    expect(scenario.ask("one").granted).to.equal(0);
  });
});
