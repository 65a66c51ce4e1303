import {
  type CrashTracker,
  decodeLimit,
  encodeLimit,
  type EndpointLimits,
  type EndpointRegistry,
  type EngineEstimates,
  type FleetLoad,
  type LimitObservation,
  type LimitReport,
  type LoadOwners,
  type PoolShares,
  type PrefixDirectory,
  type ReturningCallers,
  type RoleWork,
  type VerdictRow,
  type WorkReport,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  type ProcessId,
} from "../../core/identity/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type { LoadReportExchange } from "./load_report_exchange.ts";
import type { FleetOutcomes } from "./fleet_outcomes.ts";
import type {
  Notification,
  SendToPeers,
} from "./notifications/notifications.ts";
import { decodePrompt, encodePrompt } from "./notifications/prompt_encoding.ts";
import {
  type VerdictNotification,
  VERDICTS_METHOD,
} from "./notifications/verdict_notification.ts";
import {
  withRuns,
  WORK_METHOD,
  type WorkNotification,
  workOfSameRuns,
} from "./notifications/work_notification.ts";

/**
 * Reporting interval for each peer. The interval grows with the fleet, which
 * bounds the datagrams of a machine with a slow link.
 */
const REPORT_MILLISECONDS_PER_PEER = 6;
const MIN_REPORT_INTERVAL_MILLISECONDS = 15;
/** Fleets with up to this many peers report at the shortest interval. */
const SMALL_FLEET_PEERS = 5;
/** Interval of full reports, which make up for lost datagrams. */
const FULL_REPORT_INTERVAL_MILLISECONDS = 700;
/**
 * Reporting interval above which the owners of endpoints are updated
 * immediately and queried for their load. At shorter intervals entries miss
 * less than one prompt of each other's work.
 */
const MAX_FRESH_INTERVAL_MILLISECONDS = 30;
/** How long changes of load are batched before owners are updated. */
const OWNER_UPDATE_DELAY_MILLISECONDS = 1;
/** Maximum number of workspaces' rows in a full report. */
const MAX_SHARE_ROWS = 16;
/**
 * Rows in the full reports of all entries together. It bounds the rows that an
 * entry receives; what does not fit is sent with a later report.
 */
const FLEET_SHARE_ROWS = 960;
/** Subject by which the entries that plan roles by observed work are ranked. */
const ROLE_PLANNERS = "role-planners";
/**
 * Number of entries that learn the work of all entries and plan roles by it. A
 * row for each peer would take 10 KB per second of an entry in a fleet of 300;
 * with three planners one is left while two of them fail.
 */
const PLANNERS = 3;
export interface PeerExchangeOptions {
  readonly process: string;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly load: FleetLoad;
  readonly owners: LoadOwners;
  readonly prefixes: PrefixDirectory;
  readonly estimates: EngineEstimates;
  readonly returningCallers: ReturningCallers;
  readonly crashes: CrashTracker;
  readonly limits: EndpointLimits;
  readonly reportExchange: LoadReportExchange;
  readonly outcomes: FleetOutcomes;
  /** Absent: roles are not planned by observed work. */
  readonly roleWork: RoleWork | undefined;
  readonly shares: PoolShares;
  readonly sendToPeers: SendToPeers;
  /** Version of the configuration in force here. */
  readonly version: () => number | undefined;
  /** Called with the configuration version of a peer. */
  readonly onVersion: (peer: ProcessId, version: number) => void;
  /** Called with a peer's wall clock; absent where clocks are not compared. */
  readonly onClock?: (peer: ProcessId, wallClock: number) => void;
  /** Called when an entry reports that is not in the list of the fleet yet. */
  readonly onUnlistedPeer: () => void;
  /** Called with the other entries in the list of the fleet. */
  readonly onPeersChanged: (peers: readonly ProcessId[]) => void;
  /** Called when a peer has started or restarted. */
  readonly onPeerStart: (peer: ProcessId) => void;
}

/** Reports this entry's open work to its peers and applies their reports. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  #addresses: readonly string[] = [];
  #peers: ReadonlyMap<string, string> = new Map();
  /** Endpoints with load changes that their owners have not received yet. */
  readonly #changedEndpoints = new Set<EndpointId>();
  #ownerUpdate: Subscription | undefined;
  /** Incarnation of each peer that has reported. */
  readonly #incarnations = new Map<string, string>();
  #fleetSize: number | undefined;
  #nextReport: Subscription | undefined;
  #sequence = 0;
  #lastFullReportAt = -Infinity;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    options.load.onOwnChange((endpoint) => this.#onOwnChange(endpoint));
  }

  /**
   * Number of entries in the fleet, including this one; undefined if unknown.
   */
  get fleetSize(): number | undefined {
    return this.#fleetSize;
  }

  /** Interval of the reports to peers, in milliseconds. */
  get #interval(): number {
    const additionalPeers = Math.max(
      0,
      this.#addresses.length - SMALL_FLEET_PEERS,
    );
    return MIN_REPORT_INTERVAL_MILLISECONDS +
      REPORT_MILLISECONDS_PER_PEER * additionalPeers;
  }

  /** Rows of workspaces in one full report of this entry. */
  get #maxShareRows(): number {
    const share = Math.floor(FLEET_SHARE_ROWS / (this.#addresses.length + 1));
    return Math.min(MAX_SHARE_ROWS, Math.max(1, share));
  }

  /** True if reports are too infrequent to place work by them alone. */
  get isLoadStale(): boolean {
    return this.#interval > MAX_FRESH_INTERVAL_MILLISECONDS;
  }

  start(): void {
    this.#nextReport = this.#options.timer.after(this.#interval, () => {
      this.start();
      this.#reportWork();
    });
  }

  stop(): void {
    this.#nextReport?.cancel();
    this.#ownerUpdate?.cancel();
  }

  /** Sets the fleet's list: addresses of the peers by name. */
  setPeers(peers: ReadonlyMap<string, string>): void {
    this.#peers = peers;
    this.#addresses = [...peers.values()];
    for (const name of this.#incarnations.keys()) {
      if (!peers.has(name)) this.#incarnations.delete(name);
    }
    this.#options.roleWork?.retainPeers(new Set(peers.keys()));
    this.#fleetSize = peers.size + 1;
    const names = [...peers.keys()].map((name) => identifier<ProcessId>(name));
    this.#options.owners.setMembers(names);
    this.#options.onPeersChanged(names);
  }

  /** Peers in the list of the fleet. */
  get listedPeers(): readonly ProcessId[] {
    return [...this.#peers.keys()].map((name) => identifier<ProcessId>(name));
  }

  /** True if this entry learns the work of all entries and plans by it. */
  get isRolePlanner(): boolean {
    return this.#rolePlanners.includes(
      identifier<ProcessId>(this.#options.process),
    );
  }

  get #rolePlanners(): readonly ProcessId[] {
    return this.#options.owners.liveRanking(ROLE_PLANNERS).slice(0, PLANNERS);
  }

  /** Sends a notification to all peers without waiting for the next report. */
  broadcast(notification: Notification): void {
    if (this.#addresses.length === 0) return;
    this.#options.sendToPeers(this.#addresses, notification);
  }

  /** Sends verdicts on endpoints to all peers. */
  broadcastVerdicts(verdicts: readonly VerdictRow[]): void {
    const params = { entry: this.#options.process, verdicts };
    this.broadcast({ method: VERDICTS_METHOD, params });
  }

  /** Applies a peer's verdicts. */
  onVerdicts({ entry, verdicts }: VerdictNotification): void {
    const sender = identifier<ProcessId>(entry);
    this.#options.owners.recordMessage(sender);
    this.#options.outcomes.applyVerdicts(sender, verdicts);
  }

  /** Sends a notification to one peer. */
  sendTo(peer: ProcessId, notification: Notification): void {
    const address = this.#peers.get(peer);
    if (address === undefined) return;
    this.#options.sendToPeers([address], notification);
  }

  /** Name of the peer at an address; undefined if there is none. */
  peerAt(address: string): string | undefined {
    for (const [name, each] of this.#peers) if (each === address) return name;
    return undefined;
  }

  /** Applies a peer's report. */
  onWork(params: WorkNotification): void {
    if (params.entry === this.#options.process) return;
    if (!this.#peers.has(params.entry)) this.#options.onUnlistedPeer();
    const sender = identifier<ProcessId>(params.entry);
    this.#options.owners.recordMessage(sender);
    if (params.clock !== undefined) {
      this.#options.onClock?.(sender, params.clock);
    }
    if (params.version !== undefined) {
      this.#options.onVersion(sender, params.version);
    }
    const { estimates, load, outcomes, prefixes, registry } = this.#options;
    for (const speed of params.speeds ?? []) estimates.recordPeerReport(speed);
    load.applyPeerReport(params.entry, {
      ...params,
      work: workOfSameRuns(registry, params.work),
    });
    this.#options.reportExchange.apply(params.work);
    for (const encoded of params.prompts) {
      const prompt = decodePrompt(encoded);
      const isSameRun = registry.isSameRun({
        id: prompt.engine,
        startedAt: prompt.engineStartedAt,
      });
      if (isSameRun) prefixes.recordPeerCached(prompt);
    }
    for (const refusal of params.refusals) {
      this.#options.returningCallers.recordPeer(refusal);
    }
    if (params.losses !== undefined) {
      this.#options.crashes.recordPeerLosses(params.losses);
    }
    for (const limit of params.limits ?? []) this.#applyLimit(limit);
    if (params.outcomes !== undefined) {
      const { work } = params;
      outcomes.onReport(sender, { work, outcomes: params.outcomes });
    }
    outcomes.applyVerdicts(sender, params.verdicts ?? []);
    if (params.poolWork !== undefined) {
      this.#options.roleWork?.recordPeerReport(params, params.poolWork);
    }
    for (const rows of params.shares ?? []) {
      this.#options.shares.recordPeer(rows);
    }
    if (this.#isNewProcess(params)) this.#onPeerStart(sender);
  }

  /** True for the first report of a peer that has started or restarted. */
  #isNewProcess({ entry, incarnation }: WorkNotification): boolean {
    if (this.#incarnations.get(entry) === incarnation) return false;
    this.#incarnations.set(entry, incarnation);
    return true;
  }

  /** Sends a peer what it can't know yet. */
  #onPeerStart(peer: ProcessId): void {
    this.#options.onPeerStart(peer);
    const limits = this.#encodeLimits(this.#ownedLimits());
    if (limits.length === 0) return;
    const params = { ...this.#baseNotification(false), limits };
    this.sendTo(peer, { method: WORK_METHOD, params });
  }

  /** Limits of the endpoints that this entry owns. */
  #ownedLimits(): Iterable<readonly [EndpointId, LimitObservation]> {
    const { limits, owners, process } = this.#options;
    return [...limits.observations]
      .filter(([id]) => owners.ownerOf(id) === process);
  }

  #applyLimit(report: LimitReport): void {
    const { limits, registry, timer } = this.#options;
    const { run, observation } = decodeLimit(report, timer.now());
    if (registry.isSameRun(run)) limits.recordPeer(run.id, observation);
  }

  #encodeLimits(
    observations: Iterable<readonly [EndpointId, LimitObservation]>,
  ): readonly LimitReport[] {
    const { registry, timer } = this.#options;
    const now = timer.now();
    return [...observations].flatMap(([id, observation]) => {
      const endpoint = registry.get(id);
      return endpoint === undefined
        ? []
        : [encodeLimit(endpoint, { observation, now })];
    });
  }

  #reportWork(): void {
    const {
      crashes,
      estimates,
      limits,
      load,
      outcomes,
      prefixes,
      registry,
      returningCallers,
      roleWork,
      shares,
      timer,
    } = this.#options;
    const now = timer.now();
    const isFull =
      now - this.#lastFullReportAt >= FULL_REPORT_INTERVAL_MILLISECONDS;
    if (isFull) estimates.dropExpiredCosts();
    const hasUnreported = load.hasUnreported ||
      returningCallers.hasUnreported || limits.hasUnreported ||
      outcomes.hasUnrepeatedVerdicts;
    if (!isFull && !hasUnreported) return;
    if (isFull) this.#lastFullReportAt = now;
    const work = withRuns(
      registry,
      this.#withUnreportedOutcomes(load.report({ whole: isFull })),
    );
    const verdicts = outcomes.takeVerdicts({ isFull });
    const losses = isFull ? crashes.reports.recentLosses() : [];
    const poolWork = isFull ? roleWork?.report() ?? [] : [];
    const shareRows = isFull ? shares.takeUnreported(this.#maxShareRows) : [];
    const report = {
      ...this.#baseNotification(isFull),
      version: this.#options.version(),
      work,
      ...(!this.isLoadStale && this.#outcomesAt(work)),
      ...(verdicts.length > 0 && { verdicts }),
      prompts: prefixes.takeUnreported().map(encodePrompt),
      refusals: returningCallers.takeUnreported(),
      ...(losses.length > 0 && { losses }),
      ...(limits.hasUnreported &&
        { limits: this.#encodeLimits(limits.takeUnreported()) }),
      ...(shareRows.length > 0 && { shares: shareRows }),
      ...(isFull && {
        speeds: estimates.report(),
        ...(this.#options.onClock && { clock: timer.wallClock() }),
      }),
    };
    if (poolWork.length === 0) {
      return this.broadcast({ method: WORK_METHOD, params: report });
    }
    this.#sendToPlanners(report, poolWork);
  }

  /** Sends a report to all peers; those that plan roles get the rows as well. */
  #sendToPlanners(
    report: WorkNotification,
    poolWork: NonNullable<WorkNotification["poolWork"]>,
  ): void {
    const planners = new Set(
      this.#rolePlanners.flatMap((name) => this.#peers.get(name) ?? []),
    );
    const others = this.#addresses.filter((each) => !planners.has(each));
    const send = (
      addresses: readonly string[],
      params: WorkNotification,
    ) => {
      if (addresses.length === 0) return;
      this.#options.sendToPeers(addresses, { method: WORK_METHOD, params });
    };
    send(others, report);
    send([...planners], { ...report, poolWork });
  }

  /**
   * Adds the endpoints with outcomes to a report of open work, where no other
   * report goes to their owners.
   */
  #withUnreportedOutcomes(report: WorkReport): WorkReport {
    if (this.isLoadStale) return report;
    const { load, outcomes } = this.#options;
    const reported = new Set(report.map(([endpoint]) => endpoint));
    const others = [...outcomes.unreported].filter((id) => !reported.has(id));
    return others.length === 0 ? report : [...report, ...load.reportOf(others)];
  }

  /** Takes the outcomes at the endpoints of these rows, if there are any. */
  #outcomesAt(
    work: WorkNotification["work"],
  ): Pick<WorkNotification, "outcomes"> {
    const outcomes = this.#options.outcomes.takeRows(work);
    return outcomes.length === 0 ? {} : { outcomes };
  }

  /** An empty notification with the next sequence number. */
  #baseNotification(isFull: boolean): WorkNotification {
    const { incarnation, process } = this.#options;
    this.#sequence += 1;
    return {
      entry: process,
      incarnation,
      sequence: this.#sequence,
      whole: isFull,
      work: [],
      prompts: [],
      refusals: [],
    };
  }

  #onOwnChange(endpoint: EndpointId): void {
    if (!this.isLoadStale) return;
    this.#changedEndpoints.add(endpoint);
    this.#ownerUpdate ??= this.#options.timer.after(
      OWNER_UPDATE_DELAY_MILLISECONDS,
      () => {
        this.#ownerUpdate = undefined;
        this.#updateOwners();
      },
    );
  }

  #updateOwners(): void {
    const { load, owners, registry, reportExchange } = this.#options;
    for (
      const [owner, endpoints] of owners.groupByOtherOwner(
        this.#changedEndpoints,
      )
    ) {
      const work = reportExchange.addToUpdate(
        withRuns(registry, load.reportOf(endpoints)),
      );
      const params = {
        ...this.#baseNotification(false),
        work,
        ...this.#outcomesAt(work),
      };
      this.sendTo(owner, { method: WORK_METHOD, params });
    }
    this.#changedEndpoints.clear();
  }
}
