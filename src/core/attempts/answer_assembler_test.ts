import { expect } from "chai";
import fc from "fast-check";
import type { AttemptFrame } from "../../generated/messages.ts";
import { AnswerAssembler } from "./mod.ts";

const TEXTS = ["The ", "lorry ", "is ", "by ", "the ", "river"];

function assembler() {
  const tokens: string[] = [];
  const answer = new AnswerAssembler({ onToken: (text) => tokens.push(text) });
  return { answer, tokens };
}

function token(attemptId: string, index: number): AttemptFrame {
  return { kind: "token", attemptId, index, text: TEXTS[index] };
}

function end(attemptId: string, tokens = TEXTS.length): AttemptFrame {
  return { kind: "end", attemptId, tokens, reason: "stop" };
}

describe("AnswerAssembler", () => {
  it("drops frames of an attempt that was given up", () => {
    // An endpoint is cut off and the answer goes on elsewhere; then the old
    // stream comes through again. Its words must not appear twice.
    const { answer, tokens } = assembler();
    answer.begin("a");
    answer.receive(token("a", 0));
    answer.begin("b");
    expect(answer.receive(token("a", 1))).to.equal("dropped");
    expect(answer.receive(end("a", 1))).to.equal("dropped");
    expect(answer.receive(token("b", 1))).to.equal("taken");
    expect(tokens).to.deep.equal(TEXTS.slice(0, 2));
  });

  it("is not whole without every token, whatever the end says", () => {
    // A frame is lost and the end arrives. Shown as whole, the foreman reads
    // a verdict that lacks its "not".
    const { answer } = assembler();
    answer.begin("a");
    answer.receive(token("a", 0));
    answer.receive(token("a", 2));
    expect(answer.receive(end("a", 3))).to.equal("held");
    expect(answer.complete).to.equal(undefined);
    expect(answer.hasGap).to.equal(true);
    expect(answer.receive(token("a", 1))).to.equal("complete");
  });

  it("gives an attempt up that contradicts what was delivered", () => {
    const { answer } = assembler();
    answer.begin("a");
    answer.receive(token("a", 0));
    answer.begin("b");
    expect(answer.receive(end("b", 0))).to.equal("broken");
    expect(answer.complete).to.equal(undefined);
  });

  it("does not believe not run behind a start", () => {
    // A doubled dispatch: one copy runs, the other is refused as saturated.
    // Believed, the caller is told "not run" of work that has run.
    const { answer } = assembler();
    answer.begin("a");
    answer.receive({ kind: "started", attemptId: "a" });
    expect(
      answer.receive({ kind: "not_run", attemptId: "a", reason: "saturated" }),
    ).to.equal("broken");
    expect(answer.anyAttemptStarted).to.equal(true);
  });

  it("delivers each token once and in order, whatever the network does", () => {
    // Frames of two attempts cross, repeat and get lost.
    const frames = [
      ...TEXTS.map((_, index) => token("a", index)),
      ...TEXTS.map((_, index) => token("b", index)),
      end("a"),
      end("b"),
    ];
    const schedule = fc.array(fc.constantFrom(...frames), { maxLength: 60 });
    fc.assert(
      fc.property(schedule, fc.nat(60), (received, turn) => {
        const { answer, tokens } = assembler();
        answer.begin("a");
        received.forEach((frame, index) => {
          if (index === turn) answer.begin("b");
          answer.receive(frame);
        });
        expect(tokens).to.deep.equal(TEXTS.slice(0, tokens.length));
        if (answer.complete) expect(tokens).to.deep.equal(TEXTS);
      }),
      { numRuns: 1_000, seed: 11 },
    );
  });
});
