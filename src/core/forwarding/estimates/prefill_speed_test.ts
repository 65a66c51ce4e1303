import { expect } from "chai";
import { type Random, seededRandom } from "../../random/mod.ts";
import { PrefillSpeed } from "./prefill_speed.ts";

const PROMPTS = 200;
const MAX_MEDIAN_ERROR = 0.15;
const PAIRS_PER_TOKEN_COST = 30;

/** An engine as it is; the estimate has to find its figures. */
interface SimulatedEngine {
  readonly tokensPerMillisecond: number;
  readonly callMilliseconds: number;
}

function actualMilliseconds(
  engine: SimulatedEngine,
  promptTokens: number,
  keptTokens: number,
): number {
  const uncached = promptTokens - keptTokens;
  const pairs = uncached * (promptTokens - uncached / 2) / 1e6;
  return engine.callMilliseconds + uncached / engine.tokensPerMillisecond +
    PAIRS_PER_TOKEN_COST * pairs / engine.tokensPerMillisecond;
}

/** Prompts of three kinds, with shared parts that are mostly kept. */
function randomPrompt(random: Random): { promptTokens: number; kept: number } {
  const [shared, own] = [[13_300, 3_700], [6_300, 2_900], [350, 1_100]][
    Math.floor(random() * 3)
  ];
  const ownTokens = Math.max(50, Math.round(own * -Math.log(random())));
  return {
    promptTokens: shared + ownTokens,
    kept: random() < 0.7 ? shared : 0,
  };
}

function medianError(
  speed: PrefillSpeed,
  engine: SimulatedEngine,
  random: Random,
): number {
  const errors = Array.from({ length: 201 }, () => {
    const { promptTokens, kept } = randomPrompt(random);
    const actual = actualMilliseconds(engine, promptTokens, kept);
    return Math.abs(speed.predictMilliseconds(promptTokens, kept) / actual - 1);
  });
  return errors.sort((one, other) => one - other)[100];
}

function learn(
  engine: SimulatedEngine,
  distort: (milliseconds: number) => number,
  random: Random,
): PrefillSpeed {
  const speed = new PrefillSpeed();
  for (let count = 0; count < PROMPTS; count++) {
    const { promptTokens, kept } = randomPrompt(random);
    speed.took({
      promptTokens,
      keptTokens: kept,
      milliseconds: distort(actualMilliseconds(engine, promptTokens, kept)),
    });
  }
  return speed;
}

describe("ReadingSpeed", () => {
  // Engines of a kind that nobody has told of. With the speed of another kind
  // every caller is promised an answer on time and gets it late, or is refused
  // while engines stand idle.
  for (const tokensPerMillisecond of [20, 61, 140, 310, 1_000]) {
    const engine = { tokensPerMillisecond, callMilliseconds: 4 };

    describe(`engines that read ${tokensPerMillisecond} tokens a ms`, () => {
      it("are predicted from what was seen", () => {
        const random = seededRandom(101);
        const speed = learn(engine, (time) => time, random);
        expect(medianError(speed, engine, random)).to.be.below(0.05);
      });

      // Some answers wait behind a peer's prompt, and some parts that are taken
      // for kept have been dropped and are read again.
      it("are predicted where a fifth of the answers took far longer", () => {
        const random = seededRandom(202);
        const distort = (time: number) =>
          time * (random() < 0.2 ? 2 + 6 * random() : 0.9 + 0.25 * random());
        const speed = learn(engine, distort, random);
        expect(medianError(speed, engine, random))
          .to.be.below(MAX_MEDIAN_ERROR);
      });
    });
  }

  it("is near after a dozen prompts", () => {
    const random = seededRandom(303);
    const engine = { tokensPerMillisecond: 20, callMilliseconds: 4 };
    const speed = new PrefillSpeed();
    for (let count = 0; count < 12; count++) {
      const { promptTokens, kept } = randomPrompt(random);
      const milliseconds = actualMilliseconds(engine, promptTokens, kept);
      speed.took({ promptTokens, keptTokens: kept, milliseconds });
    }
    expect(medianError(speed, engine, random)).to.be.below(MAX_MEDIAN_ERROR);
  });

  it("never predicts nothing, or less", () => {
    const speed = new PrefillSpeed();
    for (let count = 0; count < 50; count++) {
      speed.took({ promptTokens: 1_000, keptTokens: 0, milliseconds: 0.01 });
    }
    expect(speed.predictMilliseconds(20_000, 0)).to.be.above(0);
    expect(speed.predictMilliseconds(20_000, 19_999)).to.be.above(0);
  });

  // An entry that has just been started would promise by the prior while its
  // peers know the engines.
  it("goes by what peers have learned until it has seen as much", () => {
    const costs = {
      callMilliseconds: 2,
      millisecondsPerToken: 1 / 20,
      millisecondsPerMillionAttentionPairs: 1,
    };
    const speed = new PrefillSpeed();
    speed.recordPeerCosts(costs, 40);
    expect(speed.costs).to.equal(costs);
    const random = seededRandom(404);
    for (let count = 0; count < 41; count++) {
      const { promptTokens, kept } = randomPrompt(random);
      speed.took({ promptTokens, keptTokens: kept, milliseconds: 100 });
    }
    expect(speed.costs).to.not.equal(costs);
  });
});
