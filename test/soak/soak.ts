import { seededRandom } from "../../src/core/random/mod.ts";
import { SmallDeployment } from "../support/small_deployment.ts";
import { type Bookings, bookUntil, streamUntil, Tally } from "./callers.ts";
import { SoakFaultInjector } from "./faults.ts";

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly entries: number;
  readonly engines: number;
  readonly services: number;
}

export interface SoakResult {
  readonly counts: ReadonlyMap<string, number>;
  readonly faults: number;
  /**
   * Streams that differ from the expected answer or ended without all of it.
   */
  readonly wrong: number;
  /** Number of keys whose booking ran more than once. */
  readonly doubled: number;
  /** Number of keys that were answered without a run. */
  readonly invented: number;
  /** Output of processes that logged a programming error. */
  readonly crashes: readonly string[];
}

const STREAM_CALLERS = 8;
const BOOKING_CALLERS = 4;
/** Time without faults at the end, in which open requests can complete. */
const FAULT_FREE_SECONDS = 8;
const KEY_LENGTH = 36;
const CRASH_PATTERN = /TypeError|ReferenceError|Unhandled|ERR_[A-Z_]+\b/;

/**
 * Runs callers against the complete system as processes under random faults:
 * sides and entries are killed, stopped and suspended, and the log fails.
 */
export async function soak(options: SoakOptions): Promise<SoakResult> {
  const deployment = new SmallDeployment();
  try {
    await deployment.start({
      ...options,
      engine: { millisecondsBetweenTokens: 10 },
    });
    return await run(deployment, options);
  } finally {
    await deployment.close();
  }
}

async function run(
  deployment: SmallDeployment,
  options: SoakOptions,
): Promise<SoakResult> {
  const random = seededRandom(options.seed);
  const tally = new Tally();
  const bookings: Bookings = new Map();
  const injector = new SoakFaultInjector({
    deployment,
    random,
    onFault: (name) => tally.add(`fault: ${name}`),
  });
  const entryUrl = () => {
    const { entries } = deployment;
    const healthy = entries.filter((each) => !injector.unhealthy.has(each));
    const candidates = healthy.length > 0 ? healthy : entries;
    return candidates[Math.floor(random() * candidates.length)].url;
  };
  const end = performance.now() + options.seconds * 1000;
  const caller = { random, entryUrl, tally };
  await Promise.all([
    injector.runUntil(end - FAULT_FREE_SECONDS * 1000),
    ...Array.from(
      { length: STREAM_CALLERS },
      (_, index) => streamUntil(end, { ...caller, name: `caller-${index}` }),
    ),
    ...Array.from(
      { length: BOOKING_CALLERS },
      () => bookUntil(end, { ...caller, bookings }),
    ),
  ]);
  return await evaluate(deployment, { tally, bookings });
}

async function evaluate(
  deployment: SmallDeployment,
  observed: { tally: Tally; bookings: Bookings },
): Promise<SoakResult> {
  const { tally, bookings } = observed;
  const runs = await runsByKey(deployment);
  const keys = [...bookings.keys()];
  const faults = [...tally.counts].filter(([name]) => name.startsWith("fault"));
  return {
    counts: tally.counts,
    faults: faults.reduce((sum, [, count]) => sum + count, 0),
    wrong: tally.count("stream wrong"),
    doubled: keys.filter((key) => (runs.get(key) ?? 0) > 1).length,
    invented: keys.filter((key) => bookings.get(key) && !runs.has(key)).length,
    crashes: crashesOf(deployment),
  };
}

/** Number of runs of each key, as counted by the services. */
async function runsByKey(
  deployment: SmallDeployment,
): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  for (const { url } of deployment.services) {
    const answer = await fetch(`${url}/control`);
    const { runs } = await answer.json() as { runs: Record<string, number> };
    for (const [scoped, count] of Object.entries(runs)) {
      const key = scoped.slice(-KEY_LENGTH);
      counts.set(key, (counts.get(key) ?? 0) + count);
    }
  }
  return counts;
}

function crashesOf(deployment: SmallDeployment): string[] {
  const sides = [...deployment.engines, ...deployment.services].map((each) =>
    each.side
  );
  const entries = deployment.entries.map((each) => each.process);
  return [...sides, ...entries].map((each) => each.output())
    .filter((output) => CRASH_PATTERN.test(output))
    .map((output) => output.slice(-2_000));
}
