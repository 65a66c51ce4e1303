import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import { EndpointLoadReports } from "./load_reports.ts";

describe("EndpointLoadReports", () => {
  const endpoint = makeEndpoint("a");
  const report = { running: 1, waiting: 0, slots: 6 };

  // A slow response arrives after one to a later request. Its report is from
  // before, and would hide the load that has come since.
  it("keeps the newest report when responses overtake each other", () => {
    const reports = new EndpointLoadReports();
    reports.record(endpoint, { ...report, sentAt: 20, receivedAt: 30 });
    const isNewer = reports.record(endpoint, {
      ...report,
      running: 5,
      sentAt: 10,
      receivedAt: 40,
    });
    expect(isNewer).to.equal(false);
    expect(reports.current(endpoint.id)?.running).to.equal(1);
  });

  it("knows which pools report a work factor", () => {
    const reports = new EndpointLoadReports();
    reports.record(endpoint, { ...report, sentAt: 0, receivedAt: 1 });
    expect(reports.isAdaptive(endpoint.pool)).to.equal(false);
    const withFactor = { ...report, workFactor: 2.5, sentAt: 1, receivedAt: 2 };
    reports.record(endpoint, withFactor);
    expect(reports.isAdaptive(endpoint.pool)).to.equal(true);
  });

  it("serves every pool by its load where capacity is scarce", () => {
    const reports = new EndpointLoadReports({ isCapacityScarce: true });
    expect(reports.isAdaptive(endpoint.pool)).to.equal(true);
  });

  // The report of the last request before a pause would otherwise keep out all
  // newer reports of requests that were sent before it.
  it("replaces a report that is too old to be useful", () => {
    const reports = new EndpointLoadReports();
    const recordAt = (sentAt: number, receivedAt: number, workFactor: number) =>
      reports.record(endpoint, { ...report, sentAt, receivedAt, workFactor });
    for (let at = 0; at < 2_000; at += 100) {
      recordAt(at, at, at % 200 === 0 ? 1 : 3);
    }
    expect(recordAt(1_899, 1_901, 1)).to.equal(false);
    expect(recordAt(1_899, 12_000, 1)).to.equal(true);
  });

  it("expects a factor to return to 1 as its report becomes stale", () => {
    const reports = new EndpointLoadReports();
    for (let at = 0; at < 2_000; at += 100) {
      const workFactor = at % 200 === 0 ? 1 : 3;
      reports.record(endpoint, {
        ...report,
        workFactor,
        sentAt: at,
        receivedAt: at,
      });
    }
    expect(reports.predictWorkFactor(endpoint, 1_901).factor).to.equal(3);
    const later = reports.predictWorkFactor(endpoint, 2_100);
    expect(later.factor).to.be.within(1, 1.2);
    expect(later.ageMilliseconds).to.equal(200);
  });

  // The owner would get its own answers back, or the same report twice.
  it("passes on own reports once, and none of other entries", () => {
    const reports = new EndpointLoadReports();
    reports.record(endpoint, { ...report, sentAt: 0, receivedAt: 1 });
    expect(reports.unreported(endpoint.id)?.receivedAt).to.equal(1);
    reports.markReported(endpoint.id);
    expect(reports.unreported(endpoint.id)).to.equal(undefined);
    reports.record(endpoint, { ...report, sentAt: 2, receivedAt: 3 });
    reports.recordPeer(endpoint, { ...report, sentAt: 4, receivedAt: 5 });
    expect(reports.unreported(endpoint.id)).to.equal(undefined);
  });

  it("drops the report of a run that is over", () => {
    const reports = new EndpointLoadReports();
    reports.record(endpoint, { ...report, sentAt: 0, receivedAt: 1 });
    reports.forget(endpoint);
    expect(reports.current(endpoint.id)).to.equal(undefined);
  });
});
