import { expect } from "chai";
import {
  ForwardingHarness,
  type SentAttempt,
} from "../../../test/support/forwarding_harness.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import { identifier, type RequestId } from "../../core/identity/mod.ts";

/** Configured retry budget, as passed to the test harness. */
const RATIO = 0.2;
const MINIMUM = 100;
const WINDOW_MILLISECONDS = 10_000;
const DEADLINE_MILLISECONDS = 6_000;

/** An arrival at an engine, as the engine counts it. */
interface Arrival {
  readonly at: number;
  readonly request: string;
  /** True for the first accepted prefill of a prompt. */
  isFree: boolean;
}

/** Counts arrivals at the engines from the engines' side. */
class ArrivalCounter {
  readonly requestTimes: number[] = [];
  readonly #arrivals: Arrival[] = [];
  readonly #prefilled = new Set<string>();

  arrived(attempt: SentAttempt, at: number): Arrival {
    const arrival = { at, request: String(attempt.request.id), isFree: false };
    this.#arrivals.push(arrival);
    return arrival;
  }

  /** The engine has prefilled the prompt and keeps its cache. */
  accepted(arrival: Arrival): void {
    arrival.isFree = !this.#prefilled.has(arrival.request);
    this.#prefilled.add(arrival.request);
  }

  /** All arrivals at the engines, free or not. */
  get count(): number {
    return this.#arrivals.length;
  }

  /** Times of the arrivals after the first one of each request. */
  get retries(): number[] {
    const seen = new Set<string>();
    return this.#arrivals.filter(({ isFree, request }) => {
      if (isFree) return false;
      const isFirst = !seen.has(request);
      seen.add(request);
      return !isFirst;
    }).map(({ at }) => at);
  }

  /** Maximum excess over the budget in any span of one window. */
  get worstExcess(): number {
    const { retries } = this;
    return Math.max(
      ...retries.map((from) => {
        const within = (at: number) =>
          at >= from && at < from + WINDOW_MILLISECONDS;
        const requests = Math.max(
          ...[0, 0.5, 1].map((back) =>
            this.requestTimes.filter((at) =>
              within(at + back * WINDOW_MILLISECONDS)
            ).length
          ),
        );
        return retries.filter(within).length - (RATIO * requests + MINIMUM);
      }),
    );
  }
}

/** One entry and its engines, whose decode engine is controlled by the test. */
class RetryScenario {
  readonly arrivals = new ArrivalCounter();
  harness = this.#makeHarness();
  /** How the decode engine handles a request. */
  decode: (attempt: SentAttempt) => void = (attempt) =>
    void attempt.respondNotRun();
  /** Duration of a prefill. */
  prefillMilliseconds = 40;
  #asked = 0;
  #elapsed = 0;

  /** Creates an entry that has been up for a whole budget window. */
  static async start(): Promise<RetryScenario> {
    const scenario = new RetryScenario();
    await scenario.harness.timer.advance(WINDOW_MILLISECONDS);
    return scenario;
  }

  /** Sends `perSecond` long prompts a second for this long. */
  async run(
    options: { readonly perSecond: number; readonly milliseconds: number },
  ): Promise<void> {
    const stepMilliseconds = 1_000 / options.perSecond;
    const steps = Math.round(options.milliseconds / stepMilliseconds);
    for (let step = 0; step < steps; step++) {
      await this.#ask();
      await this.harness.timer.advance(stepMilliseconds);
      this.#elapsed += stepMilliseconds;
    }
  }

  /** Replaces the entry with a new process, as after a kill. */
  restart(): void {
    this.harness.onSend = undefined;
    this.harness = this.#makeHarness();
  }

  #makeHarness(): ForwardingHarness {
    const harness = new ForwardingHarness(
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
    const { registry } = harness.dependencies;
    for (let index = 0; index < 6; index++) {
      registry.upsert(makeEngine(`reader-${index}`, "prefill"));
    }
    registry.upsert(makeEngine("maker", "decode"));
    harness.onSend = (attempt) => this.#onSend(attempt);
    return harness;
  }

  async #ask(): Promise<void> {
    this.#asked += 1;
    this.arrivals.requestTimes.push(this.#elapsed);
    await this.harness.submit(makeRequest({
      id: identifier<RequestId>(`request-${this.#asked}`),
      prompt: makePrompt(`subject-${this.#asked % 20}`),
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    }));
  }

  #onSend(attempt: SentAttempt): void {
    const arrival = this.arrivals.arrived(attempt, this.#elapsed);
    if (!attempt.options.prefillOnly) return this.decode(attempt);
    this.harness.timer.after(this.prefillMilliseconds, () => {
      if (attempt.aborted) return;
      this.arrivals.accepted(arrival);
      void attempt.respond("handle");
    });
  }
}

describe("retries of requests within the budget of the fleet", () => {
  // All decode engines but one are gone, and that one is full. It rejected long
  // prompts four times within a tenth of a second, and each was prefilled
  // twice. The retries exceeded the fleet's budget and took the engines' time,
  // and the callers were refused anyway. The entries had counted three of every
  // four arrivals after the first.
  it("stay within it while the last decode engine is full", async () => {
    const scenario = await RetryScenario.start();
    await scenario.run({ perSecond: 110, milliseconds: 12_000 });
    // Nearly all of the 1,320 requests are prefilled and rejected at least
    // once.
    expect(scenario.arrivals.count).to.be.greaterThan(2_400);
    expect(scenario.arrivals.worstExcess).to.be.at.most(0);
  });

  // Every rejected request was sent to the same full engine again within a few
  // milliseconds. That uses retries that requests of a crashed engine need,
  // without any benefit.
  it("are not sent to an engine that has just rejected the request", async () => {
    const scenario = await RetryScenario.start();
    await scenario.run({ perSecond: 110, milliseconds: 3_000 });
    // One in ten requests; the fleet's budget allows 256 in ten seconds.
    expect(scenario.arrivals.retries.length).to.be.below(0.1 * 330);
  });

  // The decode engine crashes with open streams and restarts immediately. Each
  // stream resumes there after another prefill, since the crashed engine had
  // taken over the first cache. Those are two arrivals, of which the entry
  // requested only one from the budget and merely recorded the other. With as
  // many streams as the budget allowed, the engines got twice as many retries.
  it("include another prefill of a prompt", async () => {
    const scenario = await RetryScenario.start();
    const open: SentAttempt[] = [];
    scenario.decode = (attempt) => startStream(attempt, open);
    await scenario.run({ perSecond: 110, milliseconds: 10_000 });
    await breakStreams(open);
    await scenario.run({ perSecond: 110, milliseconds: 1_000 });
    expect(scenario.arrivals.retries.length).to.be.greaterThan(0);
    expect(scenario.arrivals.worstExcess).to.be.at.most(0);
  });

  // The decode engine crashes with three seconds of streams. They wait until it
  // recovers and resume 1.5 s after they were granted a retry. Ten seconds
  // after the first crash it crashes again and restarts immediately. If retries
  // counted when granted, the first ones would have expired by then; the engine
  // gets both within nine seconds, which exceeds the budget.
  it("count when they are sent, not when they are granted", async () => {
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
    expect(scenario.arrivals.retries.length).to.be.greaterThan(0);
    expect(scenario.arrivals.worstExcess).to.be.at.most(0);
  });

  // An entry uses up its share of the budget at a full engine and is killed.
  // The process that replaces it does not know that and has a share of its own,
  // so a failing engine gets both.
  it("still count after a restart of the process that sent them", async () => {
    const scenario = await RetryScenario.start();
    await scenario.run({ perSecond: 110, milliseconds: 4_000 });
    scenario.restart();
    await scenario.run({ perSecond: 110, milliseconds: 6_000 });
    expect(scenario.arrivals.worstExcess).to.be.at.most(0);
  });
});

/** The engine accepts the request and keeps its stream open. */
function startStream(attempt: SentAttempt, open: SentAttempt[]): void {
  open.push(attempt);
  void attempt.head();
}

/** The engine crashes, which breaks its streams. */
async function breakStreams(open: SentAttempt[]): Promise<void> {
  for (const attempt of open.splice(0)) await attempt.end("cut");
}
