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
import { FakeEngine, FakeService, textOf } from "./endpoints.ts";
import {
  addressOf,
  type LinkAlterations,
  Links,
  nameOf,
  type RunningProcess,
} from "./links.ts";
import { ListedVms } from "./listed_vms.ts";
import { ProcessGate } from "./process_gate.ts";
import { type Parcel, type Treatment, Wire } from "./wire.ts";

export const REGION = "klang-valley";
export const ENTRIES = ["entry-0", "entry-1"];
export const ENGINES = ["engine-0", "engine-1", "engine-2"];
export const SERVICES = ["portal-0", "portal-1"];
const ZONES: [string, ...string[]] = ["shah-alam", "petaling"];

export interface RegionOptions {
  readonly seed: number;
  /** Looks at each message; where faults come from. */
  readonly inspect: (parcel: Parcel, region: Region) => Treatment;
  readonly entry?: Partial<EntryOptions>;
  readonly side?: Partial<SideOptions>;
  readonly alter?: LinkAlterations;
}

const ENTRY_LIMITS: EntryOptions["limits"] = {
  mostQueued: 200,
  mostQueuedPerWorkspace: 200,
  mostOpenRequests: 400,
  shutdownSeconds: 12,
  mostEndpointsPerPool: 64,
  mostAttempts: 4,
};

const ENTRY_TIMES: EntryOptions["times"] = {
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

const SIDE_TIMES: SideOptions["times"] = {
  reportMilliseconds: 250,
  longestOrderMilliseconds: 3_000,
  watchMilliseconds: 3_000,
  drainMilliseconds: 3_000,
  firstTokenSilenceMilliseconds: 3_000,
  tokenSilenceMilliseconds: 2_000,
};

/** Records by which another replica of the log may be behind. */
const LAG_RECORDS = 4;
const PAUSE_MILLISECONDS = 12_000;
const CUT_MILLISECONDS = 15_000;
const RESTART_MILLISECONDS = 500;
/** From the mark on the VM list to SIGTERM. */
const LEAVE_MILLISECONDS = 9_000;

/** A region in one process on virtual time, with every fault at hand. */
export class Region {
  readonly timer = new ManualTimerService();
  readonly history: HistoryEvent[] = [];
  readonly log: FakeLog;
  readonly wire: Wire;
  readonly random: Random;
  readonly #options: RegionOptions;
  readonly #variant: Variant;
  readonly #links: Links;
  readonly #entries = new Map<string, RunningProcess<EntryCore>>();
  readonly #sides = new Map<string, RunningProcess<SideCore>>();
  readonly #endpoints = new Map<string, FakeEngine | FakeService>();
  readonly #runs = new Map<string, number>();
  readonly #draining = new Set<string>();
  readonly #vms: ListedVms;
  readonly #leaving = new Set<string>();
  readonly #operators = new Map<
    string,
    { publisher: Publisher; fold: ConfigurationFold }
  >();

  constructor(options: RegionOptions) {
    this.#options = options;
    this.random = this.#randomOf("faults");
    this.#variant = variantOf(options.seed);
    this.#vms = new ListedVms(this.timer);
    this.log = new FakeLog({
      timer: this.timer,
      latencyMilliseconds: 2,
      keepRecords: this.#variant.keepRecords,
    });
    this.wire = new Wire({
      timer: this.timer,
      random: this.#randomOf("wire"),
      inspect: (parcel) => options.inspect(parcel, this),
    });
    this.#links = new Links({
      timer: this.timer,
      wire: this.wire,
      log: this.log,
      sideAt: (address) => this.#sides.get(nameOf(address)),
      entryAt: (address) => this.#entries.get(nameOf(address)),
      onAppended: (stream, appended) => this.#onAppended(stream, appended),
      alter: options.alter,
    });
    this.#makeEndpoints();
  }

  start(): void {
    for (const name of ENTRIES) this.#startEntry(name);
    for (const id of this.#endpoints.keys()) this.#startSide(`side-${id}`);
    for (const name of ["operator", "operator-2"]) this.#makeOperator(name);
  }

  /** Ends everything, so that no timer holds the run in memory. */
  end(): void {
    this.tell("run_ended", "test", {});
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

  /** Publishes on the version that the operator has read last. */
  async publish(operator: string, change: Change = {}) {
    const { checksFencing } = this.#variant;
    const content = contentOf({ ...change, checksFencing });
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
    const process = this.#processes(name);
    if (process === undefined) return;
    this.tell("process_killed", name, {});
    this.#remove(name, process.gate);
  }

  restart(name: string): void {
    if (this.#processes(name) === undefined) return;
    this.kill(name);
    this.timer.after(RESTART_MILLISECONDS, () => this.startAgain(name));
  }

  pause(name: string): void {
    const process = this.#processes(name);
    if (process === undefined || !process.gate.running) return;
    process.gate.pause();
    this.tell("process_paused", name, {});
    this.timer.after(PAUSE_MILLISECONDS, () => {
      if (!process.gate.alive) return;
      this.tell("process_resumed", name, {});
      process.gate.resume();
    });
  }

  /** SIGTERM; the VM is replaced once the process has gone. */
  async stop(name: string): Promise<void> {
    const process = this.#processes(name);
    if (process === undefined || !process.gate.running) return;
    this.#isLeaving(name);
    await process.core.stop();
    if (!process.gate.alive) return;
    this.#remove(name, process.gate);
    this.timer.after(RESTART_MILLISECONDS, () => this.startAgain(name));
  }

  /** The platform marks the VM as leaving and stops it some time later. */
  leave(name: string): void {
    if (!this.isProcess(name)) return;
    // Without the list nobody can know of it before the side's own SIGTERM.
    if (this.#variant.listsVms) this.#isLeaving(name);
    this.#vms.leave(name);
    this.timer.after(LEAVE_MILLISECONDS, () => void this.stop(name));
  }

  cut(from: string, to: string): void {
    this.wire.cut(from, to);
    this.tell("link_cut", "network", { from, to });
    this.timer.after(CUT_MILLISECONDS, () => {
      this.tell("link_healed", "network", { from, to });
      this.wire.heal(from, to);
    });
  }

  logOutage(fault: "down" | "slow" | "behind"): void {
    const { faults } = this.log;
    this.tell("log_outage_began", "network", {});
    if (fault === "down") faults.down = true;
    else if (fault === "slow") faults.slowMilliseconds = 2_500;
    else faults.lagRecords = LAG_RECORDS;
    this.timer.after(CUT_MILLISECONDS, () => {
      faults.down = false;
      faults.slowMilliseconds = 0;
      faults.lagRecords = 0;
      this.tell("log_outage_ended", "network", {});
    });
  }

  /** The endpoint beside a side, or the name where it is an endpoint. */
  endpointNear(name: string): string | undefined {
    const id = name.startsWith("side-") ? name.slice(5) : name;
    return this.#endpoints.has(id) ? id : undefined;
  }

  isProcess(name: string): boolean {
    return this.#processes(name) !== undefined;
  }

  tell(
    kind: HistoryEventKind,
    process: string,
    facts: HistoryEvent["facts"],
  ): void {
    this.history.push({ at: this.timer.now(), process, kind, facts });
  }

  /** Its VM goes; until a new run starts, the endpoint gets no new work. */
  #isLeaving(name: string): void {
    const endpoint = this.endpointNear(name);
    if (endpoint === undefined || this.#leaving.has(name)) return;
    this.#leaving.add(name);
    this.tell("endpoint_leaving", "network", { endpoint });
  }

  #processes(name: string) {
    return this.#entries.get(name) ?? this.#sides.get(name);
  }

  #remove(name: string, gate: ProcessGate): void {
    gate.kill();
    this.#vms.remove(name);
    this.#entries.delete(name);
    this.#sides.delete(name);
    this.#links.closeAll(name);
    const endpoint = this.endpointNear(name);
    if (endpoint !== undefined) this.#endpoints.get(endpoint)?.sideGone();
  }

  /** Starts a new run of a process that has gone. */
  startAgain(name: string): void {
    if (this.#processes(name) !== undefined) return;
    const endpoint = this.endpointNear(name);
    if (this.#leaving.delete(name) && endpoint !== undefined) {
      this.tell("endpoint_returned", "network", { endpoint });
    }
    if (name.startsWith("entry-")) this.#startEntry(name);
    else this.#startSide(name);
  }

  #startEntry(name: string): void {
    const gate = new ProcessGate();
    const run = this.#nextRun(name);
    const core = new EntryCore({
      name: identifier(name),
      incarnation: identifier(`${name} run ${run}`),
      region: identifier(REGION),
      availabilityZone: identifier(ZONES[ENTRIES.indexOf(name)]),
      timer: gate.timer(this.timer),
      random: this.#randomOf(`${name} ${run}`),
      log: this.#links.logOf(name, gate),
      sides: this.#links.sides(name, gate),
      entries: this.#links.entries(name, gate),
      vmList: this.#variant.listsVms ? this.#vms.list() : undefined,
      peerAddresses: ENTRIES.filter((each) => each !== name).map(addressOf),
      hash: (text) => hashToUnit(text).toString(36),
      limits: ENTRY_LIMITS,
      times: ENTRY_TIMES,
      observe: (event) => this.#observe(gate, event),
      ...this.#options.entry,
    });
    this.#entries.set(name, { name, gate, core });
    this.#vms.add(name, ZONES[ENTRIES.indexOf(name)]);
    core.start();
  }

  #startSide(name: string): void {
    const gate = new ProcessGate();
    const run = this.#nextRun(name);
    const id = name.slice("side-".length);
    const endpoint = this.#endpoints.get(id) as FakeEngine | FakeService;
    const core = new SideCore({
      name: identifier(name),
      incarnation: identifier(`${name} run ${run}`),
      endpointId: id,
      availabilityZone: identifier(zoneOf(id)),
      kind: endpoint.kind,
      timer: gate.timer(this.timer),
      random: this.#randomOf(`${name} ${run}`),
      endpoint: this.#links.endpointOf(name, gate, endpoint),
      entries: this.#links.entries(name, gate),
      entryAddresses: ENTRIES.map(addressOf),
      limits: SIDE_LIMITS,
      times: SIDE_TIMES,
      observe: (event) => this.#observe(gate, event),
      ...this.#options.side,
    });
    this.#sides.set(name, { name, gate, core });
    this.#vms.add(name, zoneOf(id));
    core.start();
  }

  #observe(gate: ProcessGate, event: HistoryEvent): void {
    if (gate.alive) this.history.push(event);
  }

  #makeEndpoints(): void {
    const { timer } = this;
    const observe = (event: HistoryEvent) => void this.history.push(event);
    for (const id of ENGINES) {
      const { checksFencing } = this.#variant;
      const options = { id, timer, observe, checksFencing };
      this.#endpoints.set(id, new FakeEngine(options));
    }
    for (const id of SERVICES) {
      this.#endpoints.set(id, new FakeService({ id, timer, observe }));
    }
  }

  #makeOperator(name: string): void {
    const fold = new ConfigurationFold();
    const journal = new Journal({
      log: this.#links.logOf(name, new ProcessGate()),
      stream: identifier(`configuration.${REGION}`),
      fold,
      timer: this.timer,
      random: this.#randomOf(name),
      writer: identifier(name),
      incarnation: identifier(`${name} run 1`),
      appendDelayMilliseconds: 5,
      checkpointRecords: Infinity,
      writesCheckpoints: false,
      onApplied: () => this.#tellDraining(name, fold),
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

  /** What an accepted configuration says of endpoints, as an operator sees. */
  #tellDraining(operator: string, fold: ConfigurationFold): void {
    if (operator !== "operator" || fold.inventory === undefined) return;
    for (const pool of fold.inventory.pools) {
      for (const { id, state } of pool.endpoints) {
        const drains = state === "draining";
        if (drains === this.#draining.has(id)) continue;
        if (drains) this.#draining.add(id);
        else this.#draining.delete(id);
        const kind = drains ? "endpoint_leaving" : "endpoint_returned";
        this.tell(kind, "network", { endpoint: id });
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
    if (body.kind === "order") facts.target = textOf(body.target as never);
    this.tell("log_appended", "log", {
      ...facts,
      stream,
      offset: appended.offset,
    });
  }

  #nextRun(name: string): number {
    const run = (this.#runs.get(name) ?? 0) + 1;
    this.#runs.set(name, run);
    return run;
  }

  #randomOf(name: string): Random {
    return seededRandom(hashToUnit(`${this.#options.seed} ${name}`) * 2 ** 32);
  }
}

interface Variant {
  /** Whether the engines refuse orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** Whether the entries have the platform's list of VMs. */
  readonly listsVms: boolean;
  /** Records that the log keeps of each stream. */
  readonly keepRecords: number;
}

/** What differs between runs besides chance, so that every seed counts. */
function variantOf(seed: number): Variant {
  return {
    checksFencing: seed % 2 === 0,
    listsVms: seed % 5 !== 0,
    keepRecords: seed % 3 === 0 ? 15 : Infinity,
  };
}

/** Endpoints are dealt out to the zones in turn. */
export function zoneOf(endpoint: string): string {
  return ZONES[Number(endpoint.slice(-1)) % ZONES.length];
}

/** What a publication of a run brings. */
export interface Change {
  readonly weights?: string;
  readonly draining?: readonly string[];
}

/** Inventory and rules of a run; draining and weights are what changes. */
function contentOf(
  change: Change & { checksFencing: boolean },
): ConfigurationContent {
  const endpointsOf = (ids: readonly string[]) =>
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
        endpoints: endpointsOf(ENGINES),
      }, {
        name: "member-portal",
        kind: "service",
        routes: [
          { method: "POST", path: "/cases", idempotent: false },
          { method: "GET", path: "/cases", idempotent: true },
        ],
        endpoints: endpointsOf(SERVICES),
      }],
    },
    rules: {
      classes: [{ name: "urgent", priority: 0, deadlineSeconds: 10 }],
      defaultClass: "urgent",
      planner: { enabled: false },
    },
  };
}
