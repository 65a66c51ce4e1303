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
    expect(reports.hasWorkFactor(endpoint.pool)).to.equal(false);
    const withFactor = { ...report, workFactor: 2.5, sentAt: 1, receivedAt: 2 };
    reports.record(endpoint, withFactor);
    expect(reports.hasWorkFactor(endpoint.pool)).to.equal(true);
  });

  it("serves every pool by its load where capacity is scarce", () => {
    const reports = new EndpointLoadReports({ isCapacityScarce: true });
    expect(reports.hasWorkFactor(endpoint.pool)).to.equal(true);
  });

  it("drops the report of a run that is over", () => {
    const reports = new EndpointLoadReports();
    reports.record(endpoint, { ...report, sentAt: 0, receivedAt: 1 });
    reports.forget(endpoint);
    expect(reports.current(endpoint.id)).to.equal(undefined);
  });
});
