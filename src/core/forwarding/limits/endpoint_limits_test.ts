import { expect } from "chai";
import { type EndpointId, identifier } from "../../identity/mod.ts";
import { EndpointLimits, type LimitObservation } from "./endpoint_limits.ts";

const ENDPOINT = identifier<EndpointId>("a");

function observation(
  requestsPerSecond: number | undefined,
  [sentAt, receivedAt]: readonly [number, number],
): LimitObservation {
  return { requestsPerSecond, sentAt, receivedAt };
}

/** Records the observations in order and returns the limit in force. */
function limitAfter(
  ...observations: readonly LimitObservation[]
): number | undefined {
  const limits = new EndpointLimits();
  for (const each of observations) limits.record(ENDPOINT, each);
  return limits.requestsPerSecond(ENDPOINT);
}

describe("EndpointLimits", () => {
  it("keeps a limit until a later response names none", () => {
    const named = observation(10, [0, 5]);
    expect(limitAfter(named)).to.equal(10);
    expect(limitAfter(named, observation(undefined, [6, 9]))).to.equal(
      undefined,
    );
  });

  it("follows a limit that rises and falls", () => {
    const rise = [observation(10, [0, 5]), observation(20, [5, 9])];
    expect(limitAfter(...rise)).to.equal(20);
    expect(limitAfter(...rise, observation(4, [9, 12]))).to.equal(4);
  });

  it("distinguishes a limit of 0 from none", () => {
    expect(limitAfter(observation(0, [0, 5]))).to.equal(0);
  });

  describe("with responses that overtake each other", () => {
    it("ignores one that was written before the last one was requested", () => {
      const current = observation(20, [50, 60]);
      expect(limitAfter(current, observation(5, [0, 40]))).to.equal(20);
      expect(limitAfter(current, observation(undefined, [0, 50]))).to.equal(20);
    });

    it("keeps the stricter limit if their order is unknown", () => {
      const strict = observation(5, [0, 50]);
      const lax = observation(20, [10, 60]);
      const none = observation(undefined, [10, 60]);
      expect(limitAfter(strict, lax)).to.equal(5);
      expect(limitAfter(lax, strict)).to.equal(5);
      expect(limitAfter(strict, none)).to.equal(5);
    });
  });

  it("does not apply the limit of a previous run", () => {
    const limits = new EndpointLimits();
    limits.record(ENDPOINT, observation(10, [0, 5]));
    limits.forget({ id: ENDPOINT });
    expect(limits.requestsPerSecond(ENDPOINT)).to.equal(undefined);
    expect(limits.size).to.equal(0);
  });

  describe("for peers", () => {
    it("reports a limit once, and again after a change of a tenth", () => {
      const limits = new EndpointLimits();
      limits.record(ENDPOINT, observation(10, [0, 1]));
      expect([...limits.takeUnreported().keys()]).to.deep.equal([ENDPOINT]);
      limits.record(ENDPOINT, observation(10.5, [1, 2]));
      expect(limits.hasUnreported).to.equal(false);
      limits.record(ENDPOINT, observation(12, [2, 3]));
      expect(limits.hasUnreported).to.equal(true);
    });

    it("does not report what a peer has reported", () => {
      const limits = new EndpointLimits();
      limits.recordPeer(ENDPOINT, observation(10, [0, 1]));
      limits.record(ENDPOINT, observation(10, [1, 2]));
      expect(limits.hasUnreported).to.equal(false);
    });

    // Guards against entries that disagree on a limit for good.
    it("contradicts an older report of a peer", () => {
      const limits = new EndpointLimits();
      limits.record(ENDPOINT, observation(20, [50, 60]));
      limits.takeUnreported();
      limits.recordPeer(ENDPOINT, observation(5, [0, 40]));
      expect(limits.takeUnreported().get(ENDPOINT)?.requestsPerSecond)
        .to.equal(20);
    });
  });

  it("reports changes only", () => {
    const limits = new EndpointLimits();
    const record = (
      limit: number | undefined,
      span: readonly [number, number],
    ) => limits.record(ENDPOINT, observation(limit, span));
    expect(record(undefined, [0, 1])).to.equal(undefined);
    expect(record(10, [1, 2])).to.deep.equal({ before: undefined, after: 10 });
    expect(record(10, [2, 3])).to.equal(undefined);
    expect(record(undefined, [3, 4])).to.deep.equal({
      before: 10,
      after: undefined,
    });
  });
});
