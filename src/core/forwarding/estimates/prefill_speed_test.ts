import { expect } from "chai";
import { type Random, seededRandom } from "../../random/mod.ts";
import { PrefillSpeed } from "./prefill_speed.ts";

const PROMPTS = 200;
const MAX_MEDIAN_ERROR = 0.15;
const PAIRS_PER_TOKEN_COST = 30;

/** Actual costs of a simulated engine, which the estimate has to find. */
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

/** Random prompts of three kinds, most with their shared parts cached. */
function randomPrompt(
  random: Random,
): { promptTokens: number; keptTokens: number } {
  const [shared, own] = [[13_300, 3_700], [6_300, 2_900], [350, 1_100]][
    Math.floor(random() * 3)
  ];
  const ownTokens = Math.max(50, Math.round(own * -Math.log(random())));
  return {
    promptTokens: shared + ownTokens,
    keptTokens: random() < 0.7 ? shared : 0,
  };
}

function medianError(
  speed: PrefillSpeed,
  engine: SimulatedEngine,
  random: Random,
): number {
  const errors = Array.from({ length: 201 }, () => {
    const { promptTokens, keptTokens } = randomPrompt(random);
    const actual = actualMilliseconds(engine, promptTokens, keptTokens);
    return Math.abs(
      speed.predictMilliseconds(promptTokens, keptTokens) / actual - 1,
    );
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
    const { promptTokens, keptTokens } = randomPrompt(random);
    speed.record({
      promptTokens,
      keptTokens,
      milliseconds: distort(
        actualMilliseconds(engine, promptTokens, keptTokens),
      ),
    });
  }
  return speed;
}

describe("PrefillSpeed", () => {
  // Engines of an unknown kind. Predicted at the speed of another kind,
  // responses would be late, or callers refused while engines are idle.
  for (const tokensPerMillisecond of [20, 61, 140, 310, 1_000]) {
    const engine = { tokensPerMillisecond, callMilliseconds: 4 };

    describe(`engines that prefill ${tokensPerMillisecond} tokens per ms`, () => {
      it("are predicted from their samples", () => {
        const random = seededRandom(101);
        const speed = learn(engine, (time) => time, random);
        expect(medianError(speed, engine, random)).to.be.below(0.05);
      });

      // Some prefills wait for a peer's prompt, and some parts that are assumed
      // to be cached have been evicted and are computed again.
      it("are predicted where a fifth of the samples took far longer", () => {
        const random = seededRandom(202);
        const distort = (time: number) =>
          time * (random() < 0.2 ? 2 + 6 * random() : 0.9 + 0.25 * random());
        const speed = learn(engine, distort, random);
        expect(medianError(speed, engine, random))
          .to.be.below(MAX_MEDIAN_ERROR);
      });
    });
  }

  it("is close after a dozen prompts", () => {
    const random = seededRandom(303);
    const engine = { tokensPerMillisecond: 20, callMilliseconds: 4 };
    const speed = new PrefillSpeed();
    for (let count = 0; count < 12; count++) {
      const { promptTokens, keptTokens } = randomPrompt(random);
      const milliseconds = actualMilliseconds(engine, promptTokens, keptTokens);
      speed.record({ promptTokens, keptTokens, milliseconds });
    }
    expect(medianError(speed, engine, random)).to.be.below(MAX_MEDIAN_ERROR);
  });

  it("always predicts a positive time", () => {
    const speed = new PrefillSpeed();
    for (let count = 0; count < 50; count++) {
      speed.record({ promptTokens: 1_000, keptTokens: 0, milliseconds: 0.01 });
    }
    expect(speed.predictMilliseconds(20_000, 0)).to.be.above(0);
    expect(speed.predictMilliseconds(20_000, 19_999)).to.be.above(0);
  });

  // An entry that has just started would otherwise predict from the prior while
  // its peers have learned the costs.
  it("uses the costs of peers until it has more samples", () => {
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
      const { promptTokens, keptTokens } = randomPrompt(random);
      speed.record({ promptTokens, keptTokens, milliseconds: 100 });
    }
    expect(speed.costs).to.not.equal(costs);
  });

  // Costs that are too high keep all prompts away, so that no sample of this
  // entry ever corrects them.
  it("drops costs that no peer repeats", () => {
    let now = 0;
    const speed = new PrefillSpeed(() => now);
    const expected = speed.predictMilliseconds(9_000, 0);
    speed.recordPeerCosts({
      callMilliseconds: 0,
      millisecondsPerToken: 1e15,
      millisecondsPerMillionAttentionPairs: 0,
    }, 96);
    expect(speed.predictMilliseconds(9_000, 0)).to.be.above(1e15);
    now += 3_001;
    speed.dropExpiredCosts();
    expect(speed.predictMilliseconds(9_000, 0)).to.equal(expected);
  });
});
