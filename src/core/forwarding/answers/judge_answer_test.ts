import { expect } from "chai";
import type { AnswerEvidence } from "./answer_evidence.ts";
import { echoedIdOf } from "./answer_evidence.ts";
import { judgeAnswer } from "./judge_answer.ts";

const REJECTION: AnswerEvidence = {
  status: 503,
  hasRequestId: true,
  echoedId: "own",
  claimsNotRun: true,
  signatures: 1,
  hasForeignEncoding: false,
  connection: "reused",
  interimAnswers: 0,
  milliseconds: 3,
};

function judge(values: Partial<AnswerEvidence>): string {
  const verdict = judgeAnswer({ ...REJECTION, ...values });
  return verdict.kind === "doubtful" ? verdict.reason : verdict.kind;
}

describe("judgeAnswer", () => {
  describe("takes the word of the endpoint that a request has not run", () => {
    for (const status of [400, 408, 421, 429, 503]) {
      it(`with status ${status}, the request's id and the claim`, () => {
        expect(judge({ status })).to.equal("not_run");
        expect(judge({ status, connection: "new" })).to.equal("not_run");
        expect(judge({ status, connection: "own" })).to.equal("not_run");
      });
    }
  });

  describe("does not take a rejection for a promise", () => {
    const doubts: Readonly<Record<string, Partial<AnswerEvidence>>> = {
      "without the claim": { claimsNotRun: false },
      "behind an interim answer": { interimAnswers: 1 },
      "with the status of a run that failed": { status: 500 },
      "with the status of a success": { status: 200 },
    };
    for (const [what, values] of Object.entries(doubts)) {
      it(what, () => expect(judge(values)).to.equal("unproven"));
    }
  });

  describe("does not take an answer for the request's", () => {
    for (const echoedId of ["none", "other", "several"] as const) {
      for (const status of [200, 500, 503]) {
        it(`that repeats ${echoedId}, with status ${status}`, () => {
          expect(judge({ echoedId, status })).to.equal("foreign");
        });
      }
    }
  });

  // A caller that gets such a status sends its request again.
  it("does not pass on a status that promises without the claim", () => {
    for (const status of [408, 421, 429, 503]) {
      expect(judge({ status, claimsNotRun: false })).to.equal("unproven");
    }
  });

  it("passes on other answers to the request", () => {
    for (const status of [200, 204, 404, 500, 502, 504]) {
      expect(judge({ status, claimsNotRun: false })).to.equal("answer");
    }
  });

  describe("does not pass on a head that no sound endpoint sends", () => {
    const heads: Readonly<Record<string, Partial<AnswerEvidence>>> = {
      "a status below all final ones": { status: 0 },
      "a status above all final ones": { status: 600 },
      "a switch of protocols": { status: 101 },
      "a success without a signature": { status: 200, signatures: 0 },
      "a success with two signatures": { status: 200, signatures: 2 },
      "an encoding that nobody asked for": {
        status: 200,
        hasForeignEncoding: true,
      },
    };
    for (const [what, values] of Object.entries(heads)) {
      it(what, () => {
        expect(judge({ claimsNotRun: false, ...values })).to.equal("spoiled");
      });
    }
  });

  it("passes on failures and prefills without a signature", () => {
    const values = { claimsNotRun: false };
    expect(judge({ ...values, status: 500, signatures: 0 }))
      .to.equal("answer");
    expect(judge({ ...values, status: 200, signatures: undefined }))
      .to.equal("answer");
  });

  describe("an answer to a request without an id", () => {
    const withoutId = { hasRequestId: false, echoedId: "none" } as const;

    it("is its own on a connection that carries nothing else", () => {
      expect(judge({ ...withoutId, connection: "own" })).to.equal("not_run");
    });

    it("is nobody's on a connection of other requests", () => {
      expect(judge({ ...withoutId, connection: "new" })).to.equal("foreign");
      expect(judge({ ...withoutId, connection: "reused" }))
        .to.equal("foreign");
    });
  });
});

describe("echoedIdOf", () => {
  it("tells one id that is the request's from all others", () => {
    expect(echoedIdOf(["r"], "r")).to.equal("own");
    expect(echoedIdOf(["R"], "r")).to.equal("other");
    expect(echoedIdOf([], "r")).to.equal("none");
    expect(echoedIdOf(["r", "r"], "r")).to.equal("several");
    expect(echoedIdOf(["other", "r"], "r")).to.equal("several");
  });
});
