import {
  type ConfigurationContent,
  ConfigurationFold,
  Publisher,
} from "../src/core/configuration/mod.ts";
import { attachments } from "../src/core/membership/mod.ts";
import { ManualTimerService, pause } from "../src/core/time/mod.ts";
import type { SideReport } from "../src/generated/messages.ts";
import {
  CONFIGURATION,
  makeJournal,
  makeJudge,
  makePlanner,
  sampleContent,
  type TestJudge,
  type TestPlanner,
} from "../test/support/coordination.ts";
import { FakeLog } from "../test/support/fake_log.ts";
import {
  count,
  countingLog,
  noTraffic,
  type Traffic,
} from "./configuration_traffic.ts";

export interface FleetSize {
  readonly entries: number;
  readonly sides: number;
}

/** One way between VMs of a zone, milliseconds; the users' figure is 1 to 2. */
const ONE_WAY_MILLISECONDS = 1.5;
/** An append or read at the log service, milliseconds. */
const LOG_MILLISECONDS = 20;
const WATCH_MILLISECONDS = 10_000;
const ENTRIES_IN_ZONE = 10;

interface Entry {
  readonly id: string;
  readonly availabilityZone: string;
  readonly judge: TestJudge;
  readonly planner: TestPlanner;
  readonly traffic: Traffic;
  readonly waiting: Set<() => void>;
}

/** Entries and sides of one region that follow one configuration stream. */
export class Fleet {
  readonly timer = new ManualTimerService();
  readonly log = new FakeLog({
    timer: this.timer,
    latencyMilliseconds: LOG_MILLISECONDS,
  });
  readonly entryTraffic = noTraffic();
  readonly sideTraffic = noTraffic();
  readonly size: FleetSize;
  readonly entries: readonly Entry[];
  /** When each process had each version, by process. */
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

  /** An operator's publication; settles with its version. */
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
    while (!journal.caughtUp) await pause(this.timer, 10);
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

  /** The judge's VM is gone from here on. */
  killJudge(): void {
    const judge = this.entries.find(({ judge }) => judge.keeper.held);
    if (judge === undefined) throw new Error("There is no judge");
    this.inForce.delete(judge.id);
    for (const part of [judge.judge, judge.planner]) {
      part.faults.silent = true;
      part.journal.stop();
    }
  }

  #makeEntry(index: number): Entry {
    const id = `entry-${index}`;
    const traffic = this.entryTraffic;
    const options = { log: this.log, timer: this.timer, name: id };
    const counted = (faults: Parameters<FakeLog["connect"]>[0]) =>
      countingLog(this.log.connect(faults), traffic);
    const judge = makeJudge({ ...options, connect: counted });
    const planner = makePlanner({ ...options, connect: counted });
    const waiting = new Set<() => void>();
    const seen = new Map<number, number>();
    this.inForce.set(id, seen);
    judge.fold.onChange(() => {
      seen.set(judge.fold.version, this.timer.now());
      for (const wake of [...waiting]) wake();
    });
    const availabilityZone = `zone-${Math.floor(index / ENTRIES_IN_ZONE)}`;
    return { id, availabilityZone, judge, planner, traffic, waiting };
  }

  #startSide(index: number): void {
    const zones = Math.ceil(this.size.entries / ENTRIES_IN_ZONE);
    const id = `side-${index}`;
    const seen = new Map<number, number>();
    this.inForce.set(id, seen);
    const report = reportOf(id);
    const watched = attachments(this.entries, {
      side: id,
      availabilityZone: `zone-${index % zones}`,
    });
    for (const entry of watched) void this.#watch(entry, { report, seen });
  }

  /** A side's long polls at one entry. */
  async #watch(
    entry: Entry,
    side: { report: SideReport; seen: Map<number, number> },
  ): Promise<never> {
    const { report, seen } = side;
    for (;;) {
      const question = JSON.stringify({
        report,
        waitMilliseconds: WATCH_MILLISECONDS,
      });
      this.#countMessage(question.length);
      await pause(this.timer, ONE_WAY_MILLISECONDS);
      await this.#newsAt(entry, report.configurationVersion);
      const version = entry.judge.fold.version;
      this.#countMessage(answerSize(version));
      await pause(this.timer, ONE_WAY_MILLISECONDS);
      if (version <= report.configurationVersion) continue;
      report.configurationVersion = version;
      seen.set(version, this.timer.now());
    }
  }

  #newsAt(entry: Entry, known: number): Promise<void> {
    if (entry.judge.fold.version > known) return Promise.resolve();
    return new Promise((resolve) => {
      const wake = () => {
        entry.waiting.delete(wake);
        alarm.cancel();
        resolve();
      };
      const alarm = this.timer.after(WATCH_MILLISECONDS, wake);
      entry.waiting.add(wake);
    });
  }

  #countMessage(bytes: number): void {
    count(this.entryTraffic, bytes);
    count(this.sideTraffic, bytes);
  }
}

/** A configuration with one endpoint for each side. */
export function contentFor(
  sides: number,
  weights: string,
): ConfigurationContent {
  const content = structuredClone(sampleContent(weights));
  const [pool] = content.inventory.pools;
  const [zone] = content.inventory.availabilityZones;
  pool.endpoints = Array.from({ length: sides }, (_, index) => ({
    id: `triage-${index}`,
    availabilityZone: zone,
    side: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7000`,
  }));
  return content;
}

function reportOf(side: string): SideReport {
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

function answerSize(configurationVersion: number): number {
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
