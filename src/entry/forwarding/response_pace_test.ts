import { expect } from "chai";
import type { StepSample } from "../../core/forwarding/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import type { BodyEnd, EndpointResponse } from "./network_interfaces.ts";
import { observePace } from "./response_pace.ts";

describe("observePace", () => {
  let timer: ManualTimerService;
  let samples: StepSample[];
  let observed: EndpointResponse;
  let onChunk: (chunk: Buffer) => void;
  let onEnd: (end: BodyEnd) => void;
  let received: string;
  let requests: number;
  let wholeEvents: number | undefined;

  beforeEach(() => {
    timer = new ManualTimerService();
    samples = [];
    received = "";
    requests = 4;
    wholeEvents = undefined;
    observed = observePace({
      head: { status: 200, headers: [], notExecuted: false },
      framing: "length",
      read: (chunk, end) => [onChunk, onEnd] = [chunk, end],
      pause() {},
      resume() {},
      close() {},
    }, {
      timer,
      openWork: () => ({ requests, prefillMilliseconds: 0, tokens: 100 }),
      workFactor: () => 2,
      onSteps: (sample) => samples.push(sample),
      onWhole: (events) => wholeEvents = events,
    });
    observed.read((chunk) => received += chunk, (end) => received += end);
  });

  async function receive(text: string, milliseconds: number): Promise<void> {
    await timer.advance(milliseconds);
    onChunk(Buffer.from(text));
  }

  it("counts events, also where chunks contain several or none", async () => {
    await receive("data: 1\n\n", 90);
    await receive("data: 2\n\ndata: 3\n\n", 40);
    await receive("data:", 10);
    requests = 6;
    await receive(" 4\n\n", 10);
    onEnd("whole");
    expect(samples).to.deep.equal([{
      steps: 3,
      milliseconds: 30,
      responses: 5,
      tokens: 100,
      prefillMilliseconds: 0,
    }]);
    expect(wholeEvents).to.equal(4);
    expect(received).to.match(/^data: 1[^]*data: 4\n\nwhole$/);
  });

  it("samples a long response several times", async () => {
    for (let index = 0; index < 41; index++) await receive("data\n\n", 20);
    expect(samples.map(({ steps }) => steps)).to.deep.equal([13, 13, 13]);
  });

  // The caller reads slowly, so that the engine is paused. Its pauses would
  // count as long steps.
  it("does not count the time of a slow caller", async () => {
    await receive("data\n\n", 20);
    observed.pause();
    await timer.advance(3_000);
    observed.resume();
    await receive("data\n\n", 20);
    await receive("data\n\n", 20);
    onEnd("whole");
    expect(samples.map(({ milliseconds }) => milliseconds)).to.deep.equal([10]);
  });

  // The link is cut. The time until that shows says nothing about the engine.
  it("does not count the time after the last event", async () => {
    await receive("data\n\n", 20);
    await receive("data\n\n", 20);
    await timer.advance(2_000);
    onEnd("cut");
    expect(samples.map(({ milliseconds }) => milliseconds)).to.deep.equal([10]);
    expect(wholeEvents).to.equal(undefined);
  });
});
