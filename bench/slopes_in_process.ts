/** Slopes through the embedding API: messages, live heap and in-force times. */
import { entryAddress, sideAddress } from "../examples/embedding/fleet.ts";
import type { NetworkMessage } from "../examples/embedding/network.ts";
import {
  type InProcessOptions,
  InProcessRegion,
} from "../test/support/in_process_region.ts";
import type { PeerAddress } from "../src/core/links/mod.ts";
import { liveHeapBytes } from "./process_stats.ts";
import type { Point, Series } from "./slope_fit.ts";

const IDLE_SECONDS = 30;
const ENDPOINTS_PER_POOL = 16;
/** Time for deadlines and the sides' records of attempts to expire. */
const EXPIRY_MILLISECONDS = 150_000;
const DISCARDING_SINK = { token: () => true, response() {}, finish() {} };

/** Bytes and messages by process, counted while `isCounting` is set. */
class Traffic {
  readonly #bytes = new Map<PeerAddress, number>();
  isCounting = false;
  messages = 0;

  readonly count = (message: NetworkMessage): void => {
    if (!this.isCounting) return;
    this.messages += 1;
    for (const address of [message.from, message.to]) {
      this.#bytes.set(address, (this.#bytes.get(address) ?? 0) + message.bytes);
    }
  };

  bytesOf(address: PeerAddress): number {
    return this.#bytes.get(address) ?? 0;
  }
}

interface IdleStats {
  readonly heapBytes: number;
  /** Of an entry that is not the planner. */
  readonly entryBytesPerSecond: number;
  readonly plannerBytesPerSecond: number;
  readonly sideBytesPerSecond: number;
}

async function startRegion(options: InProcessOptions) {
  const before = await liveHeapBytes();
  const traffic = new Traffic();
  const region = new InProcessRegion({
    ...options,
    fleet: { onMessage: traffic.count, ...options.fleet },
  });
  await region.start();
  return { region, traffic, before };
}

async function measureIdle(options: InProcessOptions): Promise<IdleStats> {
  const { region, traffic, before } = await startRegion(options);
  traffic.isCounting = true;
  await region.timer.advance(IDLE_SECONDS * 1000);
  const heapBytes = await liveHeapBytes() - before;
  const rates = region.fleet.entries.map((_, index) =>
    traffic.bytesOf(entryAddress(index)) / IDLE_SECONDS
  );
  const planner = plannerIndex(region);
  region.fleet.halt();
  return {
    heapBytes,
    entryBytesPerSecond: rates[planner === 0 ? rates.length - 1 : 0],
    plannerBytesPerSecond: rates[planner],
    sideBytesPerSecond: traffic.bytesOf(sideAddress("engine-0")) /
      IDLE_SECONDS,
  };
}

/** Index of the entry that holds the planner's claim. */
function plannerIndex(region: InProcessRegion): number {
  const holder = region.fleet.entries[0].status().claim?.holder ?? "";
  return Number(/^entry-(\d+)/.exec(holder)?.[1] ?? 0);
}

/** Two entries with increasing numbers of endpoints, in pools of sixteen. */
async function measureByEndpoints(): Promise<Series[]> {
  const variable = "endpoints";
  const heap: Point[] = [];
  const entry: Point[] = [];
  const planner: Point[] = [];
  for (const x of [16, 32, 64, 128, 256]) {
    const models = x / ENDPOINTS_PER_POOL;
    const idle = await measureIdle({ entries: 2, endpoints: x, models });
    heap.push({ x, y: idle.heapBytes });
    entry.push({ x, y: idle.entryBytesPerSecond });
    planner.push({ x, y: idle.plannerBytesPerSecond });
  }
  return [
    { value: "heap of region", variable, unit: "B", points: heap },
    { value: "entry control", variable, unit: "B/s", points: entry },
    { value: "planner control", variable, unit: "B/s", points: planner },
  ];
}

/** Size of one publication, whose content lists every endpoint. */
function publicationBytesByEndpoints(): Series {
  const points = [32, 128, 512, 1_100].map((x) => {
    const models = Math.ceil(x / ENDPOINTS_PER_POOL);
    const region = new InProcessRegion({ entries: 1, endpoints: x, models });
    return { x, y: JSON.stringify(region.content()).length };
  });
  return { value: "publication", variable: "endpoints", unit: "B", points };
}

/** 32 endpoints with increasing numbers of entries, each using all of them. */
async function measureByEntries(): Promise<Series[]> {
  const variable = "entries";
  const heap: Point[] = [];
  const side: Point[] = [];
  const planner: Point[] = [];
  for (const x of [2, 4, 8, 16]) {
    const idle = await measureIdle({ entries: x, endpoints: 32 });
    heap.push({ x, y: idle.heapBytes });
    side.push({ x, y: idle.sideBytesPerSecond });
    planner.push({ x, y: idle.plannerBytesPerSecond });
  }
  return [
    { value: "heap of region", variable, unit: "B", points: heap },
    { value: "side control", variable, unit: "B/s", points: side },
    { value: "planner control", variable, unit: "B/s", points: planner },
  ];
}

/** One entry and 64 endpoints, divided among increasing numbers of models. */
async function measureByModels(): Promise<Series[]> {
  const variable = "models";
  const heap: Point[] = [];
  for (const x of [2, 4, 8, 16, 32]) {
    const idle = await measureIdle({ entries: 1, endpoints: 64, models: x });
    heap.push({ x, y: idle.heapBytes });
  }
  return [{ value: "heap of region", variable, unit: "B", points: heap }];
}

/** Measures after each workspace has completed one request. */
async function measureByWorkspaces(): Promise<Series[]> {
  const variable = "workspaces";
  const heap: Point[] = [];
  for (const x of [400, 800, 1600, 3400]) {
    const { region, before } = await startRegion({
      entries: 1,
      endpoints: 16,
      tokens: 2,
    });
    for (let workspace = 0; workspace < x; workspace += 1) {
      const sender = { entry: 0, workspace: `workspace-${workspace}` };
      region.generate(sender, DISCARDING_SINK);
      if (workspace % 100 === 99) await region.timer.advance(500);
    }
    await region.timer.advance(EXPIRY_MILLISECONDS);
    heap.push({ x, y: await liveHeapBytes() - before });
    region.fleet.halt();
  }
  return [{ value: "heap of region", variable, unit: "B", points: heap }];
}

/** Open generations with one token every 20 ms. */
async function measureByStreams(): Promise<Series[]> {
  const variable = "open streams";
  const heap: Point[] = [];
  const open: Point[] = [];
  for (const x of [100, 200, 400, 800]) {
    const { region, before } = await startRegion({
      entries: 1,
      endpoints: 20,
      engineSlots: 64,
      tokens: 1_000,
    });
    for (let stream = 0; stream < x; stream += 1) {
      const sender = { entry: 0, workspace: `workspace-${stream % 50}` };
      region.generate(sender, DISCARDING_SINK);
    }
    await region.timer.advance(3_000);
    open.push({ x, y: countGenerations(region) });
    heap.push({ x, y: await liveHeapBytes() - before });
    region.fleet.halt();
  }
  return [
    { value: "heap of region", variable, unit: "B", points: heap },
    { value: "generations at the engines", variable, unit: "", points: open },
  ];
}

function countGenerations(region: InProcessRegion): number {
  return region.engines.reduce((sum, engine) => sum + engine.generations, 0);
}

/** Evenly spaced publications over one minute, with a log latency of 20 ms. */
async function measureByChanges(): Promise<Series[]> {
  const variable = "configuration changes a minute";
  const appends: Point[] = [];
  const entryBytes: Point[] = [];
  const inForce: Point[] = [];
  for (const x of [2, 6, 12, 30]) {
    const run = await runChanges(x);
    appends.push({ x, y: run.appendsPerSecond });
    entryBytes.push({ x, y: run.entryBytesPerSecond });
    inForce.push({ x, y: run.slowestMilliseconds });
  }
  return [
    { value: "appends", variable, unit: "1/s", points: appends },
    { value: "entry control", variable, unit: "B/s", points: entryBytes },
    { value: "slowest in force", variable, unit: "ms", points: inForce },
  ];
}

async function runChanges(changes: number) {
  let lastInForceAt = 0;
  const { region, traffic } = await startRegion({
    entries: 4,
    endpoints: 64,
    logLatencyMilliseconds: 20,
    fleet: {
      observe: ({ kind, at }) => {
        if (kind === "configuration_in_force") lastInForceAt = at;
      },
    },
  });
  const { timer, log, fleet } = region;
  const appendsBefore = sumOf(log.appendCalls.values());
  traffic.isCounting = true;
  let slowestMilliseconds = 0;
  for (let change = 0; change < changes; change += 1) {
    const startedAt = timer.now();
    const content = region.content(
      change % 2 ? {} : { "engine-0": "draining" },
    );
    const published = fleet.publish(
      content,
      fleet.entries[0].configurationVersion,
    );
    await timer.advance(60_000 / changes);
    if ((await published).isErr()) throw new Error("Publication was rejected");
    slowestMilliseconds = Math.max(
      slowestMilliseconds,
      lastInForceAt - startedAt,
    );
  }
  fleet.halt();
  return {
    slowestMilliseconds,
    appendsPerSecond: (sumOf(log.appendCalls.values()) - appendsBefore) / 60,
    entryBytesPerSecond: traffic.bytesOf(entryAddress(0)) / 60,
  };
}

function sumOf(values: Iterable<number>): number {
  let sum = 0;
  for (const value of values) sum += value;
  return sum;
}

/** Measures all slopes that need no separate processes. */
export async function measureInProcess(): Promise<Series[]> {
  // Warms up, because the first run leaves compiled code on the heap.
  await measureIdle({ entries: 4, endpoints: 64, models: 4 });
  return [
    ...await measureByEndpoints(),
    publicationBytesByEndpoints(),
    ...await measureByEntries(),
    ...await measureByModels(),
    ...await measureByWorkspaces(),
    ...await measureByStreams(),
    ...await measureByChanges(),
  ];
}
