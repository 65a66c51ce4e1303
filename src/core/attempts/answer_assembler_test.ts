import { expect } from "chai";
import fc from "fast-check";
import type { AttemptFrame } from "../../generated/messages.ts";
import { AnswerAssembler } from "./mod.ts";

const TEXTS = ["The ", "lorry ", "is ", "by ", "the ", "river"];

function createAssembler() {
  const tokens: string[] = [];
  const assembler = new AnswerAssembler({
    onToken: (text) => tokens.push(text),
  });
  return { assembler, tokens };
}

function token(attemptId: string, index: number): AttemptFrame {
  return { kind: "token", attemptId, index, text: TEXTS[index] };
}

function end(attemptId: string, tokens = TEXTS.length): AttemptFrame {
  return { kind: "end", attemptId, tokens, reason: "stop" };
}

describe("AnswerAssembler", () => {
  it("drops frames of an abandoned attempt", () => {
    // An endpoint is cut off and the answer continues elsewhere; then the old
    // stream is delivered after all. Its words must not appear twice.
    const { assembler, tokens } = createAssembler();
    assembler.beginAttempt("a");
    assembler.receive(token("a", 0));
    assembler.beginAttempt("b");
    expect(assembler.receive(token("a", 1))).to.equal("dropped");
    expect(assembler.receive(end("a", 1))).to.equal("dropped");
    expect(assembler.receive(token("b", 1))).to.equal("taken");
    expect(tokens).to.deep.equal(TEXTS.slice(0, 2));
  });

  it("is not complete without every token, whatever the end frame says", () => {
    // A frame is lost and the end arrives. Shown as complete, the answer would
    // lack a word such as "not" and mean the opposite.
    const { assembler } = createAssembler();
    assembler.beginAttempt("a");
    assembler.receive(token("a", 0));
    assembler.receive(token("a", 2));
    expect(assembler.receive(end("a", 3))).to.equal("held");
    expect(assembler.complete).to.equal(undefined);
    expect(assembler.hasGap).to.equal(true);
    expect(assembler.receive(token("a", 1))).to.equal("complete");
  });

  it("abandons an attempt that contradicts the delivered tokens", () => {
    const { assembler } = createAssembler();
    assembler.beginAttempt("a");
    assembler.receive(token("a", 0));
    assembler.beginAttempt("b");
    expect(assembler.receive(end("b", 0))).to.equal("broken");
    expect(assembler.complete).to.equal(undefined);
  });

  it("rejects not_run after a start", () => {
    // A dispatch is duplicated: one copy runs, the other is refused as
    // saturated. Accepted, the refusal would report "not run" for work that has
    // run.
    const { assembler } = createAssembler();
    assembler.beginAttempt("a");
    assembler.receive({ kind: "started", attemptId: "a" });
    expect(
      assembler.receive({
        kind: "not_run",
        attemptId: "a",
        reason: "saturated",
      }),
    ).to.equal("broken");
    expect(assembler.anyAttemptStarted).to.equal(true);
  });

  it("delivers each token once and in order despite network faults", () => {
    // Frames of two attempts are reordered, duplicated and lost.
    const frames = [
      ...TEXTS.map((_, index) => token("a", index)),
      ...TEXTS.map((_, index) => token("b", index)),
      end("a"),
      end("b"),
    ];
    const schedule = fc.array(fc.constantFrom(...frames), { maxLength: 60 });
    fc.assert(
      fc.property(schedule, fc.nat(60), (received, switchIndex) => {
        const { assembler, tokens } = createAssembler();
        assembler.beginAttempt("a");
        received.forEach((frame, index) => {
          if (index === switchIndex) assembler.beginAttempt("b");
          assembler.receive(frame);
        });
        expect(tokens).to.deep.equal(TEXTS.slice(0, tokens.length));
        if (assembler.complete) expect(tokens).to.deep.equal(TEXTS);
      }),
      { numRuns: 1_000, seed: 11 },
    );
  });
});
