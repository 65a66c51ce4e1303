import { expect } from "chai";
import {
  makeConfiguration,
  makeEndpoint,
  makeEngine,
} from "../../../test/support/forwarding_values.ts";
import { PrefixDirectory, type PromptPart } from "../../core/forwarding/mod.ts";
import { SILENT_LOGGER } from "../../core/observation/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { PrefixCacheSurvey } from "./prefix_cache_survey.ts";

const PARTS: readonly PromptPart[] = [{ id: "catalogue", tokens: 6_000 }];

describe("KeptPartsSurvey", () => {
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
      logger: SILENT_LOGGER,
      endpointClient: {
        listKept: ({ id }) => {
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

  // All entries are killed at once and start again. Without the engines' lists
  // every prompt goes to an engine that has to read its shared parts again.
  it("learns what an engine keeps when the entry has been restarted", async () => {
    const survey = makeSurvey();
    survey.onEngineSeen(engine);
    survey.onEngineSeen(engine);
    await timer.advance(100);
    expect(queried).to.deep.equal(["reader"]);
    expect(prefixes.keptTokens(engine.id, PARTS)).to.equal(6_000);
  });

  it("asks nobody where the engines have just been started as well", async () => {
    makeSurvey({ isNeeded: false }).onEngineSeen(engine);
    await timer.advance(100);
    expect(queried).to.deep.equal([]);
  });

  it("asks no engine that appears later, and no plain service", async () => {
    const survey = makeSurvey();
    survey.onEngineSeen(makeEndpoint("portal"));
    await timer.advance(5_000);
    survey.onEngineSeen(engine);
    await timer.advance(100);
    expect(queried).to.deep.equal([]);
  });

  it("goes on without an answer", async () => {
    makeSurvey({ answers: false }).onEngineSeen(engine);
    await timer.advance(100);
    expect(prefixes.keptTokens(engine.id, PARTS)).to.equal(0);
  });

  // Four hundred entries start again at once. Asked by each of them, an engine
  // does nothing else for as long.
  it("asks an engine from few entries of a large fleet", async () => {
    for (let entry = 0; entry < 400; entry++) {
      const random = seededRandom(1_000 + 7_919 * entry);
      const survey = new PrefixCacheSurvey({
        timer,
        random,
        logger: SILENT_LOGGER,
        endpointClient: {
          listKept: ({ id }) => {
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
