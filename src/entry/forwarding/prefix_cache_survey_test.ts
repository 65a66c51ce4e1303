import { expect } from "chai";
import {
  makeConfiguration,
  makeEndpoint,
  makeEngine,
} from "../../../test/support/forwarding_fixtures.ts";
import { PrefixDirectory, type PromptPart } from "../../core/forwarding/mod.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { PrefixCacheSurvey } from "./prefix_cache_survey.ts";

const PARTS: readonly PromptPart[] = [{ id: "catalogue", tokens: 6_000 }];

describe("PrefixCacheSurvey", () => {
  const engine = makeEngine("reader", "prefill");
  let timer: ManualTimerService;
  let prefixes: PrefixDirectory;
  let queried: string[];

  function makeSurvey(
    { entries = 4, isNeeded = true, answers = true } = {},
  ): PrefixCacheSurvey {
    return new PrefixCacheSurvey({
      timer,
      random: seededRandom(77),
      logger: NOOP_LOGGER,
      endpointClient: {
        listCachedParts: ({ id }) => {
          queried.push(id);
          return Promise.resolve(answers ? PARTS : undefined);
        },
      },
      prefixes,
      configuration: () => makeConfiguration(),
      entries: () => entries,
      isNeeded,
    });
  }

  beforeEach(() => {
    timer = new ManualTimerService();
    prefixes = new PrefixDirectory();
    queried = [];
  });

  // All entries are killed at once and restart. Without the lists of the
  // engines every prompt goes to an engine that has to prefill its shared parts
  // again.
  it("reads an engine's cached parts after a restart of the entry", async () => {
    const survey = makeSurvey();
    survey.onEngineSeen(engine);
    survey.onEngineSeen(engine);
    await timer.advance(100);
    expect(queried).to.deep.equal(["reader"]);
    expect(prefixes.keptTokens(engine.id, PARTS)).to.equal(6_000);
  });

  it("sends no query if the engines have just started as well", async () => {
    makeSurvey({ isNeeded: false }).onEngineSeen(engine);
    await timer.advance(100);
    expect(queried).to.deep.equal([]);
  });

  it("queries no engine that appears later, and no plain service", async () => {
    const survey = makeSurvey();
    survey.onEngineSeen(makeEndpoint("portal"));
    await timer.advance(5_000);
    survey.onEngineSeen(engine);
    await timer.advance(100);
    expect(queried).to.deep.equal([]);
  });

  it("tolerates a missing answer", async () => {
    makeSurvey({ answers: false }).onEngineSeen(engine);
    await timer.advance(100);
    expect(prefixes.keptTokens(engine.id, PARTS)).to.equal(0);
  });

  // 400 entries restart at once. If each of them queried an engine, it could do
  // no other work meanwhile.
  it("queries an engine from few entries of a large fleet", async () => {
    for (let entry = 0; entry < 400; entry++) {
      const random = seededRandom(1_000 + 7_919 * entry);
      const survey = new PrefixCacheSurvey({
        timer,
        random,
        logger: NOOP_LOGGER,
        endpointClient: {
          listCachedParts: ({ id }) => {
            queried.push(id);
            return Promise.resolve(PARTS);
          },
        },
        prefixes,
        configuration: () => makeConfiguration(),
        entries: () => 400,
        isNeeded: true,
      });
      survey.onEngineSeen(engine);
    }
    await timer.advance(100);
    expect(queried.length).to.be.within(1, 25);
  });
});
