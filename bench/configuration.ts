/**
 * How long an accepted publication takes to be in force on every entry and
 * side, and what control costs, on virtual time:
 * `npx tsx bench/configuration.ts` (`--quick` for the small fleets).
 */
import process from "node:process";
import { parseArgs } from "node:util";
import type { LogRecord } from "../src/generated/log_records.ts";
import { CONFIGURATION, ORDERS } from "../test/support/coordination.ts";
import { contentFor, Fleet, type FleetSize } from "./configuration_fleet.ts";

interface Case extends FleetSize {
  readonly changesPerDay: number;
}

/** All changes of the platform, on one stream. */
const ALL_CHANGES_PER_DAY = 7_300;

const CASES: readonly Case[] = [
  { entries: 10, sides: 50, changesPerDay: ALL_CHANGES_PER_DAY },
  // One of eleven regions of 410 entries, 12,000 endpoints, 7,300 changes.
  { entries: 37, sides: 1_091, changesPerDay: 664 },
  { entries: 100, sides: 500, changesPerDay: ALL_CHANGES_PER_DAY },
  { entries: 400, sides: 2_000, changesPerDay: ALL_CHANGES_PER_DAY },
];
const DAY_MILLISECONDS = 86_400_000;
const PUBLICATIONS = 8;
const WARM_UP_MILLISECONDS = 20_000;
const QUIET_MILLISECONDS = 60_000;

interface InForceTimes {
  readonly medianMilliseconds: number;
  readonly worstMilliseconds: number;
  /** Processes that did not have every version or a later one. */
  readonly missing: number;
}

interface Rates {
  /**
   * Processor time of this whole process, log and fleet together, by entry
   * and by second of virtual time, as a share of one core: an upper bound of
   * what an entry's coordination takes, without sockets.
   */
  readonly entryCoreShare: number;
  readonly entryMessages: number;
  readonly entryBytes: number;
  readonly sideMessages: number;
  readonly sideBytes: number;
}

/** Advances time until the promise has settled. */
async function drive<Value>(
  fleet: Fleet,
  promise: Promise<Value>,
): Promise<Value> {
  let settled = false;
  const watched = promise.finally(() => settled = true);
  while (!settled) await fleet.timer.advance(5);
  return await watched;
}

function timesOf(
  fleet: Fleet,
  published: readonly { version: number; started: number }[],
): InForceTimes {
  const times: number[] = [];
  let missing = 0;
  for (const { version, started } of published) {
    for (const seen of fleet.inForce.values()) {
      const at = [...seen].filter(([other]) => other >= version)
        .map(([, when]) => when);
      if (at.length === 0) missing += 1;
      else times.push(Math.min(...at) - started);
    }
  }
  times.sort((one, other) => one - other);
  return {
    medianMilliseconds: round(times[Math.floor(times.length / 2)]),
    worstMilliseconds: round(times[times.length - 1]),
    missing,
  };
}

/** Messages and bytes a second of one node, over what `run` takes. */
async function ratesOver(
  fleet: Fleet,
  run: () => Promise<void>,
): Promise<Rates> {
  const from = fleet.timer.now();
  const processor = process.cpuUsage();
  const entry = { ...fleet.entryTraffic };
  const side = { ...fleet.sideTraffic };
  await run();
  const seconds = (fleet.timer.now() - from) / 1_000;
  const { system, user } = process.cpuUsage(processor);
  const { entries, sides } = fleet.size;
  const each = (now: number, before: number, nodes: number) =>
    round((now - before) / seconds / nodes);
  const coreSeconds = (system + user) / 1_000_000;
  return {
    entryCoreShare: Number((coreSeconds / seconds / entries).toPrecision(2)),
    entryMessages: each(fleet.entryTraffic.messages, entry.messages, entries),
    entryBytes: each(fleet.entryTraffic.bytes, entry.bytes, entries),
    sideMessages: each(fleet.sideTraffic.messages, side.messages, sides),
    sideBytes: each(fleet.sideTraffic.bytes, side.bytes, sides),
  };
}

/** Records a second by kind, over the whole run. */
function appendsByCause(fleet: Fleet): Record<string, number> {
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
      [kind, times],
    ) => [kind, round(times / seconds)]),
  );
}

async function measure(size: Case) {
  const pauseMilliseconds = DAY_MILLISECONDS / size.changesPerDay;
  const fleet = new Fleet(size);
  await fleet.timer.advance(WARM_UP_MILLISECONDS);
  const quiet = await ratesOver(
    fleet,
    () => fleet.timer.advance(QUIET_MILLISECONDS),
  );
  const published: { version: number; started: number }[] = [];
  const busy = await ratesOver(fleet, async () => {
    for (let index = 0; index < PUBLICATIONS; index += 1) {
      const content = contentFor(size.sides, `v${index}`);
      published.push(
        await drive(fleet, fleet.publish(`change ${index}`, content)),
      );
      await fleet.timer.advance(pauseMilliseconds);
    }
  });
  const appends = appendsByCause(fleet);
  const inForce = timesOf(fleet, published);
  fleet.killJudge();
  const content = contentFor(size.sides, "after the kill");
  const late = await drive(fleet, fleet.publish("after the kill", content));
  await fleet.timer.advance(pauseMilliseconds);
  const judgeKilled = timesOf(fleet, [late]);
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
