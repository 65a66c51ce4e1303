import { expect } from "chai";
import type { Outcome } from "../../src/core/requests/mod.ts";
import type { EntryOptions } from "../../src/entry/mod.ts";
import { InProcessRegion } from "../support/in_process_region.ts";

const TOKENS = 100;
const MILLISECONDS_BETWEEN_TOKENS = 20;
const SHUTDOWN_MILLISECONDS = 8_000;
/** More than one engine with one slot completes within the shutdown time. */
const REQUESTS = 30;
/** Requests by which the entry knows how long others take. */
const WARM_UP_REQUESTS = 20;
const WARM_UP_MILLISECONDS = 20_000;

const LIMITS: EntryOptions["limits"] = {
  mostQueued: 100,
  mostQueuedPerWorkspace: 100,
  mostOpenRequests: 100,
  shutdownSeconds: SHUTDOWN_MILLISECONDS / 1_000,
  mostEndpointsPerPool: 8,
  mostAttempts: 4,
};

interface EndedRequest {
  readonly outcome: Outcome;
  readonly milliseconds: number;
}

describe("An entry that is stopped while requests wait for a slot", () => {
  let region: InProcessRegion;
  let startedAt = Infinity;
  const ended: EndedRequest[] = [];

  before(async () => {
    region = new InProcessRegion({
      entries: 1,
      endpoints: 1,
      engineSlots: 1,
      tokens: TOKENS,
      millisecondsBetweenTokens: MILLISECONDS_BETWEEN_TOKENS,
      fleet: { entry: { limits: LIMITS } },
    });
    await region.start();
    send(WARM_UP_REQUESTS);
    await region.timer.advance(WARM_UP_MILLISECONDS);
    ended.length = 0;
    send(REQUESTS);
    await region.timer.advance(1_000);
    startedAt = region.timer.now();
    const stopped = region.fleet.entries[0].stop();
    await region.timer.advance(SHUTDOWN_MILLISECONDS + 1_000);
    await stopped;
    region.fleet.halt();
  });

  function send(count: number): void {
    for (let index = 0; index < count; index++) {
      region.generate({ entry: 0, workspace: `w${index}` }, {
        token: () => true,
        response() {},
        finish(outcome) {
          const milliseconds = region.timer.now() - startedAt;
          if (milliseconds >= 0) ended.push({ outcome, milliseconds });
        },
      });
    }
  }

  it("answers what can end in time", () => {
    const answered = ended.filter(({ outcome }) => outcome.kind === "answered");
    expect(answered).to.have.length.above(5);
  });

  // A request that got its slot shortly before the end was cut midway, and one
  // that is not idempotent might have run.
  it("leaves no request with an unknown outcome", () => {
    const unknown = ended.filter(({ outcome }) => outcome.kind === "unknown");
    expect(unknown.length).to.equal(0);
  });

  // Their callers could have asked another entry seconds earlier.
  it("refuses what can no longer end before its end", () => {
    const refused = ended.filter(({ outcome }) => outcome.kind === "not_run");
    const last = Math.max(...refused.map(({ milliseconds }) => milliseconds));
    expect(refused).to.have.length.above(0);
    expect(last).to.be.below(SHUTDOWN_MILLISECONDS);
  });
});
