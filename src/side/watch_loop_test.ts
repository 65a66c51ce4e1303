import { expect } from "chai";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { defineError, failure } from "../core/errors/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { EntryLink, LinkFailure, PeerAddress } from "../core/links/mod.ts";
import { seededRandom } from "../core/random/mod.ts";
import { ManualTimerService } from "../core/time/mod.ts";
import type { SideReport, WatchAnswer } from "../generated/messages.ts";
import { WatchLoop } from "./watch_loop.ts";

const LINK_LOST = defineError<Record<never, never>>()({
  name: "link_lost",
  title: "Lost",
  message: () => "Gone",
  hint: "",
});

describe("WatchLoop", () => {
  const timer = new ManualTimerService();
  const polledEntries: string[] = [];
  const lost = new Set<string>();
  const candidates: PeerAddress[] = ["a", "b", "c", "d"].map((each) =>
    identifier(each)
  );

  function watch(
    entry: PeerAddress,
  ): Promise<Result<WatchAnswer, LinkFailure>> {
    polledEntries.push(entry);
    if (lost.has(entry)) return Promise.resolve(err(failure(LINK_LOST, {})));
    return new Promise((resolve) => {
      timer.after(
        1_000,
        () => resolve(ok({ configurationVersion: 1, ordersRead: 0 })),
      );
    });
  }

  // Both entries that a side watches are replaced. A side that only retried
  // them would never get a configuration again.
  it("switches to its next entry after a failure, apart from other loops", async () => {
    const loops = [0, 1].map((index) =>
      new WatchLoop({
        timer,
        random: seededRandom(index),
        entries: { watch } as unknown as EntryLink,
        candidates: () => candidates,
        loopIndex: index,
        loopCount: 2,
        report: () => ({} as SideReport),
        onAnswer() {},
        waitMilliseconds: 1_000,
      })
    );
    for (const loop of loops) loop.start();
    await timer.advance(500);
    expect(polledEntries).to.deep.equal(["a", "b"]);
    lost.add("a").add("b");
    polledEntries.length = 0;
    await timer.advance(3_000);
    expect(polledEntries).to.include.members(["c", "d"]);
    for (const loop of loops) loop.stop();
  });
});
