import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { SharedRetryBudget } from "../mod.ts";

const WINDOW_MILLISECONDS = 10_000;

describe("SharedRetryBudget", () => {
  let timer: ManualTimerService;
  let entries: number;
  let budget: SharedRetryBudget;

  beforeEach(async () => {
    timer = new ManualTimerService();
    entries = 5;
    budget = new SharedRetryBudget({
      timer,
      ratio: 0.2,
      windowMilliseconds: WINDOW_MILLISECONDS,
      minimum: 50,
      entries: () => entries,
    });
    await timer.advance(WINDOW_MILLISECONDS);
  });

  function consumeAll(pool: string): number {
    let consumed = 0;
    for (;;) {
      const permit = budget.grant(pool);
      if (permit === undefined) return consumed;
      permit.consume();
      consumed += 1;
    }
  }

  // Every engine fails, and five entries retry their requests. Without a common
  // limit the remaining engines would receive twice the load and fail as well.
  it("keeps the retries of all entries within the fleet's limit", () => {
    for (let request = 0; request < 100; request++) {
      budget.recordRequest("engines");
    }
    const fleetRetries = entries * consumeAll("engines");
    expect(fleetRetries).to.be.at.most(0.2 * 500 + 50);
    expect(fleetRetries).to.be.at.least(0.7 * (0.2 * 500 + 50));
  });

  it("limits each pool separately", () => {
    consumeAll("engines");
    expect(budget.grant("portal")).to.not.equal(undefined);
  });

  it("grants retries again once earlier ones leave the window", async () => {
    const first = consumeAll("engines");
    await timer.advance(10_001);
    expect(consumeAll("engines")).to.equal(first);
  });

  // A granted retry waits for an engine. If it did not count meanwhile, others
  // would be granted as well and all be sent when the engine is back.
  it("counts a retry from its grant, however long it waits", async () => {
    const before = consumeAll("engines");
    await timer.advance(10_001);
    const pending = budget.grant("engines");
    await timer.advance(10_001);
    expect(consumeAll("engines")).to.equal(before - 1);
    pending?.release();
    expect(budget.grant("engines")).to.not.equal(undefined);
  });

  // Counted from its grant alone, a retry that waited for nine seconds would
  // leave the window one second after it was sent.
  it("counts a retry for a whole window from its send", async () => {
    const permit = budget.grant("engines");
    await timer.advance(9_000);
    permit?.consume();
    await timer.advance(9_000);
    expect(budget.usageOf("engines").counted).to.equal(1);
    await timer.advance(1_001);
    expect(budget.usageOf("engines").counted).to.equal(0);
  });

  it("returns a retry that was not delivered, and only once", () => {
    const [one, other] = [
      budget.grant("engines"),
      budget.grant("engines"),
    ];
    one?.consume();
    other?.consume();
    one?.release();
    one?.release();
    expect(budget.usageOf("engines").counted).to.equal(1);
  });
});
