import {
  type ConfigurationContent,
  ConfigurationFold,
  Publisher,
} from "../../src/core/configuration/mod.ts";
import { identifier } from "../../src/core/identity/mod.ts";
import { Journal } from "../../src/core/journal/mod.ts";
import { hashToUnit } from "../../src/core/membership/mod.ts";
import type {
  HistoryEvent,
  HistoryEventKind,
} from "../../src/core/observation/mod.ts";
import { type Random, seededRandom } from "../../src/core/random/mod.ts";
import type { AnswerSink, CallerRequest } from "../../src/core/requests/mod.ts";
import { ManualTimerService } from "../../src/core/time/mod.ts";
import { EntryCore, type EntryOptions } from "../../src/entry/mod.ts";
import { SideCore, type SideOptions } from "../../src/side/mod.ts";
import type { LogRecord } from "../../src/generated/log_records.ts";
import { FakeLog } from "../support/fake_log.ts";
import { FakeModelEngine, FakeService, targetText } from "./fake_endpoints.ts";
import {
  addressOf,
  FakeLinks,
  type LinkOverrides,
  processNameOf,
  type RunningProcess,
} from "./fake_links.ts";
import { FakeVmList } from "./fake_vm_list.ts";
import { ProcessGate } from "./process_gate.ts";
import {
  FakeNetwork,
  type FakeNetworkMessage,
  type MessageFault,
} from "./fake_network.ts";

export const REGION = "klang-valley";
export const ENTRIES = ["entry-0", "entry-1"];
export const MATRIX_ENGINES = ["engine-0", "engine-1", "engine-2"];
export const SERVICES = ["portal-0", "portal-1"];
const ZONES: [string, ...string[]] = ["shah-alam", "petaling"];

export interface FakeRegionOptions {
  readonly seed: number;
  /** Called for each message when it is sent; returns its fault. */
  readonly intercept: (
    message: FakeNetworkMessage,
    region: FakeRegion,
  ) => MessageFault;
  readonly entry?: Partial<EntryOptions>;
  readonly side?: Partial<SideOptions>;
  readonly linkOverrides?: LinkOverrides;
}

const ENTRY_LIMITS: EntryOptions["limits"] = {
  mostQueued: 200,
  mostQueuedPerWorkspace: 200,
  mostOpenRequests: 400,
  shutdownSeconds: 12,
  mostEndpointsPerPool: 64,
  mostAttempts: 4,
};

const ENTRY_TIMINGS: EntryOptions["times"] = {
  reportMilliseconds: 250,
  suspectMilliseconds: 1_000,
  appendDelayMilliseconds: 5,
  claimSilenceMilliseconds: 2_000,
  checkpointRecords: 6,
  planMilliseconds: 500,
  keyWindowMilliseconds: 600_000,
  vmListMilliseconds: 2_000,
};

const SIDE_LIMITS: SideOptions["limits"] = {
  mostRunning: 8,
  mostWaiting: 16,
  mostKeptAnswers: 1_000,
  mostKeptAnswerBytes: 1024 * 1024,
  shutdownSeconds: 12,
};

const SIDE_TIMINGS: SideOptions["times"] = {
  reportMilliseconds: 250,
  longestOrderMilliseconds: 3_000,
  watchMilliseconds: 3_000,
  drainMilliseconds: 3_000,
  firstTokenSilenceMilliseconds: 3_000,
  tokenSilenceMilliseconds: 2_000,
};

/** Records by which a log replica is behind during the `behind` fault. */
const REPLICA_LAG_RECORDS = 4;
const PAUSE_DURATION_MILLISECONDS = 12_000;
const OUTAGE_DURATION_MILLISECONDS = 15_000;
const RESTART_DELAY_MILLISECONDS = 500;
/** Time from the leaving mark on the VM list until SIGTERM. */
const LEAVING_NOTICE_MILLISECONDS = 9_000;

/** A region in one process on virtual time, with injectable faults. */
export class FakeRegion {
  readonly timer = new ManualTimerService();
  readonly history: HistoryEvent[] = [];
  readonly log: FakeLog;
  readonly network: FakeNetwork;
  readonly random: Random;
  readonly #options: FakeRegionOptions;
  readonly #variant: RegionVariant;
  readonly #links: FakeLinks;
  readonly #entries = new Map<string, RunningProcess<EntryCore>>();
  readonly #sides = new Map<string, RunningProcess<SideCore>>();
  readonly #endpoints = new Map<string, FakeModelEngine | FakeService>();
  readonly #runCounts = new Map<string, number>();
  readonly #drainingEndpoints = new Set<string>();
  readonly #vmList: FakeVmList;
  readonly #leavingProcesses = new Set<string>();
  readonly #operators = new Map<
    string,
    { publisher: Publisher; fold: ConfigurationFold }
  >();

  constructor(options: FakeRegionOptions) {
    this.#options = options;
    this.random = this.#createRandom("faults");
    this.#variant = selectVariant(options.seed);
    this.#vmList = new FakeVmList(this.timer);
    this.log = new FakeLog({
      timer: this.timer,
      latencyMilliseconds: 2,
      retainedRecords: this.#variant.retainedRecords,
    });
    this.network = new FakeNetwork({
      timer: this.timer,
      random: this.#createRandom("wire"),
      intercept: (message) => options.intercept(message, this),
    });
    this.#links = new FakeLinks({
      timer: this.timer,
      network: this.network,
      log: this.log,
      sideAt: (address) => this.#sides.get(processNameOf(address)),
      entryAt: (address) => this.#entries.get(processNameOf(address)),
      onAppended: (stream, appended) => this.#onAppended(stream, appended),
      overrides: options.linkOverrides,
    });
    this.#createEndpoints();
  }

  start(): void {
    for (const name of ENTRIES) this.#startEntry(name);
    for (const id of this.#endpoints.keys()) this.#startSide(`side-${id}`);
    for (const name of ["operator", "operator-2"]) this.#createOperator(name);
  }

  /** Kills all processes, so that no timer keeps the run in memory. */
  dispose(): void {
    this.recordEvent("run_ended", "test", {});
    for (const { gate } of [...this.#entries.values()]) gate.kill();
    for (const { gate } of [...this.#sides.values()]) gate.kill();
  }

  entry(name: string): EntryCore | undefined {
    const process = this.#entries.get(name);
    return process?.gate.running ? process.core : undefined;
  }

  submit(entry: string, request: CallerRequest, sink: AnswerSink): boolean {
    const core = this.entry(entry);
    if (core === undefined) return false;
    core.submit(request, sink);
    return true;
  }

  /** Publishes on the version that the operator has read. */
  async publish(operator: string, change: ConfigurationChange = {}) {
    const { checksFencing } = this.#variant;
    const content = buildConfiguration({ ...change, checksFencing });
    const { publisher, fold } = this.#operators.get(operator) as {
      publisher: Publisher;
      fold: ConfigurationFold;
    };
    const base = fold.version;
    return await publisher.publish(content, {
      publicationId: `${operator} on ${base}`,
      base,
      publisher: operator,
    });
  }

  kill(name: string): void {
    const endpoint = this.#endpoints.get(name);
    if (endpoint !== undefined) return endpoint.crash();
    const process = this.#findProcess(name);
    if (process === undefined) return;
    this.recordEvent("process_killed", name, {});
    this.#removeProcess(name, process.gate);
  }

  restart(name: string): void {
    if (this.#findProcess(name) === undefined) return;
    this.kill(name);
    this.timer.after(
      RESTART_DELAY_MILLISECONDS,
      () => this.startReplacement(name),
    );
  }

  pause(name: string): void {
    const process = this.#findProcess(name);
    if (process === undefined || !process.gate.running) return;
    process.gate.pause();
    this.recordEvent("process_paused", name, {});
    this.timer.after(PAUSE_DURATION_MILLISECONDS, () => {
      if (!process.gate.alive) return;
      this.recordEvent("process_resumed", name, {});
      process.gate.resume();
    });
  }

  /** Sends SIGTERM and replaces the VM after the process has exited. */
  async stop(name: string): Promise<void> {
    const process = this.#findProcess(name);
    if (process === undefined || !process.gate.running) return;
    this.#markLeaving(name);
    await process.core.stop();
    if (!process.gate.alive) return;
    this.#removeProcess(name, process.gate);
    this.timer.after(
      RESTART_DELAY_MILLISECONDS,
      () => this.startReplacement(name),
    );
  }

  /** Marks the VM as leaving on the platform's list and stops it later. */
  leave(name: string): void {
    if (!this.isProcess(name)) return;
    // Without the list, no process learns of it before the side's SIGTERM.
    if (this.#variant.listsVms) this.#markLeaving(name);
    this.#vmList.markLeaving(name);
    this.timer.after(LEAVING_NOTICE_MILLISECONDS, () => void this.stop(name));
  }

  cutLink(from: string, to: string): void {
    this.network.cutLink(from, to);
    this.recordEvent("link_cut", "network", { from, to });
    this.timer.after(OUTAGE_DURATION_MILLISECONDS, () => {
      this.recordEvent("link_healed", "network", { from, to });
      this.network.healLink(from, to);
    });
  }

  injectLogFault(fault: "down" | "slow" | "behind"): void {
    const { faults } = this.log;
    this.recordEvent("log_outage_began", "network", {});
    if (fault === "down") faults.down = true;
    else if (fault === "slow") faults.addedLatencyMilliseconds = 2_500;
    else faults.lagRecords = REPLICA_LAG_RECORDS;
    this.timer.after(OUTAGE_DURATION_MILLISECONDS, () => {
      faults.down = false;
      faults.addedLatencyMilliseconds = 0;
      faults.lagRecords = 0;
      this.recordEvent("log_outage_ended", "network", {});
    });
  }

  /** Returns the endpoint of a side, or the name if it is an endpoint. */
  findEndpoint(name: string): string | undefined {
    const id = name.startsWith("side-") ? name.slice(5) : name;
    return this.#endpoints.has(id) ? id : undefined;
  }

  isProcess(name: string): boolean {
    return this.#findProcess(name) !== undefined;
  }

  recordEvent(
    kind: HistoryEventKind,
    process: string,
    facts: HistoryEvent["facts"],
  ): void {
    this.history.push({ at: this.timer.now(), process, kind, facts });
  }

  /** Records that the side's endpoint is leaving until the side's next run. */
  #markLeaving(name: string): void {
    const endpoint = this.findEndpoint(name);
    if (endpoint === undefined || this.#leavingProcesses.has(name)) return;
    this.#leavingProcesses.add(name);
    this.recordEvent("endpoint_leaving", "network", { endpoint });
  }

  #findProcess(name: string) {
    return this.#entries.get(name) ?? this.#sides.get(name);
  }

  #removeProcess(name: string, gate: ProcessGate): void {
    gate.kill();
    this.#vmList.remove(name);
    this.#entries.delete(name);
    this.#sides.delete(name);
    this.#links.closeConnectionsOf(name);
    const endpoint = this.findEndpoint(name);
    if (endpoint !== undefined) this.#endpoints.get(endpoint)?.onSideExit();
  }

  /** Starts a new run of a process that has exited. */
  startReplacement(name: string): void {
    if (this.#findProcess(name) !== undefined) return;
    const endpoint = this.findEndpoint(name);
    if (this.#leavingProcesses.delete(name) && endpoint !== undefined) {
      this.recordEvent("endpoint_returned", "network", { endpoint });
    }
    if (name.startsWith("entry-")) this.#startEntry(name);
    else this.#startSide(name);
  }

  #startEntry(name: string): void {
    const gate = new ProcessGate();
    const run = this.#nextRunNumber(name);
    const core = new EntryCore({
      name: identifier(name),
      incarnation: identifier(`${name} run ${run}`),
      region: identifier(REGION),
      availabilityZone: identifier(ZONES[ENTRIES.indexOf(name)]),
      timer: gate.timer(this.timer),
      random: this.#createRandom(`${name} ${run}`),
      log: this.#links.createLogService(name, gate),
      sides: this.#links.createSideLink(name, gate),
      entries: this.#links.createEntryLink(name, gate),
      vmList: this.#variant.listsVms ? this.#vmList.list() : undefined,
      peerAddresses: ENTRIES.filter((each) => each !== name).map(addressOf),
      hash: (text) => hashToUnit(text).toString(36),
      limits: ENTRY_LIMITS,
      times: ENTRY_TIMINGS,
      observe: (event) => this.#observe(gate, event),
      ...this.#options.entry,
    });
    this.#entries.set(name, { name, gate, core });
    this.#vmList.add(name, ZONES[ENTRIES.indexOf(name)]);
    core.start();
  }

  #startSide(name: string): void {
    const gate = new ProcessGate();
    const run = this.#nextRunNumber(name);
    const id = name.slice("side-".length);
    const endpoint = this.#endpoints.get(id) as FakeModelEngine | FakeService;
    const core = new SideCore({
      name: identifier(name),
      incarnation: identifier(`${name} run ${run}`),
      endpointId: id,
      availabilityZone: identifier(zoneOf(id)),
      kind: endpoint.kind,
      timer: gate.timer(this.timer),
      random: this.#createRandom(`${name} ${run}`),
      endpoint: this.#links.createEndpointLink(name, gate, endpoint),
      entries: this.#links.createEntryLink(name, gate),
      entryAddresses: ENTRIES.map(addressOf),
      limits: SIDE_LIMITS,
      times: SIDE_TIMINGS,
      observe: (event) => this.#observe(gate, event),
      ...this.#options.side,
    });
    this.#sides.set(name, { name, gate, core });
    this.#vmList.add(name, zoneOf(id));
    core.start();
  }

  #observe(gate: ProcessGate, event: HistoryEvent): void {
    if (gate.alive) this.history.push(event);
  }

  #createEndpoints(): void {
    const { timer } = this;
    const observe = (event: HistoryEvent) => void this.history.push(event);
    for (const id of MATRIX_ENGINES) {
      const { checksFencing } = this.#variant;
      const options = { id, timer, observe, checksFencing };
      this.#endpoints.set(id, new FakeModelEngine(options));
    }
    for (const id of SERVICES) {
      this.#endpoints.set(id, new FakeService({ id, timer, observe }));
    }
  }

  #createOperator(name: string): void {
    const fold = new ConfigurationFold();
    const journal = new Journal({
      log: this.#links.createLogService(name, new ProcessGate()),
      stream: identifier(`configuration.${REGION}`),
      fold,
      timer: this.timer,
      random: this.#createRandom(name),
      writer: identifier(name),
      incarnation: identifier(`${name} run 1`),
      appendDelayMilliseconds: 5,
      checkpointRecords: Infinity,
      writesCheckpoints: false,
      onApplied: () => this.#recordDraining(name, fold),
    });
    journal.start();
    const publisher = new Publisher({
      journal,
      fold,
      timer: this.timer,
      verdictMilliseconds: 20_000,
    });
    this.#operators.set(name, { publisher, fold });
  }

  /** Records the draining endpoints of accepted configurations. */
  #recordDraining(operator: string, fold: ConfigurationFold): void {
    if (operator !== "operator" || fold.inventory === undefined) return;
    for (const pool of fold.inventory.pools) {
      for (const { id, state } of pool.endpoints) {
        const isDraining = state === "draining";
        if (isDraining === this.#drainingEndpoints.has(id)) continue;
        if (isDraining) this.#drainingEndpoints.add(id);
        else this.#drainingEndpoints.delete(id);
        const kind = isDraining ? "endpoint_leaving" : "endpoint_returned";
        this.recordEvent(kind, "network", { endpoint: id });
      }
    }
  }

  #onAppended(
    stream: string,
    appended: { offset: number; record: unknown },
  ): void {
    const { body, writer, incarnation, sequence } = appended
      .record as LogRecord & { body: Record<string, unknown> };
    const facts: Record<string, string | number | boolean> = {
      writer,
      incarnation,
      sequence,
    };
    for (const [name, value] of Object.entries(body)) {
      if (typeof value !== "object") facts[name] = value as string;
    }
    if (body.kind === "order") facts.target = targetText(body.target as never);
    this.recordEvent("log_appended", "log", {
      ...facts,
      stream,
      offset: appended.offset,
    });
  }

  #nextRunNumber(name: string): number {
    const run = (this.#runCounts.get(name) ?? 0) + 1;
    this.#runCounts.set(name, run);
    return run;
  }

  #createRandom(name: string): Random {
    return seededRandom(hashToUnit(`${this.#options.seed} ${name}`) * 2 ** 32);
  }
}

interface RegionVariant {
  /** Whether the engines refuse orders with an outdated fencing token. */
  readonly checksFencing: boolean;
  /** Whether the entries have the platform's list of VMs. */
  readonly listsVms: boolean;
  /** Records that the log keeps of each stream. */
  readonly retainedRecords: number;
}

/** Varies the settings by seed, so that a range of seeds covers them. */
function selectVariant(seed: number): RegionVariant {
  return {
    checksFencing: seed % 2 === 0,
    listsVms: seed % 5 !== 0,
    retainedRecords: seed % 3 === 0 ? 15 : Infinity,
  };
}

/** Assigns endpoints to the zones in rotation. */
export function zoneOf(endpoint: string): string {
  return ZONES[Number(endpoint.slice(-1)) % ZONES.length];
}

/** Changes that a publication of a run makes. */
export interface ConfigurationChange {
  readonly weights?: string;
  readonly draining?: readonly string[];
}

/** Builds the inventory and rules of a run with the given changes. */
function buildConfiguration(
  change: ConfigurationChange & { checksFencing: boolean },
): ConfigurationContent {
  const buildEndpoints = (ids: readonly string[]) =>
    ids.map((id) => ({
      id,
      availabilityZone: zoneOf(id),
      side: addressOf(`side-${id}`),
      state: change.draining?.includes(id)
        ? "draining" as const
        : "serving" as const,
    }));
  return {
    inventory: {
      region: REGION,
      availabilityZones: ZONES,
      pools: [{
        name: "triage-llm",
        kind: "engine",
        models: ["triage"],
        ...(change.weights && { weights: change.weights }),
        engine: {
          slots: 8,
          prefillTokensPerSecond: 8_000,
          millisecondsBetweenTokens: 30,
          keyValueCacheTokens: 100_000,
          roleChangeSeconds: 1,
          resumesStreams: true,
          checksFencing: change.checksFencing,
        },
        endpoints: buildEndpoints(MATRIX_ENGINES),
      }, {
        name: "member-portal",
        kind: "service",
        routes: [
          { method: "POST", path: "/cases", idempotent: false },
          { method: "GET", path: "/cases", idempotent: true },
        ],
        endpoints: buildEndpoints(SERVICES),
      }],
    },
    rules: {
      classes: [{ name: "urgent", priority: 0, deadlineSeconds: 10 }],
      defaultClass: "urgent",
      planner: { enabled: false },
    },
  };
}
