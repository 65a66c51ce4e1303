import { expect } from "chai";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import { RecordingSink } from "../../../test/support/forwarding_bench.ts";
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
import { seededRandom } from "../../core/random/mod.ts";

const ENTRIES = 68;
const ENGINE_COUNT = 34;
const READERS = 24;
const ZONES = 5;
const SLOTS = 8;
const TARGET_MILLISECONDS = 200;
const SUBJECTS = 600;

/** Long summaries at entries and engines as a large fleet has them. */
class LargeFleet {
  readonly fleet: EntryFleet;
  readonly engines: PlayedEngines;
  readonly #random = seededRandom(7);
  readonly #waits: number[] = [];
  #asked = 0;

  constructor(lostShare = 0) {
    this.fleet = new EntryFleet({
      entries: ENTRIES,
      zones: ZONES,
      lostShare,
      configuration: makeConfiguration({
        routes: [makeRoute({
          repeat: "stream",
          mostAttempts: 1,
          targetMilliseconds: TARGET_MILLISECONDS,
          shares: [{ pool: ENGINES, weight: 1 }],
        })],
      }),
      endpoints: Array.from({ length: ENGINE_COUNT }, (_, index) =>
        makeEngine(
          `engine-${index}`,
          index % ENGINE_COUNT < READERS ? "prefill" : "decode",
          {
            slots: SLOTS,
            availabilityZone: identifier<AvailabilityZoneId>(
              `zone-${index % ZONES}`,
            ),
          },
        )),
    });
    this.engines = new PlayedEngines(this.fleet, { slots: SLOTS });
  }

  /** Share of the summaries that are answered on time. */
  get onTimeShare(): number {
    const onTime = this.#waits.filter((each) => each <= TARGET_MILLISECONDS);
    return onTime.length / this.#asked;
  }

  async run(
    { perSecond, milliseconds }: {
      readonly perSecond: number;
      readonly milliseconds: number;
    },
  ): Promise<void> {
    const { timer } = this.fleet;
    const end = timer.now() + milliseconds;
    while (timer.now() < end) {
      this.#ask();
      await timer.advance(1_000 / perSecond);
    }
    await timer.advance(TARGET_MILLISECONDS);
  }

  #ask(): void {
    const { timer } = this.fleet;
    const at = timer.now();
    this.#asked += 1;
    const sink = this.fleet.ask(
      Math.floor(ENTRIES * this.#random()),
      makeRequest({
        id: identifier<RequestId>(`request-${this.#asked}`),
        deadlineMilliseconds: 2_000,
        prompt: makePrompt(`s${Math.floor(SUBJECTS * this.#random())}`),
      }),
    );
    const { head } = sink;
    sink.head = (...given: Parameters<RecordingSink["head"]>) => {
      this.#waits.push(timer.now() - at);
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
    await large.run({ perSecond: 700, milliseconds: 2_000 });
    expect(large.onTimeShare).to.be.at.least(0.9);
  }).timeout(60_000);

  // Datagrams are lost, on links that are full or lossy. What an owner was not
  // told of, it hears with the next whole report.
  it("does so too where one datagram in twenty is lost", async () => {
    const large = new LargeFleet(0.05);
    await large.fleet.timer.advance(2_500);
    await large.run({ perSecond: 700, milliseconds: 2_000 });
    expect(large.onTimeShare).to.be.at.least(0.9);
  }).timeout(60_000);

  // Some entries freeze; they own a tenth of the engines' load. The others wait
  // for their word in vain a few times, and then go by the reports.
  it("loses little when entries are cut off at the same moment", async () => {
    const large = new LargeFleet();
    await large.fleet.timer.advance(2_500);
    for (let index = 0; index < 7; index++) large.fleet.cutOff.add(index);
    await large.run({ perSecond: 700, milliseconds: 2_000 });
    expect(large.onTimeShare).to.be.at.least(0.8);
  }).timeout(60_000);
});
