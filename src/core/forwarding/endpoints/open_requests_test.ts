import { expect } from "chai";
import { type EndpointId, identifier } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { FleetLoad } from "./fleet_load.ts";
import { OpenRequests } from "./open_requests.ts";

const ENDPOINT = identifier<EndpointId>("a");
const REPORT_MILLISECONDS = 150;

describe("OpenRequests", () => {
  let timer: ManualTimerService;
  let load: FleetLoad;
  let isLoadStale: boolean;
  let open: OpenRequests;
  let sequence: number;

  beforeEach(() => {
    timer = new ManualTimerService();
    load = new FleetLoad(timer);
    isLoadStale = true;
    sequence = 0;
    open = new OpenRequests({ timer, load, isLoadStale: () => isLoadStale });
  });

  function reportOthers(requests: number): void {
    load.applyPeerReport("peer", {
      incarnation: "1",
      sequence: ++sequence,
      whole: true,
      work: [[ENDPOINT, requests, 0, 0]],
    });
  }

  // All entries would send their requests to the replica that was idle at the
  // time of the last report, until the next one.
  it("uses the mean of other entries' requests while reports are late", async () => {
    for (let count = 0; count < 100; count++) {
      reportOthers(count % 2 === 0 ? 0 : 8);
      open.at(ENDPOINT);
      await timer.advance(REPORT_MILLISECONDS);
    }
    load.started(ENDPOINT);
    expect(open.at(ENDPOINT)).to.be.within(4, 6);
    reportOthers(0);
    expect(open.at(ENDPOINT)).to.be.within(4, 6);
  });

  it("uses the present figure where it is known", () => {
    reportOthers(8);
    open.at(ENDPOINT);
    reportOthers(2);
    expect(open.at(ENDPOINT)).to.equal(8);
    load.recordOwnerReport(ENDPOINT, {
      requests: 3,
      prefillMilliseconds: 0,
      tokens: 0,
    });
    expect(open.at(ENDPOINT)).to.equal(3);
    load.forget({ id: ENDPOINT });
    reportOthers(2);
    isLoadStale = false;
    expect(open.at(ENDPOINT)).to.equal(2);
  });
});
