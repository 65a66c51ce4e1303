import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import { CrashTracker, TrialIssuer } from "../../../core/forwarding/mod.ts";
import {
  identifier,
  type PartDigest,
  type ProcessId,
} from "../../../core/identity/mod.ts";
import { ManualTimerService } from "../../../core/time/mod.ts";
import {
  TRIAL_ANSWER_METHOD,
  TRIAL_END_METHOD,
  TRIAL_REQUEST_METHOD,
} from "../notifications/crash_notification.ts";
import type { Notification } from "../notifications/mod.ts";
import { TrialExchange } from "./trial_exchange.ts";

const PART = identifier<PartDigest>("part");
const OTHER_PART = identifier<PartDigest>("other");
const OWNER = identifier<ProcessId>("owner");
const ASKING = identifier<ProcessId>("asking");

describe("TrialExchange", () => {
  let timer: ManualTimerService;
  let latency: number;
  let owner: { readonly crashes: CrashTracker; readonly trials: TrialExchange };
  let asking: typeof owner;

  beforeEach(() => {
    timer = new ManualTimerService();
    latency = 1;
    owner = makeEntry(OWNER);
    asking = makeEntry(ASKING);
  });

  function makeEntry(self: ProcessId): typeof owner {
    const crashes = new CrashTracker({ timer });
    const trials = new TrialExchange({
      self,
      incarnation: "1",
      timer,
      issuer: new TrialIssuer(timer),
      crashes,
      owners: { liveRanking: () => [OWNER] },
      send: (peer, notification) => {
        const receiver = () => (peer === OWNER ? owner : asking).trials;
        timer.after(latency, () => deliver(receiver(), notification));
      },
    });
    return { crashes, trials };
  }

  function deliver(
    to: TrialExchange,
    { method, params }: Notification,
  ): void {
    if (method === TRIAL_REQUEST_METHOD) to.onRequest(params);
    if (method === TRIAL_ANSWER_METHOD) to.onAnswer(params);
    if (method === TRIAL_END_METHOD) to.onEnd(params);
  }

  async function request(digest: PartDigest, holder: string): Promise<boolean> {
    const granted = asking.trials.request(digest, holder);
    await timer.advance(50);
    return await granted;
  }

  it("grants a trial to one request of all entries", async () => {
    expect(await request(PART, "one")).to.equal(true);
    expect(await owner.trials.request(PART, "other")).to.equal(false);
    asking.trials.end(PART, "one");
    await timer.advance(10);
    expect(await owner.trials.request(PART, "other")).to.equal(true);
  });

  // Otherwise two requests would run at once with the other suspect.
  it("does not take a late grant for that of another suspect", async () => {
    latency = 30;
    const late = asking.trials.request(PART, "one");
    await timer.advance(45);
    expect(await late).to.equal(false);
    latency = 1_000;
    const other = asking.trials.request(OTHER_PART, "one");
    await timer.advance(45);
    expect(await other).to.equal(false);
  });

  it("ends a trial that is granted too late", async () => {
    latency = 30;
    await request(PART, "one");
    await timer.advance(200);
    expect(await owner.trials.request(PART, "other")).to.equal(true);
  });

  it("tells a request of a run that has not crashed", async () => {
    const lose = (crashes: CrashTracker) => {
      for (const endpoint of ["a", "b"]) {
        const loss = { digest: PART, knownBefore: 0 };
        crashes.lost(makeEndpoint(endpoint), loss);
      }
    };
    lose(owner.crashes);
    lose(asking.crashes);
    owner.crashes.recordProof([PART], timer.now());
    expect(await request(PART, "one")).to.equal(false);
    expect(asking.crashes.verdictOn([PART]).kind).to.equal("free");
  });

  // An entry that has just started may know too little for the block.
  it("is not granted for what the owner blocks", async () => {
    for (const endpoint of ["a", "b", "c"]) {
      const knownBefore = owner.crashes.crashCount(PART);
      owner.crashes.lost(makeEndpoint(endpoint), { digest: PART, knownBefore });
    }
    expect(await request(PART, "one")).to.equal(false);
  });
});
