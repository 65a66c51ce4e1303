import { expect } from "chai";
import { type BufferedResponse, ResponseBuffers } from "./response_buffers.ts";

describe("ResponseBuffers", () => {
  class Response implements BufferedResponse {
    isPaused = false;
    pause(): void {
      this.isPaused = true;
    }
  }

  it("reads on while the budget lasts", () => {
    const buffers = new ResponseBuffers(1_000);
    const response = new Response();
    buffers.update(response, 100);
    buffers.update(response, 200);
    expect(response.isPaused).to.equal(false);
    expect(buffers.totalBytes).to.equal(200);
  });

  it("pauses every response where there is no budget", () => {
    const response = new Response();
    new ResponseBuffers(0).update(response, 1);
    expect(response.isPaused).to.equal(true);
  });

  // One caller stops reading for ever in a long response. It must not take the
  // memory of all others.
  it("pauses a response at its share of the budget", () => {
    const buffers = new ResponseBuffers(1_000);
    const response = new Response();
    buffers.update(response, 300);
    expect(response.isPaused).to.equal(true);
  });

  // Two hundred callers read slowly at the same time. Without a bound on all of
  // them, the platform would end the entry for its memory.
  it("pauses the largest responses until the total is within the budget", () => {
    const buffers = new ResponseBuffers(1_000);
    const responses = Array.from({ length: 200 }, () => new Response());
    for (let bytes = 1; bytes <= 5; bytes++) {
      for (const response of responses) {
        if (!response.isPaused) buffers.update(response, bytes + 1);
      }
    }
    expect(buffers.totalBytes).to.be.at.most(1_000 + responses.length);
    expect(responses.filter(({ isPaused }) => isPaused)).to.not.deep.equal([]);
  });

  it("frees the memory of a caller that has read or left", () => {
    const buffers = new ResponseBuffers(1_000);
    const [one, other] = [new Response(), new Response()];
    buffers.update(one, 240);
    buffers.update(other, 100);
    buffers.drained(one);
    expect(buffers.totalBytes).to.equal(100);
    buffers.drained(one);
    expect(buffers.totalBytes).to.equal(100);
  });

  // The endpoint of a paused response breaks off, and the stream goes on at
  // another one, which must be paused as well.
  it("pauses the next run of a paused response", () => {
    const buffers = new ResponseBuffers(1_000);
    const response = new Response();
    buffers.update(response, 300);
    response.isPaused = false;
    buffers.update(response, 200);
    expect(response.isPaused).to.equal(true);
  });
});
