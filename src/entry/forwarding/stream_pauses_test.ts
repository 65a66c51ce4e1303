import { expect } from "chai";
import {
  ForwardingHarness,
  type SentAttempt,
} from "../../../test/support/forwarding_harness.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";

const DECODE_ENGINE = makeEngine("decode", "decode");
const EVENT = "data: x\n\n";
const PAUSE_MILLISECONDS = 50;

function makeHarness(
  { maxPause, workFactor }: {
    readonly maxPause?: number;
    readonly workFactor?: number;
  },
): ForwardingHarness {
  const route = makeRoute({
    repeat: "stream",
    targetMilliseconds: 514,
    timeoutMilliseconds: 20_000,
    shares: [{ pool: ENGINES, weight: 1 }],
    maxPauseMilliseconds: maxPause,
  });
  const harness = new ForwardingHarness(makeConfiguration({ routes: [route] }));
  const { loadReports, registry } = harness.dependencies;
  registry.upsert(makeEngine("prefill", "prefill"));
  registry.upsert(DECODE_ENGINE);
  const report = { running: 0, waiting: 0, slots: 32, workFactor };
  loadReports.record(DECODE_ENGINE, { ...report, sentAt: 0, receivedAt: 0 });
  return harness;
}

describe("the bound on stream pauses", () => {
  // Earlier deployments send no work factor or allow any pause; their prompts
  // are still prefilled inline up to a tenth of the target.
  for (
    const { name, workFactor, maxPause, engine } of [
      { name: "both", workFactor: 1, maxPause: 200, engine: "prefill" },
      { name: "no work factor", maxPause: 200, engine: "decode" },
      { name: "no bound", workFactor: 1, engine: "decode" },
    ]
  ) {
    it(`decides on the handover of a prompt with ${name}`, async () => {
      const harness = makeHarness({ maxPause, workFactor });
      const prompt = makePrompt("bylaw", { shared: 4_000, own: 2_000 });
      await harness.submit(makeRequest({ prompt }));
      expect(harness.sent[0].options.endpoint).to.equal(engine);
    });
  }

  describe("with a stream", () => {
    let harness: ForwardingHarness;
    let attempt: SentAttempt;
    let caller: Awaited<ReturnType<ForwardingHarness["submit"]>>;

    beforeEach(async () => {
      harness = makeHarness({ maxPause: 100, workFactor: 1 });
      const prompt = { ...makePrompt("x", { shared: 0, own: 220 }) };
      caller = await harness.submit(
        makeRequest({ prompt, deadlineMilliseconds: undefined }),
      );
      [attempt] = harness.sent;
      await attempt.head();
      await receive(30);
    });

    async function receive(events: number): Promise<void> {
      for (let count = 0; count < events; count++) {
        await harness.timer.advance(PAUSE_MILLISECONDS);
        await attempt.chunk(EVENT);
      }
    }

    const predict = () =>
      harness.dependencies.pace.predictPause(DECODE_ENGINE, {
        requests: 0,
        tokens: 0,
        prefillMilliseconds: 0,
      });

    it("reports no open prefill work once its prompt is processed", () => {
      const { load } = harness.dependencies;
      expect(load.total(DECODE_ENGINE.id)).to.deep.include({
        requests: 1,
        prefillMilliseconds: 0,
      });
    });

    it("does not attribute the pauses of a slow caller to the engine", async () => {
      caller.acceptsWrites = false;
      await attempt.chunk(EVENT);
      await harness.timer.advance(3_000);
      caller.acceptsWrites = true;
      caller.drain();
      await receive(20);
      expect(predict()).to.be.closeTo(PAUSE_MILLISECONDS, 5);
    });

    // The parts of a large event arrive one after the other, and would look like
    // events that the link had delayed.
    it("measures events that arrive in parts", async () => {
      for (let count = 0; count < 20; count++) {
        await harness.timer.advance(2 * PAUSE_MILLISECONDS);
        await attempt.chunk(EVENT.slice(0, 4));
        await attempt.chunk(EVENT.slice(4));
      }
      expect(predict()).to.be.above(1.5 * PAUSE_MILLISECONDS);
    });

    // An engine whose last stream was aborted would seem silent for ever.
    for (const how of ["disconnects", "loses its engine"]) {
      it(`expects no more events if it ${how}`, async () => {
        if (how === "disconnects") caller.disconnect();
        else await attempt.end("cut");
        await harness.timer.advance(3_000);
        expect(predict()).to.be.closeTo(PAUSE_MILLISECONDS, 5);
      });
    }

    it("delays a short response while its engine exceeds the bound", async () => {
      const silence = 150;
      const sentAfter = async (milliseconds: number) => {
        await harness.timer.advance(milliseconds);
        return harness.sent.length;
      };
      const prompt = { ...makePrompt("bylaw"), mostOutputTokens: 2 };
      await harness.submit(makeRequest({ prompt }));
      await harness.timer.advance(silence);
      await harness.sent[1].respond("handle");
      expect(await sentAfter(5)).to.equal(2);
      expect(await sentAfter(60)).to.equal(3);
      const placed = harness.decisions.filter(({ step }) => step === "run");
      expect(placed[1].delayMilliseconds).to.be.within(20, 50);
      expect(placed[1].predictedPauseMilliseconds).to.be.above(silence);
    });
  });
});
