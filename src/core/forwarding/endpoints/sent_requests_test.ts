import { expect } from "chai";
import { type EndpointId, identifier } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { SentRequests } from "./sent_requests.ts";

const ENDPOINT = identifier<EndpointId>("a");

describe("SentRequests", () => {
  let timer: ManualTimerService;
  let sent: SentRequests;

  beforeEach(() => {
    timer = new ManualTimerService();
    sent = new SentRequests(timer);
  });

  // Without the correction, all requests of a burst go to the replica that
  // last reported to be idle.
  it("counts what was sent and what has ended since a report", async () => {
    const early = sent.started(ENDPOINT);
    sent.started(ENDPOINT);
    await timer.advance(10);
    const reportAt = timer.now();
    await timer.advance(1);
    early.end();
    expect(sent.changeSince(ENDPOINT, reportAt)).to.equal(-1);
    sent.started(ENDPOINT);
    sent.started(ENDPOINT).end();
    expect(sent.changeSince(ENDPOINT, reportAt)).to.equal(0);
  });

  it("knows the age of the oldest request without a response", async () => {
    expect(sent.oldestAgeMilliseconds(ENDPOINT)).to.equal(0);
    const first = sent.started(ENDPOINT);
    await timer.advance(10);
    sent.started(ENDPOINT);
    await timer.advance(5);
    expect(sent.oldestAgeMilliseconds(ENDPOINT)).to.equal(15);
    first.end();
    expect(sent.oldestAgeMilliseconds(ENDPOINT)).to.equal(5);
  });

  it("counts nothing of a run that is over", async () => {
    const before = sent.started(ENDPOINT);
    await timer.advance(10);
    sent.forget({ id: ENDPOINT });
    before.end();
    expect(sent.changeSince(ENDPOINT, 5)).to.equal(0);
    expect(sent.oldestAgeMilliseconds(ENDPOINT)).to.equal(0);
  });
});
