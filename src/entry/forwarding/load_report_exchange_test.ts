import { expect } from "chai";
import {
  makeEndpoint,
  makeEngine,
} from "../../../test/support/forwarding_fixtures.ts";
import {
  EndpointLoadReports,
  EndpointRegistry,
} from "../../core/forwarding/mod.ts";
import { numbered, type ReplicaStartTime } from "../../core/identity/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { LoadReportExchange } from "./load_report_exchange.ts";
import {
  isWorkRows,
  type WorkRowWithRun,
} from "./notifications/work_notification.ts";

const RUN = numbered<ReplicaStartTime>(5);
const NEXT_RUN = numbered<ReplicaStartTime>(6);
const REPLICA = makeEndpoint("a", { startedAt: RUN });
const ENGINE = makeEngine("engine", "decode", { startedAt: RUN });
const ROW: WorkRowWithRun = [REPLICA.id, 3, 0, 0, RUN];
const ENTRIES = 20;

describe("LoadReportExchange", () => {
  let timer: ManualTimerService;
  let registry: EndpointRegistry;
  let reports: EndpointLoadReports;
  let exchange: LoadReportExchange;

  beforeEach(async () => {
    timer = new ManualTimerService();
    await timer.advance(10_000);
    registry = new EndpointRegistry({ timer });
    for (const each of [REPLICA, ENGINE]) registry.upsert(each);
    reports = new EndpointLoadReports();
    exchange = new LoadReportExchange({
      timer,
      registry,
      loadReports: reports,
      entries: () => ENTRIES,
    });
  });

  function record(endpoint = REPLICA): void {
    const now = timer.now();
    reports.record(endpoint, {
      running: 4,
      waiting: 1,
      slots: 6,
      workFactor: 2.5,
      sentAt: now - 40,
      receivedAt: now - 2,
    });
  }

  /** Applies a row as it arrives, and returns what is known then. */
  function receive(row: unknown): unknown {
    const rows: unknown = JSON.parse(JSON.stringify([row]));
    if (isWorkRows(rows)) exchange.apply(rows);
    return reports.current(REPLICA.id);
  }

  it("passes a report on with its ages and leaves the row unchanged", () => {
    record();
    const known = reports.current(REPLICA.id);
    const [row] = exchange.addToUpdate([ROW]);
    expect(row).to.deep.equal([...ROW, [4, 1, 6, 250, 40, 2]]);
    reports.forget(REPLICA);
    expect(receive(row)).to.deep.equal(known);
  });

  // With the size of the fleet, the owner would get more and more reports.
  it("limits the reports that an owner gets from the whole fleet", async () => {
    let sent = 0;
    for (let count = 0; count < 1_000; count++) {
      record();
      sent += exchange.addToUpdate([ROW])[0].length > ROW.length ? 1 : 0;
      await timer.advance(10);
    }
    expect(sent).to.equal(10_000 / (100 * ENTRIES));
  });

  it("answers with the newest report, whoever received it", () => {
    record();
    exchange.addToUpdate([ROW]);
    expect(exchange.addToAnswer([ROW])[0]).to.have.length(ROW.length + 1);
  });

  it("adds nothing for engines and for pools without work factors", () => {
    record(ENGINE);
    const row: WorkRowWithRun = [ENGINE.id, 1, 2, 3, RUN];
    expect(exchange.addToAnswer([row])[0]).to.equal(row);
    const report = { running: 1, waiting: 0, slots: 6 };
    reports.record(REPLICA, { ...report, sentAt: 0, receivedAt: 1 });
    expect(exchange.addToUpdate([ROW])[0]).to.equal(ROW);
    expect(exchange.addToAnswer([ROW])[0]).to.equal(ROW);
  });

  describe("ignores", () => {
    const valid = [4, 1, 6, 250, 40, 2];
    const ignored: Record<string, unknown> = {
      "rows of entries without reports": ROW,
      "a report of another run": [REPLICA.id, 3, 0, 0, NEXT_RUN, valid],
      "a report without a run": [REPLICA.id, 3, 0, 0, null, valid],
      "an unknown endpoint": ["other", 3, 0, 0, RUN, valid],
      "a short report": [...ROW, valid.slice(1)],
      "a negative figure": [...ROW, [4, 1, 6, 250, -40, 2]],
      "no slots": [...ROW, [4, 1, 0, 250, 40, 2]],
      "a text": [...ROW, "4,1,6,250,40,2"],
      "a figure that is a text": [...ROW, ["4", 1, 6, 250, 40, 2]],
    };
    for (const [what, row] of Object.entries(ignored)) {
      it(what, () => expect(receive(row)).to.equal(undefined));
    }
  });
});
