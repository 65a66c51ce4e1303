/**
 * Time until an accepted publication is in force on every entry and side, and
 * the cost of control traffic, on virtual time:
 * `npx tsx bench/configuration.ts` (`--quick` for the small fleets).
 */
import process from "node:process";
import { parseArgs } from "node:util";
import type { LogRecord } from "../src/generated/log_records.ts";
import { CONFIGURATION, ORDERS } from "../test/support/coordination.ts";
import {
  ConfigurationFleet,
  contentFor,
  type FleetSize,
} from "./configuration_fleet.ts";

interface FleetCase extends FleetSize {
  readonly changesPerDay: number;
}

/** All configuration changes of the platform, as if on one stream. */
const ALL_CHANGES_PER_DAY = 7_300;

const CASES: readonly FleetCase[] = [
  { entries: 10, sides: 50, changesPerDay: ALL_CHANGES_PER_DAY },
  // One of eleven regions that share 410 entries, 12,000 endpoints and 7,300
  // changes a day.
  { entries: 37, sides: 1_091, changesPerDay: 664 },
  { entries: 100, sides: 500, changesPerDay: ALL_CHANGES_PER_DAY },
  { entries: 400, sides: 2_000, changesPerDay: ALL_CHANGES_PER_DAY },
];
const DAY_MILLISECONDS = 86_400_000;
const PUBLICATION_COUNT = 8;
const WARM_UP_MILLISECONDS = 20_000;
const IDLE_MILLISECONDS = 60_000;

interface InForceTimes {
  readonly medianMilliseconds: number;
  readonly worstMilliseconds: number;
  /** Pairs of process and version where neither it nor a later one arrived. */
  readonly missing: number;
}

interface Rates {
  /**
   * CPU time of this process (log and fleet) per entry and second of virtual
   * time, as a fraction of one core. An upper bound of the cost of an entry's
   * coordination, excluding sockets.
   */
  readonly entryCoreShare: number;
  readonly entryMessages: number;
  readonly entryBytes: number;
  readonly sideMessages: number;
  readonly sideBytes: number;
}

/** Advances virtual time until the promise settles. */
async function advanceUntilSettled<Value>(
  fleet: ConfigurationFleet,
  promise: Promise<Value>,
): Promise<Value> {
  let settled = false;
  const settling = promise.finally(() => settled = true);
  while (!settled) await fleet.timer.advance(5);
  return await settling;
}

function inForceTimes(
  fleet: ConfigurationFleet,
  published: readonly { version: number; started: number }[],
): InForceTimes {
  const times: number[] = [];
  let missing = 0;
  for (const { version, started } of published) {
    for (const versionTimes of fleet.inForce.values()) {
      const appliedAt = [...versionTimes].filter(([seenVersion]) =>
        seenVersion >= version
      )
        .map(([, time]) => time);
      if (appliedAt.length === 0) missing += 1;
      else times.push(Math.min(...appliedAt) - started);
    }
  }
  times.sort((a, b) => a - b);
  return {
    medianMilliseconds: round(times[Math.floor(times.length / 2)]),
    worstMilliseconds: round(times[times.length - 1]),
    missing,
  };
}

/** Messages and bytes per second of one node while `run` executes. */
async function measureRates(
  fleet: ConfigurationFleet,
  run: () => Promise<void>,
): Promise<Rates> {
  const startedAt = fleet.timer.now();
  const cpuBefore = process.cpuUsage();
  const entryBefore = { ...fleet.entryTraffic };
  const sideBefore = { ...fleet.sideTraffic };
  await run();
  const seconds = (fleet.timer.now() - startedAt) / 1_000;
  const { system, user } = process.cpuUsage(cpuBefore);
  const { entries, sides } = fleet.size;
  const ratePerNode = (now: number, before: number, nodes: number) =>
    round((now - before) / seconds / nodes);
  const coreSeconds = (system + user) / 1_000_000;
  return {
    entryCoreShare: Number((coreSeconds / seconds / entries).toPrecision(2)),
    entryMessages: ratePerNode(
      fleet.entryTraffic.messages,
      entryBefore.messages,
      entries,
    ),
    entryBytes: ratePerNode(
      fleet.entryTraffic.bytes,
      entryBefore.bytes,
      entries,
    ),
    sideMessages: ratePerNode(
      fleet.sideTraffic.messages,
      sideBefore.messages,
      sides,
    ),
    sideBytes: ratePerNode(fleet.sideTraffic.bytes, sideBefore.bytes, sides),
  };
}

/** Records appended per second, by kind, over the whole run. */
function appendRatesByKind(fleet: ConfigurationFleet): Record<string, number> {
  const seconds = fleet.timer.now() / 1_000;
  const counts: Record<string, number> = {};
  for (const stream of [CONFIGURATION, ORDERS]) {
    for (const { value } of fleet.log.records(stream)) {
      const { kind } = (value as LogRecord).body;
      counts[kind] = (counts[kind] ?? 0) + 1;
    }
  }
  return Object.fromEntries(
    Object.entries(counts).map((
      [kind, count],
    ) => [kind, round(count / seconds)]),
  );
}

async function measure(size: FleetCase) {
  const intervalMilliseconds = DAY_MILLISECONDS / size.changesPerDay;
  const fleet = new ConfigurationFleet(size);
  await fleet.timer.advance(WARM_UP_MILLISECONDS);
  const quiet = await measureRates(
    fleet,
    () => fleet.timer.advance(IDLE_MILLISECONDS),
  );
  const published: { version: number; started: number }[] = [];
  const busy = await measureRates(fleet, async () => {
    for (let index = 0; index < PUBLICATION_COUNT; index += 1) {
      const content = contentFor(size.sides, `v${index}`);
      published.push(
        await advanceUntilSettled(
          fleet,
          fleet.publish(`change ${index}`, content),
        ),
      );
      await fleet.timer.advance(intervalMilliseconds);
    }
  });
  const appends = appendRatesByKind(fleet);
  const inForce = inForceTimes(fleet, published);
  fleet.killJudge();
  const content = contentFor(size.sides, "after the kill");
  const publishedAfterKill = await advanceUntilSettled(
    fleet,
    fleet.publish("after the kill", content),
  );
  await fleet.timer.advance(intervalMilliseconds);
  const judgeKilled = inForceTimes(fleet, [publishedAfterKill]);
  const contentBytes = JSON.stringify(content).length;
  return { ...size, contentBytes, inForce, judgeKilled, quiet, busy, appends };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

const { values } = parseArgs({ options: { quick: { type: "boolean" } } });
const results = [];
for (const size of values.quick ? CASES.slice(0, 2) : CASES) {
  const result = await measure(size);
  results.push(result);
  console.log(`${size.entries} entries, ${size.sides} sides`);
  for (const [name, figures] of Object.entries(result)) {
    if (typeof figures === "object") console.log(`  ${name}`, figures);
  }
}
console.log(JSON.stringify({ configuration: results }));
process.exit(results.some((result) => result.inForce.missing > 0) ? 1 : 0);
