import { expect } from "chai";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import type { RecordingSink } from "../../../test/support/forwarding_bench.ts";
import { PlayedEngines } from "../../../test/support/forwarding_engines.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_values.ts";
import {
  type AvailabilityZoneId,
  identifier,
  type RequestId,
} from "../../core/identity/mod.ts";
import type { Route } from "../../core/forwarding/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";

const ENTRIES = 68;
const ENGINE_COUNT = 34;
const PREFILL_ENGINES = 24;
const ZONES = 5;
const SLOTS = 8;
const TARGET_MILLISECONDS = 200;
const SUBJECTS = 600;
const URGENT_TARGET_MILLISECONDS = 120;

/** What became of the requests of one kind. */
class ResponseTimes {
  asked = 0;
  readonly #firstByteTimes: number[] = [];

  answeredAfter(milliseconds: number): void {
    this.#firstByteTimes.push(milliseconds);
  }

  /** Share of the requests whose first byte came within so long. */
  within(milliseconds: number): number {
    const inTime = this.#firstByteTimes.filter((each) => each <= milliseconds);
    return inTime.length / this.asked;
  }
}

interface Load {
  readonly summaries: number;
  readonly urgent?: number;
  readonly milliseconds: number;
}

function route(values: Partial<Route>): Route {
  return makeRoute({
    repeat: "stream",
    mostAttempts: 1,
    targetMilliseconds: TARGET_MILLISECONDS,
    shares: [{ pool: ENGINES, weight: 1 }],
    ...values,
  });
}

function makeLargeEngine(index: number, role: "prefill" | "decode") {
  return makeEngine(`engine-${index}`, role, {
    slots: SLOTS,
    availabilityZone: identifier<AvailabilityZoneId>(`zone-${index % ZONES}`),
  });
}

/** Long summaries and short urgent prompts at a large fleet's entries. */
class LargeFleet {
  readonly fleet: EntryFleet;
  readonly engines: PlayedEngines;
  summaries = new ResponseTimes();
  urgent = new ResponseTimes();
  readonly #random = seededRandom(7);
  #lastId = 0;

  constructor(lostShare = 0) {
    this.fleet = new EntryFleet({
      entries: ENTRIES,
      zones: ZONES,
      lostShare,
      configuration: makeConfiguration({
        routes: [
          route({ name: "summary", pathPrefix: "/summary/" }),
          route({
            name: "urgent",
            pathPrefix: "/urgent/",
            rank: 1,
            mostAttempts: 2,
            resumable: true,
            timeoutMilliseconds: 15_000,
          }),
        ],
      }),
      endpoints: Array.from(
        { length: ENGINE_COUNT },
        (_, index) =>
          makeLargeEngine(
            index,
            index < PREFILL_ENGINES ? "prefill" : "decode",
          ),
      ),
    });
    this.engines = new PlayedEngines(this.fleet, { slots: SLOTS });
  }

  /** Counts anew from here on. */
  resetCounts(): void {
    this.summaries = new ResponseTimes();
    this.urgent = new ResponseTimes();
  }

  /** So many a second of each for so long. */
  async run({ milliseconds, summaries, urgent = 0 }: Load): Promise<void> {
    const { timer } = this.fleet;
    for (let passed = 0; passed < milliseconds; passed += 1) {
      if (this.#isDue(summaries)) this.#ask("summary", this.summaries);
      if (this.#isDue(urgent)) this.#ask("urgent", this.urgent);
      await timer.advance(1);
    }
    await timer.advance(TARGET_MILLISECONDS);
  }

  /** Every engine of the zone dies in this moment. */
  killZone(zone: number): void {
    for (let index = zone; index < ENGINE_COUNT; index += ZONES) {
      this.engines.kill(`engine-${index}`);
    }
  }

  /** Empty engines that read register with every entry; gives their ids. */
  join(count: number): string[] {
    const joined = Array.from(
      { length: count },
      (_, index) => makeLargeEngine(ENGINE_COUNT + index, "prefill"),
    );
    for (const { registry } of this.fleet.entries) {
      for (const engine of joined) registry.put(engine);
    }
    return joined.map(({ id }) => id);
  }

  #isDue(perSecond: number): boolean {
    return this.#random() < perSecond / 1_000;
  }

  #ask(kind: "summary" | "urgent", waits: ResponseTimes): void {
    const { timer } = this.fleet;
    const at = timer.now();
    waits.asked += 1;
    this.#lastId += 1;
    const isSummary = kind === "summary";
    const sink = this.fleet.ask(
      Math.floor(ENTRIES * this.#random()),
      makeRequest({
        id: identifier<RequestId>(`request-${this.#lastId}`),
        target: `/${kind}/x`,
        deadlineMilliseconds: isSummary ? 2_000 : 15_000,
        prompt: isSummary
          ? makePrompt(`s${Math.floor(SUBJECTS * this.#random())}`)
          : makePrompt("urgent", { shared: 80, own: 140 }),
      }),
    );
    const { head } = sink;
    sink.head = (...given: Parameters<RecordingSink["head"]>) => {
      waits.answeredAfter(timer.now() - at);
      head.apply(sink, given);
    };
  }
}

describe("A fleet of many entries", () => {
  // Sixty-eight entries place summaries on thirty-four engines. By reports
  // alone each knows what the others had open 0.4 s before, in which an engine
  // reads a dozen prompts: all take the same engines for free, prompts wait
  // there behind each other, and callers are answered late beside idle engines.
  it("answers on time at two thirds of what its engines can read", async () => {
    const large = new LargeFleet();
    await large.fleet.timer.advance(2_500);
    await large.run({ summaries: 700, milliseconds: 2_000 });
    expect(large.summaries.within(TARGET_MILLISECONDS)).to.be.at.least(0.9);
  }).timeout(60_000);

  // Datagrams are lost, on links that are full or lossy. What an owner was not
  // told of, it hears with the next whole report.
  it("does so too where one datagram in twenty is lost", async () => {
    const large = new LargeFleet(0.05);
    await large.fleet.timer.advance(2_500);
    await large.run({ summaries: 700, milliseconds: 2_000 });
    expect(large.summaries.within(TARGET_MILLISECONDS)).to.be.at.least(0.9);
  }).timeout(60_000);

  // Some entries freeze; they own a tenth of the engines' load. The others wait
  // for their word in vain a few times, and then go by the reports.
  it("loses little when entries are cut off at the same moment", async () => {
    const large = new LargeFleet();
    await large.fleet.timer.advance(2_500);
    for (let index = 0; index < 7; index++) large.fleet.cutOff.add(index);
    await large.run({ summaries: 700, milliseconds: 2_000 });
    expect(large.summaries.within(TARGET_MILLISECONDS)).to.be.at.least(0.8);
  }).timeout(60_000);

  // All engines of one zone die in the same millisecond, with streams open on
  // them. Urgent callers must not wait behind the summaries that crowd on the
  // engines that are left, and no summary may run twice.
  it("answers urgent callers on time beside a hall that dies", async () => {
    const large = new LargeFleet();
    await large.fleet.timer.advance(2_500);
    await large.run({ summaries: 400, urgent: 15, milliseconds: 1_500 });
    large.killZone(0);
    await large.run({ summaries: 400, urgent: 15, milliseconds: 600 });
    large.resetCounts();
    await large.run({ summaries: 400, urgent: 15, milliseconds: 2_000 });
    expect(large.urgent.within(URGENT_TARGET_MILLISECONDS)).to.be.at.least(
      0.95,
    );
    expect(large.summaries.within(TARGET_MILLISECONDS)).to.be.at.least(0.85);
    expect(Math.max(...large.engines.runs.values())).to.be.at.most(2);
  }).timeout(60_000);

  // Half of the fleet's size joins empty under load. Every entry sees the same
  // idle engines in the same moment; if all went there, prompts would wait at
  // them while the others stand idle.
  it("does not crowd on empty engines that join", async () => {
    const large = new LargeFleet();
    await large.fleet.timer.advance(2_500);
    await large.run({ summaries: 700, milliseconds: 1_000 });
    const joined = large.join(ENGINE_COUNT / 2);
    large.resetCounts();
    await large.run({ summaries: 900, milliseconds: 2_000 });
    expect(large.summaries.within(TARGET_MILLISECONDS)).to.be.at.least(0.9);
    const most = joined.map((id) => large.engines.mostReadings.get(id) ?? 0);
    expect(Math.max(...most)).to.be.at.most(SLOTS);
    expect(most.filter((each) => each > 0).length)
      .to.be.at.least(joined.length / 2);
  }).timeout(60_000);
});
