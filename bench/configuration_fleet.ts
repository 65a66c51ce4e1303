import {
  type ConfigurationContent,
  ConfigurationFold,
  Publisher,
} from "../src/core/configuration/mod.ts";
import { selectAttachedEntries } from "../src/core/membership/mod.ts";
import { ManualTimerService, sleep } from "../src/core/time/mod.ts";
import type { SideReport } from "../src/generated/messages.ts";
import {
  CONFIGURATION,
  makeJournal,
  makeJudge,
  makePlanner,
  sampleConfiguration,
  type TestJudge,
  type TestPlanner,
} from "../test/support/coordination.ts";
import { FakeLog } from "../test/support/fake_log.ts";
import {
  countingLog,
  countMessage,
  type Traffic,
  zeroTraffic,
} from "./configuration_traffic.ts";

export interface FleetSize {
  readonly entries: number;
  readonly sides: number;
}

/** One-way network latency between VMs of one zone, which is 1 to 2 ms. */
const ONE_WAY_LATENCY_MILLISECONDS = 1.5;
/** Latency of an append or a read at the log service. */
const LOG_LATENCY_MILLISECONDS = 20;
const LONG_POLL_MILLISECONDS = 10_000;
const ENTRIES_IN_ZONE = 10;

interface Entry {
  readonly id: string;
  readonly availabilityZone: string;
  readonly judge: TestJudge;
  readonly planner: TestPlanner;
  readonly traffic: Traffic;
  readonly waiters: Set<() => void>;
}

/** Entries and sides of one region that read the same configuration stream. */
export class ConfigurationFleet {
  readonly timer = new ManualTimerService();
  readonly log = new FakeLog({
    timer: this.timer,
    latencyMilliseconds: LOG_LATENCY_MILLISECONDS,
  });
  readonly entryTraffic = zeroTraffic();
  readonly sideTraffic = zeroTraffic();
  readonly size: FleetSize;
  readonly entries: readonly Entry[];
  /** For each process, the time at which it received each version. */
  readonly inForce = new Map<string, Map<number, number>>();

  constructor(size: FleetSize) {
    this.size = size;
    this.entries = Array.from(
      { length: size.entries },
      (_, index) => this.#makeEntry(index),
    );
    for (let index = 0; index < size.sides; index += 1) {
      this.#startSide(index);
    }
  }

  /** Publishes as an operator does; resolves to its version and start time. */
  async publish(publicationId: string, content: ConfigurationContent) {
    const fold = new ConfigurationFold();
    const { journal } = makeJournal(fold, {
      log: this.log,
      timer: this.timer,
      name: `operator ${publicationId}`,
      stream: CONFIGURATION,
      journal: { writesCheckpoints: false },
    });
    journal.start();
    while (!journal.caughtUp) await sleep(this.timer, 10);
    const publisher = new Publisher({
      journal,
      fold,
      timer: this.timer,
      verdictMilliseconds: 30_000,
    });
    const started = this.timer.now();
    const result = await publisher.publish(content, {
      publicationId,
      base: fold.version,
    });
    journal.stop();
    if (result.isErr()) throw new Error(result.error.message);
    return { version: result.value.version, started };
  }

  /** Simulates the loss of the VM whose entry is the judge. */
  killJudge(): void {
    const holder = this.entries.find(({ judge }) => judge.keeper.held);
    if (holder === undefined) throw new Error("No judge holds the claim");
    this.inForce.delete(holder.id);
    for (const follower of [holder.judge, holder.planner]) {
      follower.faults.silent = true;
      follower.journal.stop();
    }
  }

  #makeEntry(index: number): Entry {
    const id = `entry-${index}`;
    const traffic = this.entryTraffic;
    const options = { log: this.log, timer: this.timer, name: id };
    const connectCounted = (faults: Parameters<FakeLog["connect"]>[0]) =>
      countingLog(this.log.connect(faults), traffic);
    const judge = makeJudge({ ...options, connect: connectCounted });
    const planner = makePlanner({ ...options, connect: connectCounted });
    const waiters = new Set<() => void>();
    const times = new Map<number, number>();
    this.inForce.set(id, times);
    judge.fold.onChange(() => {
      times.set(judge.fold.version, this.timer.now());
      for (const wake of [...waiters]) wake();
    });
    const availabilityZone = `zone-${Math.floor(index / ENTRIES_IN_ZONE)}`;
    return { id, availabilityZone, judge, planner, traffic, waiters };
  }

  #startSide(index: number): void {
    const zones = Math.ceil(this.size.entries / ENTRIES_IN_ZONE);
    const id = `side-${index}`;
    const times = new Map<number, number>();
    this.inForce.set(id, times);
    const report = sampleReport(id);
    const entries = selectAttachedEntries(this.entries, {
      side: id,
      availabilityZone: `zone-${index % zones}`,
    });
    for (const entry of entries) void this.#watch(entry, { report, times });
  }

  /** Repeats a side's long poll at one entry. */
  async #watch(
    entry: Entry,
    side: { report: SideReport; times: Map<number, number> },
  ): Promise<never> {
    const { report, times } = side;
    for (;;) {
      const request = JSON.stringify({
        report,
        waitMilliseconds: LONG_POLL_MILLISECONDS,
      });
      this.#countMessage(request.length);
      await sleep(this.timer, ONE_WAY_LATENCY_MILLISECONDS);
      await this.#waitForNewerVersion(entry, report.configurationVersion);
      const version = entry.judge.fold.version;
      this.#countMessage(responseBytes(version));
      await sleep(this.timer, ONE_WAY_LATENCY_MILLISECONDS);
      if (version <= report.configurationVersion) continue;
      report.configurationVersion = version;
      times.set(version, this.timer.now());
    }
  }

  #waitForNewerVersion(entry: Entry, knownVersion: number): Promise<void> {
    if (entry.judge.fold.version > knownVersion) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = () => {
        entry.waiters.delete(finish);
        timeout.cancel();
        resolve();
      };
      const timeout = this.timer.after(LONG_POLL_MILLISECONDS, finish);
      entry.waiters.add(finish);
    });
  }

  #countMessage(bytes: number): void {
    countMessage(this.entryTraffic, bytes);
    countMessage(this.sideTraffic, bytes);
  }
}

/** Makes a configuration with one endpoint for each side. */
export function contentFor(
  sides: number,
  weights: string,
): ConfigurationContent {
  const content = structuredClone(sampleConfiguration(weights));
  const [pool] = content.inventory.pools;
  const [zone] = content.inventory.availabilityZones;
  pool.endpoints = Array.from({ length: sides }, (_, index) => ({
    id: `triage-${index}`,
    availabilityZone: zone,
    side: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7000`,
  }));
  return content;
}

function sampleReport(side: string): SideReport {
  return {
    side,
    incarnation: "0198f7a2-6d1c-7cc3-9f7a-3b1f0d0c0a11",
    endpoint: side,
    state: "serving",
    role: "mixed",
    weights: "v1",
    load: { running: 4, waiting: 0, limit: 8, millisecondsBetweenTokens: 25 },
    configurationVersion: 0,
    ordersRead: 100,
    orderTaken: 90,
    orderApplied: 90,
  };
}

function responseBytes(configurationVersion: number): number {
  return JSON.stringify({
    configurationVersion,
    endpoint: {
      state: "serving",
      checksFencing: true,
      resumesStreams: true,
      slots: 8,
      roleChangeSeconds: 5,
    },
    ordersRead: 100,
    order: { offset: 90, claim: 3, target: { role: "mixed", weights: "v1" } },
  }).length;
}
