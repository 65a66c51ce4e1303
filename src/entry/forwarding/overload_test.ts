import { expect } from "chai";
import {
  ForwardingHarness,
  type RecordingSink,
} from "../../../test/support/forwarding_harness.ts";
import { SimulatedEngines } from "../../../test/support/simulated_engines.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import {
  EngineEstimates,
  type ForwardedRequest,
} from "../../core/forwarding/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";

const TARGET_MILLISECONDS = 150;
const SUMMARY_DEADLINE_MILLISECONDS = 2_000;

/** Outcomes of the requests of one kind. */
interface Outcomes {
  onTime: number;
  late: number;
  refused: number;
  /** Refusals later than 100 ms after arrival. */
  refusedLate: number;
}

function noOutcomes(): Outcomes {
  return { onTime: 0, late: 0, refused: 0, refusedLate: 0 };
}

interface OverloadScenarioOptions {
  /** The entry's initial speed estimates of the engines. */
  readonly estimates?: EngineEstimates;
  readonly tokensPerMillisecond?: number;
  readonly targetMilliseconds?: number;
}

/**
 * Simulates long summaries and short urgent prompts against seven prefill
 * engines and three decode engines.
 */
class OverloadScenario {
  readonly harness: ForwardingHarness;
  readonly engines: SimulatedEngines;
  readonly summaries = noOutcomes();
  readonly urgent = noOutcomes();
  readonly #random = seededRandom(5);
  readonly #targetMilliseconds: number;

  constructor(options: OverloadScenarioOptions = {}) {
    const { estimates, targetMilliseconds = TARGET_MILLISECONDS } = options;
    this.#targetMilliseconds = targetMilliseconds;
    const shares = [{ pool: ENGINES, weight: 1 }];
    this.harness = new ForwardingHarness(
      makeConfiguration({
        routes: [
          makeRoute({
            name: "summary",
            pathPrefix: "/summary/",
            repeat: "stream",
            mostAttempts: 1,
            targetMilliseconds,
            shares,
          }),
          makeRoute({
            name: "urgent",
            pathPrefix: "/urgent/",
            repeat: "stream",
            rank: 1,
            timeoutMilliseconds: 15_000,
            targetMilliseconds,
            shares,
          }),
        ],
      }),
      { estimates },
    );
    this.engines = new SimulatedEngines(this.harness, options);
    const { registry } = this.harness.dependencies;
    for (let index = 0; index < 10; index++) {
      const role = index < 7 ? "prefill" : "decode";
      registry.upsert(makeEngine(`engine-${index}`, role));
    }
  }

  /**
   * Sends `perSecond` summaries and 20 urgent prompts a second for this long.
   */
  async run(options: {
    readonly perSecond: number;
    readonly seconds: number;
  }): Promise<void> {
    const { perSecond, seconds } = options;
    const steps = seconds * 100;
    for (let step = 0; step < steps; step++) {
      const due = Math.floor((step + 1) * perSecond / 100) -
        Math.floor(step * perSecond / 100);
      for (let index = 0; index < due; index++) await this.#ask("summary");
      if (step % 5 === 0) await this.#ask("urgent");
      await this.harness.timer.advance(10);
    }
    await this.harness.timer.advance(SUMMARY_DEADLINE_MILLISECONDS);
  }

  async #ask(kind: "summary" | "urgent"): Promise<void> {
    const outcomes = kind === "summary" ? this.summaries : this.urgent;
    const at = this.harness.timer.now();
    const sink = await this.harness.submit(this.#request(kind));
    const seen = { refused: false, headed: false };
    const check = () => {
      this.#note(sink, {
        outcomes,
        after: this.harness.timer.now() - at,
        seen,
      });
    };
    check();
    const polling = this.harness.timer.every(5, () => {
      check();
      if (seen.headed || seen.refused) polling.cancel();
    });
  }

  #request(kind: "summary" | "urgent"): ForwardedRequest {
    const subject = `s${Math.floor(600 * this.#random())}`;
    const isSummary = kind === "summary";
    const prompt = makePrompt(
      isSummary ? subject : "urgent",
      isSummary ? {} : { shared: 80, own: 140 },
    );
    return makeRequest({
      target: `/${kind}/x`,
      deadlineMilliseconds: isSummary ? SUMMARY_DEADLINE_MILLISECONDS : 15_000,
      prompt,
    });
  }

  #note(
    sink: RecordingSink,
    context: {
      readonly outcomes: Outcomes;
      readonly after: number;
      readonly seen: { refused: boolean; headed: boolean };
    },
  ): void {
    const { outcomes, after, seen } = context;
    if (seen.refused || seen.headed) return;
    if (sink.refusal !== undefined) {
      seen.refused = true;
      outcomes.refused += 1;
      if (after > 100) outcomes.refusedLate += 1;
    } else if (sink.body !== "") {
      seen.headed = true;
      if (after <= this.#targetMilliseconds) outcomes.onTime += 1;
      else outcomes.late += 1;
    }
  }
}

describe("forward under load", () => {
  it("answers everything on time at half of the prefill capacity", async () => {
    const scenario = new OverloadScenario();
    await scenario.run({ perSecond: 150, seconds: 2 });
    expect(scenario.summaries).to.deep.equal({ ...noOutcomes(), onTime: 300 });
    expect(scenario.urgent).to.deep.equal({ ...noOutcomes(), onTime: 40 });
  });

  // Twice as many summaries arrive as the engines can prefill. If they were
  // served in order, every response would be late after a second, and urgent
  // prompts would wait behind them.
  it("keeps answering on time in an overload, and refuses the rest immediately", async () => {
    const scenario = new OverloadScenario();
    await scenario.run({ perSecond: 700, seconds: 3 });
    const { summaries, urgent, engines } = scenario;
    const asked = 700 * 3;
    expect(urgent).to.deep.equal({ ...noOutcomes(), onTime: 60 });
    expect(summaries.onTime).to.be.greaterThan(0.4 * asked);
    expect(summaries.refused).to.be.greaterThan(0);
    expect(summaries.refusedLate).to.be.lessThan(0.02 * asked);
    // Refusals must not leave the engines idle.
    expect(engines.prefillMilliseconds).to.be.greaterThan(0.85 * 7 * 3_000);
  });

  // Engines prefill five times slower than the default estimate, and more
  // summaries arrive than they can serve. By that estimate too many are
  // admitted: of 540 callers 192 are answered on time, 153 late, and 105 are
  // held before they are refused. With the speed learned from responses it is
  // 229, 85 and 17.
  it("answers on time on engines of unknown speed", async () => {
    const scenario = new OverloadScenario({
      estimates: new EngineEstimates(),
      tokensPerMillisecond: 61,
      targetMilliseconds: 500,
    });
    await scenario.run({ perSecond: 180, seconds: 3 });
    expect(scenario.summaries.onTime).to.be.greaterThan(0.4 * 540);
    expect(scenario.summaries.late).to.be.lessThan(0.2 * 540);
    expect(scenario.summaries.refusedLate).to.be.lessThan(0.05 * 540);
  });
});
