import { expect } from "chai";
import { LogServiceStandIn } from "../../../test/stand_ins/log_service.ts";
import {
  identifier,
  type LogOffset,
  numbered,
} from "../../core/identity/mod.ts";
import type { StreamName } from "../../core/journal/mod.ts";
import { SystemTimerService } from "../time/mod.ts";
import { HttpLogService } from "./mod.ts";

const STREAM = identifier<StreamName>("orders.klang-valley");

describe("HttpLogService", () => {
  let service: LogServiceStandIn;
  let log: HttpLogService;

  beforeEach(async () => {
    service = new LogServiceStandIn({ mostRecords: 5 });
    log = connect(await service.listen());
  });

  afterEach(async () => {
    log.close();
    await service.close();
  });

  it("appends and reads in order", async () => {
    const first = await log.append(STREAM, [{ a: 1 }, { a: 2 }]);
    const second = await log.append(STREAM, [{ a: 3 }]);
    const page = await read(log, 1);
    expect(first._unsafeUnwrap()).to.equal(0);
    expect(second._unsafeUnwrap()).to.equal(2);
    expect(page._unsafeUnwrap()).to.deep.equal({
      records: [{ offset: 1, value: { a: 2 } }, { offset: 2, value: { a: 3 } }],
      oldest: 0,
      head: 3,
    });
  });

  it("holds a long poll until a record is appended", async () => {
    const pendingRead = read(log, 0, 2000);
    await log.append(STREAM, ["late"]);
    expect((await pendingRead)._unsafeUnwrap().records).to.have.length(1);
  });

  it("reports the oldest offset once records have expired", async () => {
    service.append(STREAM, [0, 1, 2, 3, 4, 5, 6]);
    const page = (await read(log, 0))._unsafeUnwrap();
    expect(page.oldest).to.equal(2);
    expect(page.records[0].offset).to.equal(2);
  });

  describe("failures", () => {
    // A refused connection proves that nothing was appended, so a caller's
    // request can be refused immediately as not run.
    it("reports a refused connection as not appended", async () => {
      await service.close();
      const appended = await log.append(STREAM, ["x"]);
      expect(appended._unsafeUnwrapErr().name).to.equal("log_unavailable");
    });

    // The record is appended and the connection fails before the response. A
    // writer that treated this as "not appended" would append it twice.
    it("reports an append without a response as unknown", async () => {
      service.faults.lostAnswers = 1;
      const appended = await log.append(STREAM, ["x"]);
      expect(appended._unsafeUnwrapErr().name).to.equal("log_unknown");
      expect(service.records(STREAM)).to.deep.equal(["x"]);
    });

    // Without a timeout the entry and its callers would wait forever for a log
    // service that does not respond.
    it("times out when the service does not respond", async () => {
      service.faults.delayMilliseconds = 2000;
      const appended = await log.append(STREAM, ["x"]);
      expect(appended._unsafeUnwrapErr().name).to.equal("log_unknown");
    });

    it("reports a call that the service rejects as not appended", async () => {
      const appended = await log.append(STREAM, []);
      expect(appended._unsafeUnwrapErr().name).to.equal("log_unavailable");
    });
  });
});

function connect(port: number): HttpLogService {
  return new HttpLogService(`http://127.0.0.1:${port}`, {
    timer: new SystemTimerService(),
    timeoutMilliseconds: 300,
  });
}

function read(log: HttpLogService, from: number, waitMilliseconds = 0) {
  return log.read(STREAM, {
    from: numbered<LogOffset>(from),
    limit: 100,
    waitMilliseconds,
  });
}
