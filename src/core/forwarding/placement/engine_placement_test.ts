import { expect } from "chai";
import {
  ENGINE_POOL,
  knownEstimates,
  makeEngine,
  makePool,
  makePrompt,
} from "../../../../test/support/forwarding_values.ts";
import { type AvailabilityZoneId, identifier } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  EndpointOutcomes,
  EnginePlacement,
  EngineSlowness,
  LoadPicture,
  PrefixDirectory,
  type RegisteredEndpoint,
} from "../mod.ts";

const PROMPT = makePrompt("subject");
const SHARED = PROMPT.parts.slice(0, 2);

describe("EnginePlacement", () => {
  let load: LoadPicture;
  let prefixes: PrefixDirectory;
  let placement: EnginePlacement;
  let engines: RegisteredEndpoint[];

  beforeEach(() => {
    const timer = new ManualTimerService();
    load = new LoadPicture(timer);
    prefixes = new PrefixDirectory();
    placement = new EnginePlacement({
      availabilityZone: identifier<AvailabilityZoneId>("zone-1"),
      load,
      prefixes,
      outcomes: new EndpointOutcomes(timer),
      estimates: knownEstimates(),
      slowness: new EngineSlowness(timer),
      random: () => 0.5,
    });
    engines = ["one", "two"].map((id) => makeEngine(id, "prefill"));
  });

  function keep(engine: RegisteredEndpoint, parts = SHARED): void {
    prefixes.read({ engine: engine.id, parts, memoryTokens: 200_000 });
  }

  function keepBusy(engine: RegisteredEndpoint, milliseconds: number): void {
    load.started(engine.id, { milliseconds, tokens: 0 });
  }

  const choose = () =>
    placement.choosePrefill(PROMPT, { engines, pool: ENGINE_POOL });

  // Operators name no speed of the engines' links. Taken for endless, the
  // hand-over is never in time and every caller with a long prompt is refused
  // while all engines stand idle.
  it("predicts a hand-over where no link speed is told", () => {
    const { engine } = ENGINE_POOL;
    const pool = makePool({
      ...ENGINE_POOL,
      engine: engine && { ...engine, linkMegabitsPerSecond: 0 },
    });
    expect(placement.handoverMilliseconds(PROMPT, pool)).to.be.within(1, 100);
  });

  describe("of engines that decode", () => {
    const maker = makeEngine("maker", "decode", { slots: 4 });

    function fill(requests: number, tokens: number): void {
      for (let count = 0; count < requests; count++) {
        load.started(maker.id, { milliseconds: 0, tokens });
      }
    }

    const chooseMaker = (pool = ENGINE_POOL, withRoom = true) =>
      placement.chooseDecode([maker], { prompt: PROMPT, pool, withRoom });

    // An engine queues a few requests itself and takes them up at once as
    // others end. Held back here an urgent answer would wait for the next look.
    it("sends on what has not waited, whatever the engine has open", () => {
      fill(9, 100_000);
      expect(chooseMaker(ENGINE_POOL, false)?.endpoint.id).to.equal("maker");
    });

    // All engines that decode were down and one is back while a hundred read
    // prompts wait. Sent at once they find no memory and their callers are
    // refused.
    it("gives no engine more than its slots and memory hold", () => {
      fill(3, 1_000);
      expect(chooseMaker()?.endpoint.id).to.equal("maker");
      fill(1, 1_000);
      expect(chooseMaker()).to.equal(undefined);
    });

    it("counts the memory that open requests take", () => {
      fill(1, 175_000);
      expect(chooseMaker()).to.equal(undefined);
    });

    it("goes by slots where nobody has told the memory", () => {
      const { engine } = ENGINE_POOL;
      fill(2, 175_000);
      const pool = makePool({
        ...ENGINE_POOL,
        engine: engine && { ...engine, memoryTokens: 0 },
      });
      expect(chooseMaker(pool)?.endpoint.id).to.equal("maker");
    });
  });

  describe("where the parts are kept by an engine that is free", () => {
    it("has that engine read the rest, and fetches nothing", () => {
      keep(engines[1]);
      const choice = choose();
      expect(choice?.endpoint.id).to.equal("two");
      expect(choice?.keptTokens).to.equal(6_000);
      expect(choice?.fetchFrom).to.equal(undefined);
    });
  });

  describe("where engines are in other availability zones", () => {
    const elsewhere = identifier<AvailabilityZoneId>("zone-2");

    it("prefers one of the entry's own zone to one that is as free", () => {
      engines = [
        makeEngine("far", "prefill", { availabilityZone: elsewhere }),
        makeEngine("near", "prefill"),
      ];
      expect(choose()?.endpoint.id).to.equal("near");
    });

    it("has parts read where they are kept all the same", () => {
      engines = [
        makeEngine("far", "prefill", { availabilityZone: elsewhere }),
        makeEngine("near", "prefill"),
      ];
      keep(engines[0]);
      expect(choose()?.endpoint.id).to.equal("far");
      expect(choose()?.fetchFrom).to.equal(undefined);
    });
  });

  // A subject is asked for by many callers at once. The engine that keeps its
  // parts has a queue; another one would read them again for 20 ms a prompt,
  // and the callers behind hear nothing in time.
  describe("where the engine that keeps the parts is busy", () => {
    it("has another one fetch them and read the rest", () => {
      keep(engines[1]);
      keepBusy(engines[1], 60);
      const choice = choose();
      expect(choice?.endpoint.id).to.equal("one");
      expect(choice?.fetchFrom?.id).to.equal("two");
      expect(choice?.keptTokens).to.equal(6_000);
      expect(choice?.workMilliseconds).to.be.below(15);
    });

    it("fetches from an engine that decodes, which keeps what it took over", () => {
      const decoder = makeEngine("decoder", "decode");
      engines.push(decoder);
      keep(decoder);
      const choice = choose();
      expect(choice?.endpoint.role).to.equal("prefill");
      expect(choice?.fetchFrom?.id).to.equal("decoder");
    });

    it("prefers the engine of its own availability zone as the source", () => {
      const near = makeEngine("near", "decode");
      const far = makeEngine("far", "decode", {
        availabilityZone: identifier<AvailabilityZoneId>("zone-2"),
      });
      engines.push(far, near);
      keep(far);
      keep(near);
      expect(choose()?.fetchFrom?.id).to.equal("near");
    });

    it("reads a small part again, which costs less than to wait for a link", () => {
      const prompt = makePrompt("subject", { shared: 900 });
      keep(engines[1], prompt.parts.slice(0, 2));
      keepBusy(engines[1], 60);
      const choice = placement.choosePrefill(prompt, {
        engines,
        pool: ENGINE_POOL,
      });
      expect(choice?.endpoint.id).to.equal("one");
      expect(choice?.fetchFrom).to.equal(undefined);
    });

    it("fetches nothing where the engines have no link that is known", () => {
      keep(engines[1]);
      keepBusy(engines[1], 60);
      const pool = makePool({
        engine: {
          memoryTokens: 200_000,
          cacheTokenBytes: 327_680,
          linkMegabitsPerSecond: 0,
        },
      });
      expect(placement.choosePrefill(PROMPT, { engines, pool })?.fetchFrom)
        .to.equal(undefined);
    });
  });
});
