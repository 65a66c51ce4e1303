import { expect } from "chai";
import { makeEngine } from "../../../../test/support/forwarding_values.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { RoleDemand } from "./role_demand.ts";

describe("RoleDemand", () => {
  let timer: ManualTimerService;
  let demand: RoleDemand;

  beforeEach(() => {
    timer = new ManualTimerService();
    demand = new RoleDemand(timer);
  });

  /** Ten engines of 32 slots, looked at for so long. */
  async function use(options: {
    readonly decoding: number;
    readonly openEach: number;
    readonly backlog?: number;
    readonly seconds?: number;
  }): Promise<void> {
    const { backlog = 0, decoding, openEach, seconds = 20 } = options;
    const engines = Array.from(
      { length: 10 },
      (_, index) =>
        makeEngine(`${index}`, index < decoding ? "decode" : "prefill"),
    );
    for (let look = 0; look < 2 * seconds; look++) {
      await timer.advance(500);
      demand.look({
        engines,
        openRequests: (id) => Number(id) < decoding ? openEach : 0,
        backlog: () => backlog,
      });
    }
  }

  const decoding = () => Math.round(10 * (1 - demand.prefillShare));

  it("begins with a share that was right elsewhere", () => {
    expect(decoding()).to.equal(3);
  });

  it("changes nothing while slots are taken in between", async () => {
    await use({ decoding: 3, openEach: 14, backlog: 200 });
    expect(decoding()).to.equal(3);
  });

  // A customer's answers are long: most slots are taken and answers pause or
  // are turned away, while engines that read have nothing to do.
  it("wants more engines to decode where slots run out", async () => {
    await use({ decoding: 3, openEach: 30 });
    expect(decoding()).to.equal(6);
  });

  // A customer's answers are a few tokens: slots stand empty while prompts wait
  // at every engine that reads.
  it("lets an engine read that answers do not need", async () => {
    await use({ decoding: 3, openEach: 2, backlog: 300 });
    expect(decoding()).to.equal(2);
  });

  it("leaves it where nothing waits to be read", async () => {
    await use({ decoding: 3, openEach: 2 });
    expect(decoding()).to.equal(3);
  });

  it("keeps two that decode, whatever waits", async () => {
    await use({ decoding: 2, openEach: 0, backlog: 300 });
    expect(decoding()).to.equal(3);
  });

  // The mix swings every few seconds. Followed, engines change their role all
  // the time, and each change takes one away for seconds.
  it("does not follow a burst of a few seconds", async () => {
    await use({ decoding: 3, openEach: 14 });
    await use({ decoding: 3, openEach: 30, seconds: 2 });
    await use({ decoding: 3, openEach: 14 });
    expect(decoding()).to.equal(3);
  });
});
