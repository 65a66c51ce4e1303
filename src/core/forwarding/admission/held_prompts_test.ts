import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { HeldPrompts } from "./held_prompts.ts";

describe("HeldPrompts", () => {
  let timer: ManualTimerService;
  let held: HeldPrompts<string>;
  /** Engines that are nearly idle. */
  let idle: string[];
  let begun: string[];
  let refused: string[];

  beforeEach(() => {
    timer = new ManualTimerService();
    held = new HeldPrompts(timer);
    idle = [];
    begun = [];
    refused = [];
  });

  function hold(
    name: string,
    values: {
      readonly rank?: number;
      readonly expiresAt?: number;
      readonly isOver?: () => boolean;
    } = {},
  ): void {
    const { rank = 1, expiresAt = 1_000, isOver = () => false } = values;
    void held.hold({
      rank,
      expiresAt,
      workMilliseconds: 50,
      choose: () => Promise.resolve(idle.shift()),
      isOver,
    }).then((engine) => {
      if (engine === undefined) refused.push(name);
      else begun.push(`${name} at ${engine}`);
    });
  }

  it("begins at once where an engine is nearly idle", async () => {
    idle = ["one"];
    hold("menu");
    await timer.advance(0);
    expect(begun).to.deep.equal(["menu at one"]);
  });

  // A burst of long letters is held when an urgent question comes that is late
  // as well. Read in the order of their arrival, the question would wait for
  // every letter.
  it("takes the most urgent first, then whose caller leaves first", async () => {
    hold("letter");
    hold("hurried letter", { expiresAt: 500 });
    hold("question", { rank: 0 });
    idle = ["one", "two", "three"];
    await timer.advance(30);
    expect(begun).to.deep.equal([
      "question at one",
      "hurried letter at two",
      "letter at three",
    ]);
  });

  it("gives up a prompt once it is no longer worth reading", async () => {
    hold("letter", { expiresAt: 200 });
    await timer.advance(260);
    expect(refused).to.deep.equal(["letter"]);
    idle = ["one"];
    await timer.advance(100);
    expect(begun).to.deep.equal([]);
  });

  // The caller has hung up while its prompt was held. Chosen for it, an engine
  // reads a prompt for nobody while others wait.
  it("passes over a prompt whose caller has gone", async () => {
    let isOver = false;
    hold("gone", { isOver: () => isOver });
    hold("waiting");
    isOver = true;
    idle = ["one"];
    await timer.advance(30);
    expect(begun).to.deep.equal(["waiting at one"]);
  });

  it("knows the work that goes before another prompt", () => {
    hold("letter");
    hold("question", { rank: 0 });
    expect(held.workAhead({ rank: 0, expiresAt: 2_000 })).to.equal(50);
    expect(held.workAhead({ rank: 1, expiresAt: 2_000 })).to.equal(100);
  });
});
