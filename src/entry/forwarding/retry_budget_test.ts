import { expect } from "chai";
import {
  ForwardingBench,
  type SentAttempt,
} from "../../../test/support/forwarding_bench.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_values.ts";
import { identifier, type RequestId } from "../../core/identity/mod.ts";

/** The operators' limit on repeats, as the bench below is given it. */
const RATIO = 0.2;
const MINIMUM = 100;
const WINDOW_MILLISECONDS = 10_000;
const DEADLINE_MILLISECONDS = 6_000;

/** Something that has reached an engine, as the engine counts it. */
interface Arrival {
  readonly at: number;
  readonly request: string;
  /** True for the first reading of a prompt that was accepted. */
  isFree: boolean;
}

/** Counts what reaches the engines, from the engines' side. */
class ArrivalCounter {
  readonly requestTimes: number[] = [];
  readonly #arrivals: Arrival[] = [];
  readonly #read = new Set<string>();

  arrived(attempt: SentAttempt, at: number): Arrival {
    const arrival = { at, request: String(attempt.request.id), isFree: false };
    this.#arrivals.push(arrival);
    return arrival;
  }

  /** The engine has read the prompt and keeps its cache. */
  accepted(arrival: Arrival): void {
    arrival.isFree = !this.#read.has(arrival.request);
    this.#read.add(arrival.request);
  }

  /** Everything that has reached the engines, free or not. */
  get count(): number {
    return this.#arrivals.length;
  }

  /** Times of the arrivals beyond the first of their request. */
  get repeats(): number[] {
    const seen = new Set<string>();
    return this.#arrivals.filter(({ isFree, request }) => {
      if (isFree) return false;
      const isFirst = !seen.has(request);
      seen.add(request);
      return !isFirst;
    }).map(({ at }) => at);
  }

  /** By how many the worst span of a window's length exceeds the limit. */
  get worstExcess(): number {
    const { repeats } = this;
    return Math.max(
      ...repeats.map((from) => {
        const within = (at: number) =>
          at >= from && at < from + WINDOW_MILLISECONDS;
        const requests = Math.max(
          ...[0, 0.5, 1].map((back) =>
            this.requestTimes.filter((at) =>
              within(at + back * WINDOW_MILLISECONDS)
            ).length
          ),
        );
        return repeats.filter(within).length - (RATIO * requests + MINIMUM);
      }),
    );
  }
}

/** An entry before engines of which those that decode are played by a test. */
class RetryScenario {
  readonly arrivals = new ArrivalCounter();
  bench = this.#makeBench();
  /** What an engine that decodes does with a request. */
  decode: (attempt: SentAttempt) => void = (attempt) => void attempt.notRun();
  /** How long a prompt is read. */
  readMilliseconds = 40;
  #asked = 0;
  #elapsed = 0;

  /** An entry that has been up for as long as the limit looks back. */
  static async start(): Promise<RetryScenario> {
    const scenario = new RetryScenario();
    await scenario.bench.timer.advance(WINDOW_MILLISECONDS);
    return scenario;
  }

  /** `perSecond` long prompts a second come for so long. */
  async run(
    options: { readonly perSecond: number; readonly milliseconds: number },
  ): Promise<void> {
    const stepMilliseconds = 1_000 / options.perSecond;
    const steps = Math.round(options.milliseconds / stepMilliseconds);
    for (let step = 0; step < steps; step++) {
      await this.#ask();
      await this.bench.timer.advance(stepMilliseconds);
      this.#elapsed += stepMilliseconds;
    }
  }

  /** The entry's process is killed, and another one starts in its place. */
  restart(): void {
    this.bench.onSend = undefined;
    this.bench = this.#makeBench();
  }

  #makeBench(): ForwardingBench {
    const bench = new ForwardingBench(
      makeConfiguration({
        routes: [makeRoute({
          repeat: "stream",
          resumable: true,
          timeoutMilliseconds: DEADLINE_MILLISECONDS,
          shares: [{ pool: ENGINES, weight: 1 }],
        })],
      }),
      { repeats: MINIMUM },
    );
    const { registry } = bench.parts;
    for (let index = 0; index < 6; index++) {
      registry.put(makeEngine(`reader-${index}`, "prefill"));
    }
    registry.put(makeEngine("maker", "decode"));
    bench.onSend = (attempt) => this.#take(attempt);
    return bench;
  }

  async #ask(): Promise<void> {
    this.#asked += 1;
    this.arrivals.requestTimes.push(this.#elapsed);
    await this.bench.take(makeRequest({
      id: identifier<RequestId>(`request-${this.#asked}`),
      prompt: makePrompt(`subject-${this.#asked % 20}`),
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    }));
  }

  #take(attempt: SentAttempt): void {
    const arrival = this.arrivals.arrived(attempt, this.#elapsed);
    if (!attempt.options.prefillOnly) return this.decode(attempt);
    this.bench.timer.after(this.readMilliseconds, () => {
      if (attempt.aborted) return;
      this.arrivals.accepted(arrival);
      void attempt.answer("handle");
    });
  }
}

describe("repeats of requests against the limit of the fleet", () => {
  // All engines that decode but one are gone, and that one is full. Long
  // prompts were turned away by it four times within a tenth of a second and
  // read twice on the way. The repeats passed the limit of the fleet, took the
  // engines' time, and their callers were refused all the same. What the
  // entries counted was three of each four arrivals beyond the first.
  it("keep it while the last engine that decodes is full", async () => {
    const scenario = await RetryScenario.start();
    await scenario.run({ perSecond: 110, milliseconds: 12_000 });
    // Nearly all of the 1,320 requests were read and turned away at least once.
    expect(scenario.arrivals.count).to.be.greaterThan(2_400);
    expect(scenario.arrivals.worstExcess).to.be.at.most(0);
  });

  // Every request that an engine turns away is sent to it once more within a
  // few milliseconds, while the engine is as full as before. It takes repeats
  // that requests of a crashed engine need, and helps nobody.
  it("are not made at an engine that has just turned the request away", async () => {
    const scenario = await RetryScenario.start();
    await scenario.run({ perSecond: 110, milliseconds: 3_000 });
    // One of ten requests, where the fleet's limit allows 256 in ten seconds.
    expect(scenario.arrivals.repeats.length).to.be.below(0.1 * 330);
  });

  // The engine that decodes crashes with streams on it and is back at once. Each
  // stream goes on there once its prompt has been read anew, since the crashed
  // engine has taken the first cache over: two arrivals, of which the entry
  // asked for one and only noted the other. With as many streams as the limit
  // allowed to go on, the engines got twice as many repeats.
  it("are asked for also where a prompt is read anew", async () => {
    const scenario = await RetryScenario.start();
    const open: SentAttempt[] = [];
    scenario.decode = (attempt) => startStream(attempt, open);
    await scenario.run({ perSecond: 110, milliseconds: 10_000 });
    await breakStreams(open);
    await scenario.run({ perSecond: 110, milliseconds: 1_000 });
    expect(scenario.arrivals.repeats.length).to.be.greaterThan(0);
    expect(scenario.arrivals.worstExcess).to.be.at.most(0);
  });

  // The engine that decodes crashes with three seconds of streams on it. They
  // wait until it is back and go on there, 1.5 s after they were allowed to.
  // Ten seconds after the first crash it crashes again and is back at once.
  // Counted when they were allowed, the first ones are forgotten by then; the
  // engine gets both within nine seconds, and the repeats are beyond the limit.
  it("are counted when they are sent, not when they are allowed", async () => {
    const scenario = await RetryScenario.start();
    const open: SentAttempt[] = [];
    scenario.decode = (attempt) => startStream(attempt, open);
    await scenario.run({ perSecond: 110, milliseconds: 3_000 });
    scenario.decode = (attempt) => void attempt.fail("exchange_not_sent");
    await breakStreams(open);
    await scenario.run({ perSecond: 110, milliseconds: 1_500 });
    scenario.decode = (attempt) => startStream(attempt, open);
    await scenario.run({ perSecond: 110, milliseconds: 8_600 });
    await breakStreams(open);
    await scenario.run({ perSecond: 110, milliseconds: 1_000 });
    expect(scenario.arrivals.repeats.length).to.be.greaterThan(0);
    expect(scenario.arrivals.worstExcess).to.be.at.most(0);
  });

  // An entry uses up its part of the limit at a full engine and is killed. The
  // process that starts in its place knows nothing of that and has a part of
  // its own; an engine that is in trouble gets both.
  it("are not forgotten with the process that made them", async () => {
    const scenario = await RetryScenario.start();
    await scenario.run({ perSecond: 110, milliseconds: 4_000 });
    scenario.restart();
    await scenario.run({ perSecond: 110, milliseconds: 6_000 });
    expect(scenario.arrivals.worstExcess).to.be.at.most(0);
  });
});

/** An engine takes the request and goes on working on it. */
function startStream(attempt: SentAttempt, open: SentAttempt[]): void {
  open.push(attempt);
  void attempt.head();
}

/** The engine crashes: its streams break off. */
async function breakStreams(open: SentAttempt[]): Promise<void> {
  for (const attempt of open.splice(0)) await attempt.end("cut");
}
