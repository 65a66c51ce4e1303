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

const LOST = defineError<Record<never, never>>()({
  name: "link_lost",
  title: "Lost",
  message: () => "Gone",
  hint: "",
});

describe("WatchLoop", () => {
  const timer = new ManualTimerService();
  const asked: string[] = [];
  const dead = new Set<string>();
  const candidates: PeerAddress[] = ["a", "b", "c", "d"].map((each) =>
    identifier(each)
  );

  function watch(
    entry: PeerAddress,
  ): Promise<Result<WatchAnswer, LinkFailure>> {
    asked.push(entry);
    if (dead.has(entry)) return Promise.resolve(err(failure(LOST, {})));
    return new Promise((resolve) => {
      timer.after(
        1_000,
        () => resolve(ok({ configurationVersion: 1, ordersRead: 0 })),
      );
    });
  }

  // Both entries that a side watches are replaced. A side that kept to them
  // would never hear of a configuration again.
  it("turns to its next entry after a failure, apart from other loops", async () => {
    const loops = [0, 1].map((place) =>
      new WatchLoop({
        timer,
        random: seededRandom(place),
        entries: { watch } as unknown as EntryLink,
        candidates: () => candidates,
        place,
        loops: 2,
        report: () => ({} as SideReport),
        onAnswer() {},
        waitMilliseconds: 1_000,
      })
    );
    for (const loop of loops) loop.start();
    await timer.advance(500);
    expect(asked).to.deep.equal(["a", "b"]);
    dead.add("a").add("b");
    asked.length = 0;
    await timer.advance(3_000);
    expect(asked).to.include.members(["c", "d"]);
    for (const loop of loops) loop.stop();
  });
});
