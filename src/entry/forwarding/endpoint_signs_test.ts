import { expect } from "chai";
import {
  ForwardingBench,
  type SentAttempt,
} from "../../../test/support/forwarding_bench.ts";
import {
  makeConfiguration,
  makeEndpoint,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_values.ts";
import type { AnswerHead, Route } from "../../core/forwarding/mod.ts";
import { identifier, type RequestId } from "../../core/identity/mod.ts";

const REPLICAS = ["a", "b", "c"];
const STEP_MILLISECONDS = 20;

/** An entry before replicas of a plain service; one has something to say. */
class SignsPlay {
  readonly bench: ForwardingBench;
  /** What a replica adds to the head of its answers. */
  readonly signs = new Map<string, Partial<AnswerHead>>();
  #count = 0;

  constructor(route: Partial<Route> = {}) {
    this.bench = new ForwardingBench(
      makeConfiguration({ routes: [makeRoute(route)] }),
    );
    for (const id of REPLICAS) this.bench.parts.registry.put(makeEndpoint(id));
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
    return await this.bench.take(makeRequest({ id }));
  }

  async #answer(attempt: SentAttempt): Promise<void> {
    const head = this.signs.get(String(attempt.options.endpoint)) ?? {};
    await attempt.answer("done", head);
  }
}

describe("what an endpoint says of itself in its answers", () => {
  describe("that it leaves", () => {
    it("stops requests to it while the store says nothing", async () => {
      const play = new SignsPlay();
      play.signs.set("a", { leaving: true });
      expect(await play.run(1_000)).to.include("a");
      expect(await play.run(5_000)).not.to.include("a");
    });
  });

  describe("that it is overloaded", () => {
    it("stops requests to it until the time is over", async () => {
      const play = new SignsPlay();
      const overloaded = {
        status: 503,
        notRun: true,
        retryAfterMilliseconds: 3_000,
      };
      for (const id of REPLICAS) play.signs.set(id, overloaded);
      await play.run(200);
      play.signs.clear();
      expect(await play.run(2_500)).to.deep.equal([]);
      await play.bench.timer.advance(500);
      expect(new Set(await play.run(1_000))).to.have.keys(REPLICAS);
    });
  });
});
