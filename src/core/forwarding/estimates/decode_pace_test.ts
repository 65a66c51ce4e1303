import { expect } from "chai";
import { makeEngine } from "../../../../test/support/forwarding_fixtures.ts";
import { seededRandom } from "../../random/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { FleetLoad, type OpenWork } from "../mod.ts";
import { DecodePace } from "./decode_pace.ts";

const ENGINE = makeEngine("one", "decode");
const NOTHING: OpenWork = { requests: 0, tokens: 0, prefillMilliseconds: 0 };

/** Pause of the engines in this test, in milliseconds. */
function pauseOf({ prefillMilliseconds, requests, tokens }: OpenWork): number {
  return 12 + 0.4 * requests + tokens / 10_000 + 0.8 * prefillMilliseconds;
}

describe("DecodePace", () => {
  let timer: ManualTimerService;
  let load: FleetLoad;
  let pace: DecodePace;

  beforeEach(() => {
    timer = new ManualTimerService();
    load = new FleetLoad(timer);
    pace = new DecodePace(timer, load);
  });

  function setWork(work: OpenWork, engine = ENGINE): void {
    load.recordOwnerReport(engine.id, work);
  }

  /** Records pauses under loads that vary independently. */
  function learn(samples = 400): void {
    const random = seededRandom(3);
    for (let count = 0; count < samples; count++) {
      const work = {
        requests: Math.round(30 * random()),
        tokens: 300_000 * random(),
        prefillMilliseconds: 40 * random(),
      };
      setWork(work);
      pace.record(ENGINE, { milliseconds: pauseOf(work) });
    }
    setWork(NOTHING);
  }

  const predict = (addition = NOTHING, engine = ENGINE) =>
    pace.predictPause(engine, addition);

  // Without samples a guess would move responses between equal engines.
  it("predicts nothing before the first samples", () => {
    expect(predict()).to.equal(undefined);
  });

  it("predicts the pause with one more response", () => {
    learn();
    const addition = { requests: 1, tokens: 9_000, prefillMilliseconds: 20 };
    setWork({ requests: 20, tokens: 150_000, prefillMilliseconds: 0 });
    const expected = pauseOf({
      requests: 21,
      tokens: 159_000,
      prefillMilliseconds: 20,
    });
    expect(predict(addition)).to.be.closeTo(expected, 0.05 * expected);
  });

  // A pool that always has the same load would get arbitrary slopes, and a
  // negative one would draw all responses to the engine with the most work.
  it("predicts no shorter pause for more work where the load never varied", () => {
    for (let count = 0; count < 100; count++) {
      setWork({ requests: 5, tokens: 50_000, prefillMilliseconds: 0 });
      pace.record(ENGINE, { milliseconds: count % 2 === 0 ? 38 : 42 });
    }
    expect(predict()).to.be.closeTo(40, 2);
    const more = { requests: 9, tokens: 90_000, prefillMilliseconds: 9 };
    expect(predict(more)).to.be.within(predict() as number, 80);
  });

  // Limited to a multiple of a prediction of 0, all later pauses would count as
  // 0 as well.
  it("recovers from a prediction of 0", () => {
    for (let count = 0; count < 32; count++) {
      pace.record(ENGINE, { milliseconds: 0 });
    }
    for (let count = 0; count < 2_000; count++) {
      pace.record(ENGINE, { milliseconds: 40 });
    }
    expect(predict()).to.be.closeTo(40, 5);
  });

  // An engine that stalls for a second must not shift the model of all engines.
  it("limits the weight of a single long pause", () => {
    learn();
    const before = predict(NOTHING, makeEngine("other", "decode")) as number;
    pace.record(ENGINE, { milliseconds: 5_000 });
    learn(16);
    expect(predict(NOTHING, makeEngine("other", "decode")))
      .to.be.closeTo(before, 2);
  });

  describe("for an engine that becomes slow", () => {
    beforeEach(() => {
      learn();
      for (let count = 0; count < 10; count++) {
        pace.record(ENGINE, { milliseconds: 3 * pauseOf(NOTHING) });
      }
    });

    it("predicts longer pauses there only", () => {
      expect(predict()).to.be.above(2 * pauseOf(NOTHING));
      expect(predict(NOTHING, makeEngine("other", "decode")))
        .to.be.closeTo(pauseOf(NOTHING), 3);
    });

    it("returns to the pool's pauses without new events", async () => {
      await timer.advance(5_000);
      expect(predict()).to.be.closeTo(pauseOf(NOTHING), 3);
    });

    it("starts without history once it has restarted", () => {
      pace.forget(ENGINE);
      expect(predict()).to.be.closeTo(pauseOf(NOTHING), 3);
    });
  });

  describe("from the events of a response", () => {
    const usual = pauseOf(NOTHING);

    beforeEach(() => learn());

    async function receive(
      stream: ReturnType<DecodePace["openStream"]>,
      pauses: readonly number[],
    ): Promise<void> {
      for (const milliseconds of pauses) {
        await timer.advance(milliseconds);
        stream.received();
      }
    }

    it("counts the silence of an engine that has stalled", async () => {
      const stream = pace.openStream(ENGINE);
      await receive(stream, [usual, usual]);
      await timer.advance(150);
      expect(predict()).to.equal(150);
      await receive(stream, [0, usual]);
      expect(predict()).to.be.below(2 * usual);
    });

    it("learns the pauses of a slow engine", async () => {
      await receive(
        pace.openStream(ENGINE),
        Array.from({ length: 10 }, () => 60),
      );
      expect(predict()).to.be.above(2 * usual);
    });

    // A link that was cut delivers the events that waited all at once.
    it("ignores a pause behind which the next events are ready", async () => {
      const stream = pace.openStream(ENGINE);
      await receive(stream, [usual, 900, 1, 1, 1, 400, 0, usual, usual]);
      await timer.advance(800);
      stream.received({ several: true });
      await receive(stream, [usual, usual]);
      expect(predict()).to.be.closeTo(usual, 0.2 * usual);
    });

    it("ignores the time in which a caller does not read", async () => {
      const stream = pace.openStream(ENGINE);
      await receive(stream, [usual, usual]);
      stream.suspend();
      await timer.advance(900);
      expect(predict()).to.be.closeTo(usual, 0.2 * usual);
      stream.resume();
      await receive(stream, [usual, usual]);
      expect(predict()).to.be.closeTo(usual, 0.2 * usual);
    });

    // Streams of the previous run end after the new run has registered.
    it("ignores the streams of a previous run", async () => {
      const stream = pace.openStream(ENGINE);
      await receive(stream, [usual, usual]);
      pace.forget(ENGINE);
      await receive(stream, Array.from({ length: 10 }, () => 90));
      stream.end({ whole: true });
      await timer.advance(500);
      expect(predict()).to.be.closeTo(usual, 0.2 * usual);
    });
  });
});
