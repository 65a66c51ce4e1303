import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import { CrashTracker } from "../../../core/forwarding/mod.ts";
import { identifier, type PartDigest } from "../../../core/identity/mod.ts";
import { ManualTimerService } from "../../../core/time/mod.ts";
import { CrashGate } from "./crash_gate.ts";

const PART = identifier<PartDigest>("part");
const OTHER_PART = identifier<PartDigest>("other");
const ANSWER_MILLISECONDS = 20;

describe("CrashGate", () => {
  let timer: ManualTimerService;
  let crashes: CrashTracker;
  let gate: CrashGate;
  let holders: Set<string>;

  beforeEach(() => {
    timer = new ManualTimerService();
    crashes = new CrashTracker({ timer });
    holders = new Set();
    let count = 0;
    gate = new CrashGate({
      timer,
      crashes,
      trials: {
        createHolder: () => `holder-${count += 1}`,
        request: (_, holder) =>
          new Promise((resolve) => {
            timer.after(ANSWER_MILLISECONDS, () => {
              if (holders.size > 0) return resolve(false);
              holders.add(holder);
              resolve(true);
            });
          }),
        inquire: () => Promise.resolve(),
        end: (_, holder) => void holders.delete(holder),
      },
    });
  });

  function lose(digest: PartDigest, ...endpoints: string[]): void {
    for (const endpoint of endpoints) {
      crashes.lost(makeEndpoint(endpoint), { digest, knownBefore: 0 });
    }
  }

  /** Admits a request with these parts; its result is known once settled. */
  function admit(
    digests: readonly PartDigest[],
    isSettled: () => boolean = () => false,
  ) {
    const pass = gate.createPass();
    const result: { admission?: string } = {};
    void pass.admit({ digests, remainingMilliseconds: 8_000, isSettled })
      .then((admission) => result.admission = admission);
    return { pass, result };
  }

  it("admits one request with a suspect at a time", async () => {
    lose(PART, "a", "b");
    const first = admit([PART]);
    const second = admit([PART]);
    await timer.advance(200);
    expect(first.result.admission).to.equal("admitted");
    expect(second.result.admission).to.equal(undefined);
    first.pass.release(0);
    await timer.advance(200);
    expect(second.result.admission).to.equal("admitted");
  });

  it("admits all requests as soon as a run has not crashed", async () => {
    lose(PART, "a", "b");
    const callers = [admit([PART]), admit([PART]), admit([PART])];
    await timer.advance(100);
    crashes.recordCompletion([PART]);
    await timer.advance(1);
    expect(callers.map(({ result }) => result.admission))
      .to.deep.equal(["admitted", "admitted", "admitted"]);
  });

  it("leaves a trial to a request whose crash shows the cause", async () => {
    lose(PART, "a", "b");
    lose(OTHER_PART, "a");
    const ambiguous = admit([PART, OTHER_PART]);
    await timer.advance(100);
    const clear = admit([PART]);
    await timer.advance(100);
    expect(clear.result.admission).to.equal("admitted");
    expect(ambiguous.result.admission).to.equal(undefined);
  });

  it("refuses a request that waits too long for a trial", async () => {
    lose(PART, "a", "b");
    admit([PART]);
    const waiting = admit([PART]);
    await timer.advance(2_100);
    expect(waiting.result.admission).to.equal("suspected");
    expect(gate.waiting).to.equal(0);
  });

  // The trial is granted after its caller has disconnected, and nobody would
  // end it.
  it("ends a trial that is granted to a request without a caller", async () => {
    lose(PART, "a", "b");
    let isGone = false;
    const gone = admit([PART], () => isGone);
    await timer.advance(ANSWER_MILLISECONDS / 2);
    isGone = true;
    gone.pass.release(0);
    const next = admit([PART]);
    await timer.advance(200);
    expect(next.result.admission).to.equal("admitted");
  });
});
