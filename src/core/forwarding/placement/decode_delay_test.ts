import { expect } from "chai";
import { maxDecodeDelayMilliseconds } from "./decode_delay.ts";

const SHORT = {
  prompt: { inputTokens: 9_190, mostOutputTokens: 2 },
  rank: 2,
  leastUrgentRank: 2,
  maxPauseMilliseconds: 200,
  slackMilliseconds: 400,
};

describe("maxDecodeDelayMilliseconds", () => {
  it("delays a short response with a long context", () => {
    expect(maxDecodeDelayMilliseconds(SHORT)).to.equal(50);
  });

  // A delay must not make the response itself late.
  it("leaves time until the response is late", () => {
    expect(maxDecodeDelayMilliseconds({ ...SHORT, slackMilliseconds: 40 }))
      .to.equal(20);
    expect(maxDecodeDelayMilliseconds({ ...SHORT, slackMilliseconds: -5 }))
      .to.equal(0);
  });

  // An urgent response would wait for streams that matter less than itself.
  it("does not delay a more urgent rank", () => {
    expect(maxDecodeDelayMilliseconds({ ...SHORT, rank: 0 })).to.equal(0);
  });

  it("does not delay a response with many tokens", () => {
    const prompt = { inputTokens: 220, mostOutputTokens: 72 };
    expect(maxDecodeDelayMilliseconds({ ...SHORT, prompt })).to.equal(0);
  });
});
