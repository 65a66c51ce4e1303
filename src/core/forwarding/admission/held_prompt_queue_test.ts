import { expect } from "chai";
import { identifier, type WorkspaceId } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { FairShares, HeldPromptQueue, RequestShare } from "../mod.ts";

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
      readonly share?: RequestShare;
    } = {},
  ): void {
    const { rank = 1, expiresAt = 1_000, isCancelled = () => false } = values;
    void queue.enqueue({
      rank,
      expiresAt,
      share: values.share,
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

  // All other prompts would wait until their deadlines.
  it("goes on with the next prompt if the choice for one throws", async () => {
    const failed = queue.enqueue({
      rank: 0,
      expiresAt: 1_000,
      share: undefined,
      workMilliseconds: 50,
      choose: () => Promise.reject(new Error("choosing")),
      isCancelled: () => false,
    }).catch((cause) => String(cause));
    enqueue("letter");
    idleEngines = ["one"];
    await timer.advance(30);
    expect(await failed).to.equal("Error: choosing");
    expect(started).to.deep.equal(["letter at one"]);
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

  describe("with fair shares", () => {
    let shares: FairShares;

    beforeEach(() => {
      shares = new FairShares(timer);
      const large = identifier<WorkspaceId>("large");
      shares.recordAsked(large, { milliseconds: 900, rank: 0 });
      shares.record(large, 90);
      shares.recordAsked(identifier("small"), { milliseconds: 10, rank: 1 });
    });

    function shareOf(
      workspace: string,
      { rank = 1, isDue = false } = {},
    ): RequestShare {
      return new RequestShare(shares, {
        workspace: identifier<WorkspaceId>(workspace),
        rank,
        isReturning: isDue,
        isDue,
      });
    }

    // A flood of one workspace is held. By expiry alone, prompts of the others
    // would wait behind all of it.
    it("starts the workspace with the least work first, within a rank", async () => {
      enqueue("flood", { share: shareOf("large"), expiresAt: 500 });
      enqueue("single", { share: shareOf("small") });
      enqueue("urgent flood", {
        share: shareOf("large", { rank: 0 }),
        rank: 0,
      });
      idleEngines = ["one", "two", "three"];
      await timer.advance(30);
      expect(started).to.deep.equal([
        "urgent flood at one",
        "single at two",
        "flood at three",
      ]);
    });

    // The retry time is a promise. A flood's callers keep theirs as well, which
    // must not take the turn of a workspace below its share.
    it("starts callers that keep their retry time first, within the share", async () => {
      shares.record(identifier("small"), 1);
      enqueue("due flood", { share: shareOf("large", { isDue: true }) });
      enqueue("new", { share: shareOf("other") });
      enqueue("due", { share: shareOf("small", { isDue: true }) });
      idleEngines = ["one", "two", "three"];
      await timer.advance(30);
      expect(started).to.deep.equal([
        "due at one",
        "new at two",
        "due flood at three",
      ]);
    });

    function displace(waitMilliseconds: (work: number) => number): void {
      queue.displaceFor({
        rank: 1,
        expiresAt: 1_000,
        share: shareOf("small"),
        workMilliseconds: 50,
      }, waitMilliseconds);
    }

    it("drops at once what can't start in time behind a new prompt", async () => {
      const share = shareOf("large");
      enqueue("flood", { share, expiresAt: 200 });
      enqueue("patient flood", { share: shareOf("large") });
      displace((work) => 5 * work);
      await timer.advance(0);
      expect(dropped).to.deep.equal(["flood"]);
      expect(share.displacedBy).to.equal("small");
    });

    // A prompt that would still start in time must not lose its place, and
    // neither must one that is more urgent or below its share.
    it("drops nothing else", async () => {
      enqueue("flood", { share: shareOf("large") });
      enqueue("urgent flood", {
        share: shareOf("large"),
        rank: 0,
        expiresAt: 9,
      });
      enqueue("other", { share: shareOf("other"), expiresAt: 9 });
      displace((work) => 5 * work);
      await timer.advance(0);
      expect(dropped).to.deep.equal([]);
    });
  });
});
