import { expect } from "chai";
import {
  ENGINE_POOL,
  knownEstimates,
  makeEngine,
  makePool,
  makePrompt,
} from "../../../../test/support/forwarding_fixtures.ts";
import { type AvailabilityZoneId, identifier } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  DecodePace,
  EndpointAvailability,
  EnginePlacement,
  EngineSlowness,
  FleetLoad,
  PrefixDirectory,
  type RegisteredEndpoint,
  type StreamPauses,
} from "../mod.ts";

const PROMPT = makePrompt("subject");
const SHARED = PROMPT.parts.slice(0, 2);

describe("EnginePlacement", () => {
  let load: FleetLoad;
  let prefixes: PrefixDirectory;
  let timer: ManualTimerService;
  let pace: DecodePace;
  let placement: EnginePlacement;
  let engines: RegisteredEndpoint[];

  beforeEach(() => {
    timer = new ManualTimerService();
    load = new FleetLoad(timer);
    prefixes = new PrefixDirectory();
    pace = new DecodePace(timer, load);
    placement = new EnginePlacement({
      availabilityZone: identifier<AvailabilityZoneId>("zone-1"),
      load,
      prefixes,
      availability: new EndpointAvailability(timer),
      estimates: knownEstimates(),
      slowness: new EngineSlowness(timer),
      pace,
      random: () => 0.5,
    });
    engines = ["one", "two"].map((id) => makeEngine(id, "prefill"));
  });

  function cachePrefix(engine: RegisteredEndpoint, parts = SHARED): void {
    prefixes.recordCached({ engine: engine.id, parts, memoryTokens: 200_000 });
  }

  function addBacklog(engine: RegisteredEndpoint, milliseconds: number): void {
    load.started(engine.id, { milliseconds, tokens: 0 });
  }

  const choosePrefill = () =>
    placement.choosePrefill(PROMPT, { engines, pool: ENGINE_POOL });

  // The link speed of the engines is not configured. If the transfer counted as
  // infinite, every long prompt would be refused while all engines are idle.
  it("predicts a finite handover where the link speed is unknown", () => {
    const { engine } = ENGINE_POOL;
    const pool = makePool({
      ...ENGINE_POOL,
      engine: engine && { ...engine, linkMegabitsPerSecond: 0 },
    });
    expect(placement.handoverMilliseconds(PROMPT, pool)).to.be.within(1, 100);
  });

  describe("choosing between an inline prefill and a handover", () => {
    /** Engines that prefill 310 tokens per millisecond, and decode one half. */
    const needsHandover = (inputTokens: number, maxPause?: number) =>
      placement.needsHandover({ ...PROMPT, inputTokens }, {
        pool: ENGINE_POOL,
        targetMilliseconds: 514,
        inlineLimits: maxPause === undefined
          ? undefined
          : { maxPauseMilliseconds: maxPause, decodeEngines: 1 },
      });

    // Prefills of 40 ms on a decode engine caused most pauses above 200 ms in
    // the streams there.
    it("hands over a prompt that would add to the pauses of open streams", () => {
      expect(needsHandover(6_000, 200)).to.equal(true);
      expect(needsHandover(220, 200)).to.equal(false);
    });

    // Each of these takes 13 ms only, but a hundred of them a second would leave
    // the engine no time for its streams.
    it("hands over the longer prompts where there are too many", () => {
      const first = needsHandover(2_000, 200);
      for (let count = 0; count < 20; count++) needsHandover(2_000, 200);
      expect(first).to.equal(false);
      expect(needsHandover(2_000, 200)).to.equal(true);
      expect(needsHandover(220, 200)).to.equal(false);
    });

    it("is limited by the target alone where pauses are not bounded", () => {
      expect(needsHandover(6_000)).to.equal(false);
      expect(needsHandover(9_000)).to.equal(true);
    });
  });

  describe("choosing a decode engine", () => {
    const decodeEngine = makeEngine("maker", "decode", { slots: 4 });

    function openRequests(requests: number, tokens: number): void {
      for (let count = 0; count < requests; count++) {
        load.started(decodeEngine.id, { milliseconds: 0, tokens });
      }
    }

    const chooseDecode = (pool = ENGINE_POOL, requiresCapacity = true) =>
      placement.chooseDecode([decodeEngine], {
        prompt: PROMPT,
        pool,
        requiresCapacity,
      });

    // An engine queues a few requests itself and starts them as others end.
    // Held back in the entry, an urgent response would wait for the next check.
    it("ignores the capacity for requests that have not waited", () => {
      openRequests(9, 100_000);
      expect(chooseDecode(ENGINE_POOL, false)?.endpoint.id).to.equal("maker");
    });

    // All decode engines were down, and one recovers while a hundred prefilled
    // prompts wait. Sent at once, they would exceed its memory and be rejected.
    it("gives no engine more than its slots and memory hold", () => {
      openRequests(3, 1_000);
      expect(chooseDecode()?.endpoint.id).to.equal("maker");
      openRequests(1, 1_000);
      expect(chooseDecode()).to.equal(undefined);
    });

    it("counts the memory that open requests use", () => {
      openRequests(1, 175_000);
      expect(chooseDecode()).to.equal(undefined);
    });

    it("is limited by slots alone where the memory size is unknown", () => {
      const { engine } = ENGINE_POOL;
      openRequests(2, 175_000);
      const pool = makePool({
        ...ENGINE_POOL,
        engine: engine && { ...engine, memoryTokens: 0 },
      });
      expect(chooseDecode(pool)?.endpoint.id).to.equal("maker");
    });
  });

  describe("choosing a decode engine under a bound on pauses", () => {
    const decodeEngines = ["one", "two"].map((id) => makeEngine(id, "decode"));
    const USUAL_MILLISECONDS = 20;

    const chosen = (maxPauseMilliseconds?: number) =>
      placement.chooseDecode(decodeEngines, {
        prompt: PROMPT,
        pool: ENGINE_POOL,
        cacheZone: decodeEngines[0].availabilityZone,
        maxPauseMilliseconds,
      });

    /** Both engines deliver events, except for the silent ones. */
    async function run(milliseconds: number, silent?: string): Promise<void> {
      const end = timer.now() + milliseconds;
      while (timer.now() < end) {
        await timer.advance(USUAL_MILLISECONDS);
        for (const [index, stream] of streams.entries()) {
          if (decodeEngines[index].id !== silent) stream.received();
        }
      }
    }

    let streams: StreamPauses[];

    beforeEach(async () => {
      streams = decodeEngines.map((engine) => pace.openStream(engine));
      await run(1_000);
    });

    // An engine is slow for 200 ms and then another one. Responses sent to it
    // meanwhile would have their first pause there.
    it("moves away from an engine that stalls, and comes back", async () => {
      load.started(decodeEngines[1].id);
      for (const [silent, other] of [["one", "two"], ["two", "one"]]) {
        await run(200, silent);
        expect(chosen(200)?.endpoint.id).to.equal(other);
        await run(200);
        expect(chosen(200)?.endpoint.id).to.equal("one");
      }
    });

    it("counts open requests where pauses are not bounded", async () => {
      load.started(decodeEngines[1].id);
      await run(200, "one");
      expect(chosen()?.endpoint.id).to.equal("one");
    });

    it("reports which engines would exceed the bound", () => {
      expect(chosen(200)).to.deep.include({ exceedsMaxPause: false });
      expect(chosen(15)).to.deep.include({ exceedsMaxPause: true });
    });
  });

  describe("where a free engine has the shared parts cached", () => {
    it("chooses that engine and fetches nothing", () => {
      cachePrefix(engines[1]);
      const choice = choosePrefill();
      expect(choice?.endpoint.id).to.equal("two");
      expect(choice?.keptTokens).to.equal(6_000);
      expect(choice?.fetchFrom).to.equal(undefined);
    });
  });

  describe("where engines are in other availability zones", () => {
    const otherZone = identifier<AvailabilityZoneId>("zone-2");

    it("prefers the entry's own zone between equally free engines", () => {
      engines = [
        makeEngine("far", "prefill", { availabilityZone: otherZone }),
        makeEngine("near", "prefill"),
      ];
      expect(choosePrefill()?.endpoint.id).to.equal("near");
    });

    it("prefers cached parts to the entry's own zone", () => {
      engines = [
        makeEngine("far", "prefill", { availabilityZone: otherZone }),
        makeEngine("near", "prefill"),
      ];
      cachePrefix(engines[0]);
      expect(choosePrefill()?.endpoint.id).to.equal("far");
      expect(choosePrefill()?.fetchFrom).to.equal(undefined);
    });
  });

  // Many callers ask for one subject at once, and the engine with its parts has
  // a queue. Another engine would need 20 ms per prompt to recompute them,
  // which makes the responses behind late.
  describe("where the engine with the cached parts is busy", () => {
    it("chooses another one that fetches them and computes the rest", () => {
      cachePrefix(engines[1]);
      addBacklog(engines[1], 60);
      const choice = choosePrefill();
      expect(choice?.endpoint.id).to.equal("one");
      expect(choice?.fetchFrom?.id).to.equal("two");
      expect(choice?.keptTokens).to.equal(6_000);
      expect(choice?.workMilliseconds).to.be.below(15);
    });

    it("fetches from a decode engine that cached the parts earlier", () => {
      const decodeEngine = makeEngine("decoder", "decode");
      engines.push(decodeEngine);
      cachePrefix(decodeEngine);
      const choice = choosePrefill();
      expect(choice?.endpoint.role).to.equal("prefill");
      expect(choice?.fetchFrom?.id).to.equal("decoder");
    });

    it("prefers a source in the engine's own availability zone", () => {
      const near = makeEngine("near", "decode");
      const far = makeEngine("far", "decode", {
        availabilityZone: identifier<AvailabilityZoneId>("zone-2"),
      });
      engines.push(far, near);
      cachePrefix(far);
      cachePrefix(near);
      expect(choosePrefill()?.fetchFrom?.id).to.equal("near");
    });

    it("recomputes a small part, which is cheaper than a fetch", () => {
      const prompt = makePrompt("subject", { shared: 900 });
      cachePrefix(engines[1], prompt.parts.slice(0, 2));
      addBacklog(engines[1], 60);
      const choice = placement.choosePrefill(prompt, {
        engines,
        pool: ENGINE_POOL,
      });
      expect(choice?.endpoint.id).to.equal("one");
      expect(choice?.fetchFrom).to.equal(undefined);
    });

    it("fetches nothing where the link speed is unknown", () => {
      cachePrefix(engines[1]);
      addBacklog(engines[1], 60);
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
