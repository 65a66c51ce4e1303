import { expect } from "chai";
import { ManualTimerService } from "../core/time/mod.ts";
import type { WatchAnswer } from "../generated/messages.ts";
import { InitialAnswers } from "./initial_answers.ts";

function answer(configurationVersion: number): WatchAnswer {
  return { configurationVersion, ordersRead: -1 };
}

describe("InitialAnswers", () => {
  const timer = new ManualTimerService();

  function createInitialAnswers() {
    const delivered: number[] = [];
    const initialAnswers = new InitialAnswers({
      timer,
      loopCount: 2,
      onAnswer: ({ configurationVersion }) =>
        delivered.push(configurationVersion),
    });
    initialAnswers.start();
    return { initialAnswers, delivered };
  }

  it("delivers the newest answer of all entries first", () => {
    // The side has restarted, and the entry that answers first is cut off from
    // the log. Its old configuration must not become active again.
    const { initialAnswers, delivered } = createInitialAnswers();
    initialAnswers.receive(0, answer(4));
    expect(delivered).to.deep.equal([]);
    initialAnswers.receive(1, answer(16));
    initialAnswers.receive(0, answer(17));
    expect(delivered).to.deep.equal([16, 4, 17]);
  });

  it("uses one entry's answer if the other does not answer", async () => {
    // One of the two entries is lost as well. If the side kept waiting for it,
    // its endpoint would have no configuration.
    const { initialAnswers, delivered } = createInitialAnswers();
    initialAnswers.receive(0, answer(4));
    await timer.advance(3_000);
    expect(delivered).to.deep.equal([4]);
  });
});
