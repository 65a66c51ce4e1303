import { expect } from "chai";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import type { RecordingSink } from "../../../test/support/forwarding_harness.ts";
import { PacedEngines } from "../../../test/support/paced_engines.ts";
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
import { seededRandom } from "../../core/random/mod.ts";

const ENTRIES = 8;
const ZONES = 3;
const STREAM_TARGET_MILLISECONDS = 155;
const STREAMS_PER_SECOND = 60;
const PROMPTS_PER_SECOND = 200;
const LOAD_MILLISECONDS = 6_000;
/** Time until the entries know each other. */
const START_MILLISECONDS = 2_500;

interface Scenario {
  readonly decodeEngines: number;
  readonly prefillEngines: number;
  readonly tokensPerMillisecond: number;
  /** Factors on the time of the decode engines, in turn. */
  readonly slowdowns?: readonly number[];
}

/** What the callers of the streams see. */
interface StreamResult {
  /** Fraction with the first event on time. */
  readonly firstOnTime: number;
  /** Pause that 99 % of the pauses stay below, milliseconds. */
  readonly longPause: number;
}

/** Streams and long prompts; pauses are bounded if `workFactor` is reported. */
async function run(
  scenario: Scenario,
  workFactor?: number,
): Promise<StreamResult> {
  const route = (name: string, rank: number, targetMilliseconds: number) =>
    makeRoute({
      name,
      rank,
      targetMilliseconds,
      pathPrefix: `/${name}/`,
      repeat: "stream",
      timeoutMilliseconds: 15_500,
      maxPauseMilliseconds: 200,
      shares: [{ pool: ENGINES, weight: 1 }],
    });
  const engines = (role: "decode" | "prefill", count: number) =>
    Array.from(
      { length: count },
      (_, index) =>
        makeEngine(`${role}-${index}`, role, {
          slots: 64,
          availabilityZone: identifier<AvailabilityZoneId>(
            `zone-${index % ZONES}`,
          ),
        }),
    );
  const fleet = new EntryFleet({
    entries: ENTRIES,
    zones: ZONES,
    configuration: makeConfiguration({
      routes: [
        route("stream", 0, STREAM_TARGET_MILLISECONDS),
        route("long", 2, 514),
      ],
    }),
    endpoints: [
      ...engines("decode", scenario.decodeEngines),
      ...engines("prefill", scenario.prefillEngines),
    ],
  });
  const { slowdowns = [1], tokensPerMillisecond } = scenario;
  const paced = new PacedEngines(fleet, { tokensPerMillisecond, workFactor });
  for (let index = 0; index < scenario.decodeEngines; index++) {
    paced.slowdowns.set(
      `decode-${index}`,
      slowdowns[index % slowdowns.length],
    );
  }
  await fleet.timer.advance(START_MILLISECONDS);
  const random = seededRandom(7);
  const streamTimes: number[][] = [];
  let requests = 0;
  function submit(name: "stream" | "long", tokens: number): RecordingSink {
    const id = `request-${requests++}`;
    const prompt = makePrompt(id, { shared: 0, own: tokens });
    const mostOutputTokens = name === "stream" ? 72 : 2;
    return fleet.submit(
      requests % ENTRIES,
      makeRequest({
        id: identifier<RequestId>(id),
        target: `/${name}/`,
        prompt: { ...prompt, mostOutputTokens },
        deadlineMilliseconds: name === "stream" ? undefined : 2_055,
      }),
    );
  }
  const { timer } = fleet;
  const end = timer.now() + LOAD_MILLISECONDS;
  function repeat(perSecond: number, send: () => void): void {
    if (timer.now() >= end) return;
    send();
    const milliseconds = -Math.log(1 - random()) * 1_000 / perSecond;
    timer.after(milliseconds, () => repeat(perSecond, send));
  }
  repeat(STREAMS_PER_SECOND, () => {
    const times = [timer.now()];
    streamTimes.push(times);
    submit("stream", 220).write = () => times.push(timer.now()) > 0;
  });
  repeat(PROMPTS_PER_SECOND, () => {
    submit("long", Math.round(9_190 * (0.6 + 0.8 * random())));
  });
  await timer.advance(LOAD_MILLISECONDS + 8_000);
  for (const entry of fleet.entries) entry.close();
  const pauses = streamTimes.flatMap((times) =>
    times.slice(2).map((time, index) => time - times[index + 1])
  ).sort((one, other) => one - other);
  const onTime = streamTimes.filter(([arrived, first]) =>
    first - arrived <= STREAM_TARGET_MILLISECONDS
  );
  return {
    firstOnTime: onTime.length / streamTimes.length,
    longPause: pauses[Math.floor(0.99 * pauses.length)],
  };
}

describe("streams beside long prompts", () => {
  // The decode engines prefilled half of the long prompts themselves, between
  // the tokens of their streams.
  it("are not interrupted by inline prefills", async () => {
    const scenario = {
      decodeEngines: 6,
      prefillEngines: 10,
      tokensPerMillisecond: 400,
    };
    const before = await run(scenario);
    const result = await run(scenario, 1);
    expect(result.firstOnTime).to.be.above(0.98);
    expect(result.longPause).to.be.below(0.75 * before.longPause);
  });

  // All long prompts are handed over. By the count of open requests, slow
  // engines got as much work as fast ones.
  it("pause for less time on engines of different speeds", async () => {
    const scenario = {
      decodeEngines: 6,
      prefillEngines: 24,
      tokensPerMillisecond: 180,
      slowdowns: [0.7, 1, 1.5],
    };
    const before = await run(scenario);
    const result = await run(scenario, 1);
    expect(result.longPause).to.be.below(0.85 * before.longPause);
    expect(result.firstOnTime).to.be.above(0.98);
  });
});
