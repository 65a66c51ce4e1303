import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { LinkQueue } from "../mod.ts";

describe("LinkQueue", () => {
  let timer: ManualTimerService;

  beforeEach(() => {
    timer = new ManualTimerService();
  });

  // Eight requests of 10 KB come at once to an entry with 8 Mbit/s, of which
  // it may use four fifths: the last one leaves 100 ms later.
  it("adds up what was sent until it has left", async () => {
    const link = new LinkQueue(timer, 8);
    for (let count = 0; count < 8; count++) link.sent(10_000);
    expect(link.waitMilliseconds).to.equal(100);
    await timer.advance(60);
    expect(link.waitMilliseconds).to.equal(40);
    await timer.advance(60);
    expect(link.waitMilliseconds).to.equal(0);
  });

  it("saves up nothing while it stands idle", async () => {
    const link = new LinkQueue(timer, 8);
    await timer.advance(10_000);
    link.sent(8_000);
    expect(link.waitMilliseconds).to.equal(10);
  });

  it("never fills where no speed is known", () => {
    const link = new LinkQueue(timer, undefined);
    link.sent(1e9);
    expect(link.waitMilliseconds).to.equal(0);
  });
});
