import { expect } from "chai";
import {
  ForwardingBench,
  type SentAttempt,
} from "../../../test/support/forwarding_bench.ts";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_values.ts";
import type {
  AnswerHead,
  ForwardedRequest,
  RegisteredEndpoint,
  Route,
} from "../../core/forwarding/mod.ts";
import {
  identifier,
  numbered,
  type ReplicaStart,
  type RequestId,
} from "../../core/identity/mod.ts";

const REPLICAS = ["a", "b", "c"];
const STEP_MILLISECONDS = 20;

interface SignsPlayOptions {
  readonly route?: Partial<Route>;
  readonly endpoints?: readonly RegisteredEndpoint[];
  /** What the request with this number holds. */
  readonly valuesOf?: (count: number) => Partial<ForwardedRequest>;
}

/** An entry before replicas of a plain service; one has something to say. */
class SignsPlay {
  readonly bench: ForwardingBench;
  /** What a replica adds to the head of its answers. */
  readonly signs = new Map<string, Partial<AnswerHead>>();
  readonly #valuesOf: (count: number) => Partial<ForwardedRequest>;
  #count = 0;

  constructor(options: SignsPlayOptions = {}) {
    const { endpoints = portals(), route, valuesOf = () => ({}) } = options;
    this.#valuesOf = valuesOf;
    this.bench = new ForwardingBench(
      makeConfiguration({ routes: [makeRoute(route)] }),
    );
    for (const each of endpoints) this.bench.parts.registry.put(each);
    this.bench.onSend = (attempt) => void this.#answer(attempt);
  }

  /** Requests come one after another for so long; gives where each was sent. */
  async run(milliseconds: number): Promise<string[]> {
    const before = this.bench.sent.length;
    for (let at = 0; at < milliseconds; at += STEP_MILLISECONDS) {
      await this.ask();
      await this.bench.timer.advance(STEP_MILLISECONDS);
    }
    return this.bench.sent.slice(before)
      .map(({ options }) => String(options.endpoint));
  }

  async ask() {
    this.#count += 1;
    const id = identifier<RequestId>(`request-${this.#count}`);
    return await this.bench.take(
      makeRequest({ id, ...this.#valuesOf(this.#count) }),
    );
  }

  async #answer(attempt: SentAttempt): Promise<void> {
    const head = this.signs.get(String(attempt.options.endpoint)) ?? {};
    await attempt.answer("done", head);
  }
}

function portals(): RegisteredEndpoint[] {
  return REPLICAS.map((id) => makeEndpoint(id));
}

/** The same with long prompts before engines. */
function promptPlay(): SignsPlay {
  return new SignsPlay({
    route: { repeat: "stream", shares: [{ pool: ENGINES, weight: 1 }] },
    endpoints: [
      ...["r1", "r2"].map((id) => makeEngine(id, "prefill")),
      ...["d1", "d2"].map((id) => makeEngine(id, "decode")),
    ],
    valuesOf: (count) => ({ prompt: makePrompt(`subject-${count}`) }),
  });
}

describe("what an endpoint says of itself in its answers", () => {
  describe("that it leaves", () => {
    it("stops requests to it while the store says nothing", async () => {
      const play = new SignsPlay();
      play.signs.set("a", { leaving: true });
      expect(await play.run(1_000)).to.include("a");
      expect(await play.run(5_000)).not.to.include("a");
    });

    it("stops them although older registrations are read after it", async () => {
      const play = new SignsPlay();
      play.signs.set("a", { leaving: true });
      await play.run(1_000);
      play.bench.parts.registry.put(makeEndpoint("a"));
      play.bench.parts.registry.replaceAll(
        portals(),
      );
      expect(await play.run(1_000)).not.to.include("a");
    });

    it("holds where its registration lapses before the answer and is back", async () => {
      const play = new SignsPlay();
      const startedAt = numbered<ReplicaStart>(7);
      const endpoint = makeEndpoint("a", { startedAt });
      const { registry } = play.bench.parts;
      play.bench.onSend = undefined;
      registry.replaceAll([endpoint]);
      await play.ask();
      registry.remove(endpoint.id);
      await play.bench.sent[0].answer("done", { leaving: true });
      registry.put(endpoint);
      const caller = await play.ask();
      expect(play.bench.sent).to.have.length(1);
      expect(caller.status).to.equal(503);
    });

    it("is taken from a rejection too", async () => {
      const play = new SignsPlay();
      play.signs.set("a", { leaving: true, status: 503, notRun: true });
      expect(await play.run(1_000)).to.include("a");
      expect(await play.run(3_000)).not.to.include("a");
    });

    it("is taken from the reading of a prompt too", async () => {
      const play = promptPlay();
      play.signs.set("r1", { leaving: true });
      expect(await play.run(1_000)).to.include("r1");
      expect(await play.run(1_000)).not.to.include("r1");
    });

    it("ends with the run that said so", async () => {
      const play = new SignsPlay();
      play.signs.set("a", { leaving: true });
      await play.run(1_000);
      play.signs.clear();
      const startedAt = numbered<ReplicaStart>(7);
      play.bench.parts.registry.put(makeEndpoint("a", { startedAt }));
      expect(await play.run(1_000)).to.include("a");
    });

    it("is known to the other entries as well", async () => {
      const fleet = new EntryFleet({
        entries: 5,
        zones: 1,
        configuration: makeConfiguration(),
        endpoints: portals(),
      });
      const sent = new Set<string>();
      let leaving = false;
      fleet.onSend = (attempt) => {
        const endpoint = String(attempt.options.endpoint);
        sent.add(endpoint);
        const says = leaving && endpoint === "a";
        void attempt.answer("done", { leaving: says });
      };
      const ask = async (entry: number) => {
        for (let index = 0; index < 20; index++) {
          fleet.ask(entry, makeRequest());
          await fleet.timer.advance(5);
        }
      };
      leaving = true;
      await ask(0);
      expect(sent).to.include("a");
      sent.clear();
      for (const entry of fleet.entries.keys()) await ask(entry);
      expect(sent).not.to.include("a");
    });
  });

  describe("that it is overloaded", () => {
    it("stops requests to it until the time is over", async () => {
      const play = new SignsPlay();
      for (const id of REPLICAS) play.signs.set(id, overloadedFor(3_000));
      await play.run(200);
      play.signs.clear();
      expect(await play.run(2_500)).to.deep.equal([]);
      await play.bench.timer.advance(500);
      expect(new Set(await play.run(1_000))).to.have.keys(REPLICAS);
    });

    it("leaves its requests to the others", async () => {
      const play = new SignsPlay();
      play.signs.set("a", overloadedFor(2_000));
      await play.run(500);
      const callers = [await play.ask(), await play.ask(), await play.ask()];
      expect(callers.map(({ status }) => status)).to.deep.equal([
        200,
        200,
        200,
      ]);
      expect(await play.run(1_000)).not.to.include("a");
    });

    it("refuses a caller at once who would have left before its end", async () => {
      const play = new SignsPlay();
      for (const id of REPLICAS) play.signs.set(id, overloadedFor(3_000));
      await play.run(200);
      const sentBefore = play.bench.sent.length;
      const { refusal } = await play.ask();
      expect(refusal?.status).to.equal(503);
      expect(refusal?.retryAfterMilliseconds).to.be.within(2_700, 3_300);
      expect(play.bench.sent).to.have.length(sentBefore);
    });

    it("is not taken for replicas that refuse connections", async () => {
      const play = new SignsPlay();
      play.bench.onSend = (attempt) => void attempt.fail("exchange_not_sent");
      await play.run(200);
      const { refusal } = await play.ask();
      expect(refusal?.reason).to.equal("no_endpoint_reachable");
    });

    it("lets a caller wait for its end who can still be answered", async () => {
      const play = new SignsPlay();
      for (const id of REPLICAS) play.signs.set(id, overloadedFor(400));
      await play.run(100);
      play.signs.clear();
      const caller = await play.ask();
      expect(caller.status).to.equal(undefined);
      await play.bench.timer.advance(500);
      expect(caller.status).to.equal(200);
    });

    it("stops readings of prompts at an engine", async () => {
      const play = promptPlay();
      play.signs.set("r1", overloadedFor(2_000));
      expect(await play.run(500)).to.include("r1");
      expect(await play.run(1_000)).not.to.include("r1");
    });

    it("stops answers by an engine", async () => {
      const play = promptPlay();
      play.signs.set("d1", overloadedFor(2_000));
      expect(await play.run(500)).to.include("d1");
      expect(await play.run(1_000)).not.to.include("d1");
    });

    it("has no prompt read that nobody could answer in time", async () => {
      const play = promptPlay();
      for (const id of ["d1", "d2"]) play.signs.set(id, overloadedFor(9_000));
      await play.run(500);
      const sentBefore = play.bench.sent.length;
      const { refusal } = await play.ask();
      expect(refusal?.status).to.equal(503);
      expect(play.bench.sent).to.have.length(sentBefore);
    });

    it("puts off freeing a kept prompt at the engine", async () => {
      const { bench } = promptPlay();
      const run = bench.take(makeRequest({ prompt: makePrompt("subject") }));
      bench.onSend = undefined;
      await run;
      const [reading] = bench.sent;
      await reading.answer("handle");
      bench.parts.outcomes.overloaded(reading.options.endpoint, 3_000);
      (await run).leave();
      await bench.timer.advance(2_900);
      expect(bench.released).to.deep.equal([]);
      await bench.timer.advance(200);
      expect(bench.released).to.deep.equal(["handle"]);
    });
  });
});

/** The head by which an overloaded endpoint turns a request away. */
function overloadedFor(milliseconds: number): Partial<AnswerHead> {
  return { status: 503, notRun: true, retryAfterMilliseconds: milliseconds };
}
