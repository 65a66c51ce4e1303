import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import { flushPromises } from "../../../test/support/forwarding_harness.ts";
import type { Failure } from "../../core/errors/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { hedgedCall } from "./hedged_call.ts";

const DELAY_MILLISECONDS = 100;
const FAILURE: Failure = { name: "lost", title: "", message: "", hint: "" };

describe("hedgedCall", () => {
  let timer: ManualTimerService;
  let sends: {
    readonly signal: AbortSignal;
    readonly settle: (result: Result<string, Failure>) => void;
  }[];
  let call: Promise<Result<string, Failure>>;

  beforeEach(() => {
    timer = new ManualTimerService();
    sends = [];
    call = hedgedCall<string, Failure>(
      ({ signal }) =>
        new Promise((settle) => void sends.push({ signal, settle })),
      { timer, delayMilliseconds: DELAY_MILLISECONDS, maxSends: 2 },
    );
  });

  // The caller would wait for the answer for ever.
  it("rejects if a sending throws", async () => {
    const failed = hedgedCall<string, Failure>(
      () => Promise.reject(new Error("sending")),
      { timer, delayMilliseconds: DELAY_MILLISECONDS, maxSends: 2 },
    ).catch((cause) => String(cause));
    expect(await failed).to.equal("Error: sending");
  });

  it("sends once if the answer arrives within the delay", async () => {
    sends[0].settle(ok("first"));
    expect((await call)._unsafeUnwrap()).to.equal("first");
    await timer.advance(DELAY_MILLISECONDS);
    expect(sends).to.have.length(1);
  });

  // A kept connection has gone silent, and a new one works.
  it("takes the answer of the second sending and aborts the first", async () => {
    await timer.advance(DELAY_MILLISECONDS);
    sends[1].settle(ok("second"));
    expect((await call)._unsafeUnwrap()).to.equal("second");
    expect(sends[0].signal.aborted).to.equal(true);
  });

  it("fails at once if the only sending fails", async () => {
    sends[0].settle(err(FAILURE));
    expect((await call).isErr()).to.equal(true);
    await timer.advance(DELAY_MILLISECONDS);
    expect(sends).to.have.length(1);
  });

  it("fails once all sendings have failed", async () => {
    await timer.advance(3 * DELAY_MILLISECONDS);
    expect(sends).to.have.length(2);
    let isSettled = false;
    void call.then(() => isSettled = true);
    sends[0].settle(err(FAILURE));
    await flushPromises();
    expect(isSettled).to.equal(false);
    sends[1].settle(err(FAILURE));
    expect((await call).isErr()).to.equal(true);
  });
});
