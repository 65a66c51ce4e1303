/** Slopes of the built binary: CPU time, resident memory and traffic. */
import process from "node:process";
import { builtBinary } from "../test/support/built_binary.ts";
import { ENDPOINTS_PER_POOL } from "./bench_region.ts";
import { EntryHost } from "./entry_host.ts";
import { EntryUnderTest } from "./entry_under_test.ts";
import {
  measureProcess,
  type ProcessRates,
  realTimeSleep,
} from "./process_stats.ts";
import type { Series } from "./slope_fit.ts";

const WINDOW_MILLISECONDS = 6_000;
/** Every attached side completes one long poll within this window. */
const LONG_POLL_WINDOW_MILLISECONDS = 15_000;
/** Time for start-up, claims and initial JIT compilation. */
const SETTLE_MILLISECONDS = 6_000;

type MeasuredSizes = readonly { x: number; rates: ProcessRates }[];

function makeSeries(
  name: string,
  variable: string,
  measured: MeasuredSizes,
): Series[] {
  const points = (value: (rates: ProcessRates) => number) =>
    measured.map(({ x, rates }) => ({ x, y: value(rates) }));
  return [
    {
      value: `${name} processor`,
      variable,
      unit: "share of a core",
      points: points((rates) => rates.cpuShare),
    },
    {
      value: `${name} resident memory`,
      variable,
      unit: "B",
      points: points((rates) => rates.residentBytes),
    },
    {
      value: `${name} traffic`,
      variable,
      unit: "B/s",
      points: points((rates) => rates.bytesPerSecond),
    },
  ];
}

/** Measures all sizes at once; an idle entry uses a few percent of a core. */
async function measureByEndpoints(): Promise<Series[]> {
  const runs = [16, 64, 128, 256].map(async (x) => {
    const entry = new EntryUnderTest();
    await entry.start(x);
    await realTimeSleep(SETTLE_MILLISECONDS);
    const rates = await measureProcess(
      entry.pid,
      LONG_POLL_WINDOW_MILLISECONDS,
    );
    await entry.close();
    return { x, rates };
  });
  return makeSeries("entry", "endpoints", await Promise.all(runs));
}

async function measureByStreams(): Promise<Series[]> {
  const measured: { x: number; rates: ProcessRates }[] = [];
  const entry = new EntryUnderTest();
  await entry.start(ENDPOINTS_PER_POOL);
  await realTimeSleep(SETTLE_MILLISECONDS);
  let open = 0;
  for (const x of [100, 200, 400, 800]) {
    await entry.openStreams(x - open);
    open = x;
    await realTimeSleep(SETTLE_MILLISECONDS / 2);
    const rates = await measureProcess(entry.pid, WINDOW_MILLISECONDS);
    measured.push({ x, rates });
  }
  await entry.close();
  return makeSeries("entry", "open streams", measured);
}

async function measureByChanges(): Promise<Series[]> {
  const measured: { x: number; rates: ProcessRates }[] = [];
  const entry = new EntryUnderTest();
  await entry.start(64);
  await realTimeSleep(SETTLE_MILLISECONDS);
  for (const x of [0, 30, 60, 120]) {
    const measuring = measureProcess(entry.pid, WINDOW_MILLISECONDS);
    const changes = Math.round(x * WINDOW_MILLISECONDS / 60_000);
    for (let change = 0; change < changes; change += 1) {
      const started = performance.now();
      await entry.publish(change % 2 ? {} : { "engine-1": "draining" });
      const remainingMilliseconds = WINDOW_MILLISECONDS / changes -
        (performance.now() - started);
      await realTimeSleep(Math.max(0, remainingMilliseconds));
    }
    measured.push({ x, rates: await measuring });
  }
  await entry.close();
  return makeSeries("entry", "configuration changes a minute", measured);
}

/** Measures one side per region, with regions of increasing entry counts. */
async function measureSideByEntries(): Promise<Series[]> {
  const runs = [2, 4, 8, 16].map(async (x) => {
    const region = new EntryHost();
    const pid = await region.start(x);
    await realTimeSleep(2 * SETTLE_MILLISECONDS);
    const rates = await measureProcess(pid, LONG_POLL_WINDOW_MILLISECONDS);
    await region.close();
    return { x, rates };
  });
  return makeSeries("side", "entries", await Promise.all(runs));
}

/** Measures all slopes of the binary; takes about two minutes. */
export async function measureBinary(): Promise<Series[]> {
  process.env.FILBERTSHORE_BINARY = builtBinary();
  return [
    ...await measureByEndpoints(),
    ...await measureByStreams(),
    ...await measureByChanges(),
    ...await measureSideByEntries(),
  ];
}
