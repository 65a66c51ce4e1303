import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import { identifier, type ProcessId } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { EndpointAvailability, FleetVerdicts } from "../mod.ts";

describe("FleetVerdicts", () => {
  const endpoints = Array.from(
    { length: 7 },
    (_, index) => makeEndpoint(`replica-${index}`),
  );
  const [first] = endpoints;
  const owner = identifier<ProcessId>("owner");
  let timer: ManualTimerService;
  let verdicts: FleetVerdicts;

  beforeEach(() => {
    timer = new ManualTimerService();
    verdicts = new FleetVerdicts(timer);
  });

  function takeOut(index: number, failureRate = 0.4): void {
    const verdict = { owner, validMilliseconds: 2_000, failureRate };
    verdicts.apply(endpoints[index].id, verdict);
  }

  const excluded = () => {
    const admitted = verdicts.filterAdmitted(endpoints);
    return endpoints.flatMap((each, index) =>
      admitted.includes(each) ? [] : [index]
    );
  };

  // Owners judge at the same time without knowing of each other.
  it("takes out at most a third, those that fail most", () => {
    [0.5, 0.4, 0.9, 0.3, 0.8].forEach((rate, index) => takeOut(index, rate));
    expect(excluded()).to.deep.equal([2, 4]);
  });

  it("takes out none of two endpoints", () => {
    takeOut(0);
    expect(verdicts.filterAdmitted(endpoints.slice(0, 2))).to.have.length(2);
  });

  // The owner dies. Its endpoints must not stay out of use.
  it("drops a verdict after its time", async () => {
    takeOut(0);
    await timer.advance(1_999);
    expect(excluded()).to.deep.equal([0]);
    await timer.advance(1);
    expect(excluded()).to.deep.equal([]);
    expect(verdicts.size).to.equal(0);
  });

  it("lets only the owner of a verdict end it", () => {
    takeOut(0);
    const end = { validMilliseconds: 0, failureRate: 0 };
    const other = identifier<ProcessId>("other");
    verdicts.apply(first.id, { ...end, owner: other });
    expect(excluded()).to.deep.equal([0]);
    verdicts.apply(first.id, { ...end, owner });
    expect(excluded()).to.deep.equal([]);
  });

  describe("with the entry's own judgement", () => {
    let isJudged: boolean;
    let availability: EndpointAvailability;

    beforeEach(() => {
      availability = new EndpointAvailability(timer, {
        verdicts,
        isJudged: () => isJudged,
      });
    });

    function healthyCount(): number {
      return availability.filterHealthy(endpoints).length;
    }

    // By its own few attempts the entry would take out replicas at which a kind
    // of request failed by chance, beyond the fleet's bound.
    it("replaces it while the owner judges, and not otherwise", () => {
      for (let count = 0; count < 20; count++) availability.failed(first.id);
      isJudged = true;
      expect(healthyCount()).to.equal(7);
      isJudged = false;
      expect(healthyCount()).to.equal(6);
    });

    it("applies to endpoints that the entry has not used", () => {
      takeOut(3);
      expect(healthyCount()).to.equal(6);
    });
  });
});
