import { expect } from "chai";
import { ManualTimerService } from "../core/time/mod.ts";
import type { WatchAnswer } from "../generated/messages.ts";
import { FirstAnswers } from "./first_answers.ts";

function answer(configurationVersion: number): WatchAnswer {
  return { configurationVersion, ordersRead: -1 };
}

describe("FirstAnswers", () => {
  const timer = new ManualTimerService();

  function make() {
    const taken: number[] = [];
    const first = new FirstAnswers({
      timer,
      loops: 2,
      onAnswer: ({ configurationVersion }) => taken.push(configurationVersion),
    });
    first.start();
    return { first, taken };
  }

  it("takes the newest of all entries first", () => {
    // The side was restarted, and the entry that answers first is cut off
    // from the log. Its old configuration must not come into force again.
    const { first, taken } = make();
    first.take(0, answer(4));
    expect(taken).to.deep.equal([]);
    first.take(1, answer(16));
    first.take(0, answer(17));
    expect(taken).to.deep.equal([16, 4, 17]);
  });

  it("serves by one entry where the other stays silent", async () => {
    // One of the two entries is lost as well. A side that waited on for it
    // would leave its endpoint without a configuration.
    const { first, taken } = make();
    first.take(0, answer(4));
    await timer.advance(3_000);
    expect(taken).to.deep.equal([4]);
  });
});
