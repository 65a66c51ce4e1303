import { expect } from "chai";
import { ManualTimerService } from "../../time/mod.ts";
import { HeldPromptQueue } from "./held_prompt_queue.ts";

describe("HeldPromptQueue", () => {
  let timer: ManualTimerService;
  let queue: HeldPromptQueue<string>;
  /** Engines that are nearly idle, in the order in which they are chosen. */
  let idleEngines: string[];
  let started: string[];
  let dropped: string[];

  beforeEach(() => {
    timer = new ManualTimerService();
    queue = new HeldPromptQueue(timer);
    idleEngines = [];
    started = [];
    dropped = [];
  });

  function enqueue(
    name: string,
    values: {
      readonly rank?: number;
      readonly expiresAt?: number;
      readonly isCancelled?: () => boolean;
    } = {},
  ): void {
    const { rank = 1, expiresAt = 1_000, isCancelled = () => false } = values;
    void queue.enqueue({
      rank,
      expiresAt,
      workMilliseconds: 50,
      choose: () => Promise.resolve(idleEngines.shift()),
      isCancelled,
    }).then((engine) => {
      if (engine === undefined) dropped.push(name);
      else started.push(`${name} at ${engine}`);
    });
  }

  it("starts at once where an engine is nearly idle", async () => {
    idleEngines = ["one"];
    enqueue("menu");
    await timer.advance(0);
    expect(started).to.deep.equal(["menu at one"]);
  });

  // An urgent late prompt arrives behind a burst of long ones that are held.
  // In order of arrival it would wait for all of them.
  it("starts the most urgent first, then the first to expire", async () => {
    enqueue("letter");
    enqueue("hurried letter", { expiresAt: 500 });
    enqueue("question", { rank: 0 });
    idleEngines = ["one", "two", "three"];
    await timer.advance(30);
    expect(started).to.deep.equal([
      "question at one",
      "hurried letter at two",
      "letter at three",
    ]);
  });

  it("drops a prompt at its expiry", async () => {
    enqueue("letter", { expiresAt: 200 });
    await timer.advance(260);
    expect(dropped).to.deep.equal(["letter"]);
    idleEngines = ["one"];
    await timer.advance(100);
    expect(started).to.deep.equal([]);
  });

  // The caller disconnects while its prompt is held. Starting the prompt would
  // spend an engine on a response that nobody reads while others wait.
  it("skips a prompt whose caller has disconnected", async () => {
    let isCancelled = false;
    enqueue("gone", { isCancelled: () => isCancelled });
    enqueue("waiting");
    isCancelled = true;
    idleEngines = ["one"];
    await timer.advance(30);
    expect(started).to.deep.equal(["waiting at one"]);
  });

  it("sums up the work that runs before another prompt", () => {
    enqueue("letter");
    enqueue("question", { rank: 0 });
    expect(queue.workAhead({ rank: 0, expiresAt: 2_000 })).to.equal(50);
    expect(queue.workAhead({ rank: 1, expiresAt: 2_000 })).to.equal(100);
  });
});
