import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { LinkBacklog } from "../mod.ts";

describe("LinkBacklog", () => {
  let timer: ManualTimerService;

  beforeEach(() => {
    timer = new ManualTimerService();
  });

  // Eight requests of 10 KB arrive at once at an entry with 8 Mbit/s, of which
  // 80% are usable: the last one leaves after 100 ms.
  it("accumulates the backlog until it has drained", async () => {
    const link = new LinkBacklog(timer, 8);
    for (let count = 0; count < 8; count++) link.recordSent(10_000);
    expect(link.waitMilliseconds).to.equal(100);
    await timer.advance(60);
    expect(link.waitMilliseconds).to.equal(40);
    await timer.advance(60);
    expect(link.waitMilliseconds).to.equal(0);
  });

  it("accumulates no credit while the link is idle", async () => {
    const link = new LinkBacklog(timer, 8);
    await timer.advance(10_000);
    link.recordSent(8_000);
    expect(link.waitMilliseconds).to.equal(10);
  });

  it("has no backlog where the link speed is unknown", () => {
    const link = new LinkBacklog(timer, undefined);
    link.recordSent(1e9);
    expect(link.waitMilliseconds).to.equal(0);
  });
});
