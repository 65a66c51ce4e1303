import { expect } from "chai";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import type { RecordingSink } from "../../../test/support/forwarding_harness.ts";
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

/** Response times of the requests of one kind. */
class ResponseTimes {
  asked = 0;
  readonly #firstByteTimes: number[] = [];

  answeredAfter(milliseconds: number): void {
    this.#firstByteTimes.push(milliseconds);
  }

  /** Share of the requests with a first byte within this time. */
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

/** Long summaries and short urgent prompts at the entries of a large fleet. */
class LargeFleet {
  readonly fleet: EntryFleet;
  readonly engines: SimulatedEngines;
  summaries = new ResponseTimes();
  urgent = new ResponseTimes();
  readonly #random = seededRandom(7);
  #lastId = 0;

  constructor(lossRate = 0) {
    this.fleet = new EntryFleet({
      entries: ENTRIES,
      zones: ZONES,
      lossRate,
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
    this.engines = new SimulatedEngines(this.fleet, { slots: SLOTS });
  }

  /** Resets the response times. */
  resetCounts(): void {
    this.summaries = new ResponseTimes();
    this.urgent = new ResponseTimes();
  }

  /** Sends the given number of each kind per second for this long. */
  async run({ milliseconds, summaries, urgent = 0 }: Load): Promise<void> {
    const { timer } = this.fleet;
    for (let passed = 0; passed < milliseconds; passed += 1) {
      if (this.#isDue(summaries)) this.#ask("summary", this.summaries);
      if (this.#isDue(urgent)) this.#ask("urgent", this.urgent);
      await timer.advance(1);
    }
    await timer.advance(TARGET_MILLISECONDS);
  }

  /** Kills every engine of the zone at once. */
  killZone(zone: number): void {
    for (let index = zone; index < ENGINE_COUNT; index += ZONES) {
      this.engines.kill(`engine-${index}`);
    }
  }

  /** Registers idle prefill engines with every entry; returns their ids. */
  join(count: number): string[] {
    const joined = Array.from(
      { length: count },
      (_, index) => makeLargeEngine(ENGINE_COUNT + index, "prefill"),
    );
    for (const { registry } of this.fleet.entries) {
      for (const engine of joined) registry.upsert(engine);
    }
    return joined.map(({ id }) => id);
  }

  #isDue(perSecond: number): boolean {
    return this.#random() < perSecond / 1_000;
  }

  #ask(kind: "summary" | "urgent", times: ResponseTimes): void {
    const { timer } = this.fleet;
    const at = timer.now();
    times.asked += 1;
    this.#lastId += 1;
    const isSummary = kind === "summary";
    const sink = this.fleet.submit(
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
      times.answeredAfter(timer.now() - at);
      head.apply(sink, given);
    };
  }
}

describe("A fleet of many entries", () => {
  // 68 entries place summaries on 34 engines. With reports alone each entry
  // knows the load of the others as of 0.4 s before, in which an engine
  // prefills a dozen prompts: all choose the same engines, prompts queue there,
  // and callers are answered late although other engines are idle.
  it("answers on time at two thirds of its prefill capacity", async () => {
    const large = new LargeFleet();
    await large.fleet.timer.advance(2_500);
    await large.run({ summaries: 700, milliseconds: 2_000 });
    expect(large.summaries.within(TARGET_MILLISECONDS)).to.be.at.least(0.9);
  }).timeout(60_000);

  // Datagrams are lost on congested or lossy links. An update that an owner
  // missed arrives with the next full report.
  it("answers on time if one datagram in twenty is lost", async () => {
    const large = new LargeFleet(0.05);
    await large.fleet.timer.advance(2_500);
    await large.run({ summaries: 700, milliseconds: 2_000 });
    expect(large.summaries.within(TARGET_MILLISECONDS)).to.be.at.least(0.9);
  }).timeout(60_000);

  // The partitioned entries own the load of a tenth of the engines. Queries to
  // them time out a few times, and then the other entries use the reports.
  it("degrades little when several entries are partitioned at once", async () => {
    const large = new LargeFleet();
    await large.fleet.timer.advance(2_500);
    for (let index = 0; index < 7; index++) large.fleet.partitioned.add(index);
    await large.run({ summaries: 700, milliseconds: 2_000 });
    expect(large.summaries.within(TARGET_MILLISECONDS)).to.be.at.least(0.8);
  }).timeout(60_000);

  // All engines of one zone fail in the same millisecond with open streams.
  // Urgent callers must not wait behind the summaries that are queued at the
  // remaining engines, and no summary may run twice.
  it("answers urgent callers on time when a zone fails", async () => {
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

  // Idle engines, half as many as the fleet has, join under load. Every entry
  // sees the same idle engines at the same time; if all chose them, prompts
  // would queue there while other engines are idle.
  it("does not overload idle engines that join", async () => {
    const large = new LargeFleet();
    await large.fleet.timer.advance(2_500);
    await large.run({ summaries: 700, milliseconds: 1_000 });
    const joined = large.join(ENGINE_COUNT / 2);
    large.resetCounts();
    await large.run({ summaries: 900, milliseconds: 2_000 });
    expect(large.summaries.within(TARGET_MILLISECONDS)).to.be.at.least(0.9);
    const most = joined.map((id) => large.engines.maxPrefillQueue.get(id) ?? 0);
    expect(Math.max(...most)).to.be.at.most(SLOTS);
    expect(most.filter((each) => each > 0).length)
      .to.be.at.least(joined.length / 2);
  }).timeout(60_000);
});
