import type {
  CrashReport,
  CrashSuspects,
  EndpointRegistry,
  EngineEstimates,
  LoadOwners,
  LoadPicture,
  PrefixDirectory,
  ReturningCallers,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  type ProcessId,
} from "../../core/identity/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import { decodePrompt, encodePrompt } from "./prompt_encoding.ts";
import {
  isCrashReport,
  isWorkNotification,
  withRuns,
  WORK_METHOD,
  type WorkNotification,
  workOfSameRuns,
} from "./work_notification.ts";

/**
 * Interval between reports of open work, for each peer. It grows with the
 * fleet, so that the datagrams of a thin machine stay bounded.
 */
const REPORT_MILLISECONDS_PER_PEER = 6;
const MIN_REPORT_INTERVAL_MILLISECONDS = 15;
/** Fleets up to this size tell at the shortest interval. */
const SMALL_FLEET_PEERS = 5;
/** Everything is told again so often: a lost datagram is made up for. */
const FULL_REPORT_INTERVAL_MILLISECONDS = 700;
/**
 * Interval of the reports beyond which the owners of endpoints are told of work
 * at once, and asked for it. With shorter ones entries miss less than one
 * prompt of each other's work.
 */
const MAX_FRESH_INTERVAL_MILLISECONDS = 30;
/** How long changes of work are gathered before owners are told. */
const OWNER_UPDATE_DELAY_MILLISECONDS = 1;
/** Notification that carries orders to engines. */
export const ROLES_METHOD = "entry.roles";
/** Notification that carries registrations that have changed. */
export const REGISTRATIONS_METHOD = "entry.registrations";

/** How long losses are gathered: those of one crash come together. */
const CRASH_REPORT_DELAY_MILLISECONDS = 5;
/** Notification that carries requests lost with endpoints. */
export const CRASHES_METHOD = "entry.crashes";

/** Sends a notification to peers. */
export type SendToPeers = (
  addresses: readonly string[],
  notification: { readonly method: string; readonly params: unknown },
) => void;

export interface PeerExchangeOptions {
  readonly process: string;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly load: LoadPicture;
  readonly owners: LoadOwners;
  readonly prefixes: PrefixDirectory;
  readonly estimates: EngineEstimates;
  readonly returning: ReturningCallers;
  readonly crashes: CrashSuspects;
  readonly sendToPeers: SendToPeers;
  /** Version of the configuration in force here. */
  readonly version: () => number | undefined;
  /** A peer has a configuration of this version. */
  readonly onVersion: (version: number) => void;
  /** A peer's wall clock shows this; absent where clocks don't matter. */
  readonly onClock?: (peer: ProcessId, wallClock: number) => void;
  /** An entry has told of itself that the fleet's list does not name yet. */
  readonly onUnlistedPeer: () => void;
}

/** Tells peers of this entry's open work, and takes in theirs. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  #addresses: readonly string[] = [];
  #peers: ReadonlyMap<string, string> = new Map();
  /** Endpoints whose owners are to be told of changed work. */
  readonly #changedEndpoints = new Set<EndpointId>();
  #ownerUpdate: Subscription | undefined;
  #crashReport: Subscription | undefined;
  /** The last run of each peer that has told of itself. */
  readonly #incarnations = new Map<string, string>();
  #knownEntries: number | undefined;
  #nextReport: Subscription | undefined;
  #sequence = 0;
  #lastFullReportAt = -Infinity;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    options.load.onOwnChange((endpoint) => this.#onOwnChange(endpoint));
    options.crashes.reports.onNews(() => this.#scheduleCrashReport());
  }

  /** Entries of the fleet, this one included; undefined while unknown. */
  get knownEntries(): number | undefined {
    return this.#knownEntries;
  }

  /** How often peers are told of this entry's work, milliseconds. */
  get #interval(): number {
    const beyondFew = Math.max(0, this.#addresses.length - SMALL_FLEET_PEERS);
    return MIN_REPORT_INTERVAL_MILLISECONDS +
      REPORT_MILLISECONDS_PER_PEER * beyondFew;
  }

  /** True where reports come too seldom to place work by them alone. */
  get isLoadStale(): boolean {
    return this.#interval > MAX_FRESH_INTERVAL_MILLISECONDS;
  }

  start(): void {
    this.#nextReport = this.#options.timer.after(this.#interval, () => {
      this.#reportWork();
      this.start();
    });
  }

  stop(): void {
    this.#nextReport?.cancel();
    this.#ownerUpdate?.cancel();
    this.#crashReport?.cancel();
  }

  /** Takes the fleet's list: the others' addresses by their names. */
  setPeers(peers: ReadonlyMap<string, string>): void {
    this.#peers = peers;
    this.#addresses = [...peers.values()];
    for (const name of this.#incarnations.keys()) {
      if (!peers.has(name)) this.#incarnations.delete(name);
    }
    this.#knownEntries = peers.size + 1;
    const names = [...peers.keys()].map((name) => identifier<ProcessId>(name));
    this.#options.owners.setMembers(names);
  }

  /** The others on the fleet's list. */
  get listedPeers(): readonly ProcessId[] {
    return [...this.#peers.keys()].map((name) => identifier<ProcessId>(name));
  }

  /** Tells peers of something that does not wait for the next report. */
  broadcast(method: string, params: unknown): void {
    if (this.#addresses.length === 0) return;
    this.#options.sendToPeers(this.#addresses, { method, params });
  }

  /** Tells one peer. */
  sendTo(
    peer: ProcessId,
    notification: { readonly method: string; readonly params: unknown },
  ): void {
    const address = this.#peers.get(peer);
    if (address === undefined) return;
    this.#options.sendToPeers([address], notification);
  }

  /** Takes a peer's notification; anything malformed is passed over. */
  onWork(params: unknown): void {
    if (!isWorkNotification(params)) return;
    if (params.entry === this.#options.process) return;
    if (!this.#peers.has(params.entry)) this.#options.onUnlistedPeer();
    this.#options.owners.heard(identifier(params.entry));
    if (params.clock !== undefined) {
      this.#options.onClock?.(identifier(params.entry), params.clock);
    }
    if (params.version !== undefined) this.#options.onVersion(params.version);
    const { estimates, load, prefixes, registry } = this.#options;
    for (const speed of params.speeds ?? []) estimates.peerTold(speed);
    load.peerReported(params.entry, {
      ...params,
      work: workOfSameRuns(registry, params.work),
    });
    for (const encoded of params.prompts) {
      const prompt = decodePrompt(encoded);
      const isSameRun = prompt !== undefined && registry.isSameRun({
        id: prompt.engine,
        startedAt: prompt.engineStartedAt,
      });
      if (isSameRun) prefixes.peerRead(prompt);
    }
    for (const refusal of params.refusals) {
      this.#options.returning.peerRefused(refusal);
    }
    for (const loss of params.losses ?? []) {
      this.#options.crashes.peerLost(loss);
    }
    this.#syncBlockedRequests(params);
  }

  /** Takes what a peer tells of requests lost with endpoints. */
  onCrashes(params: unknown): void {
    if (!isCrashReport(params)) return;
    const { crashes } = this.#options;
    for (const loss of params.losses) crashes.peerLost(loss);
    for (const digest of params.cleared) crashes.peerCompleted(digest);
  }

  /** Tells a peer that has started which requests crash endpoints. */
  #syncBlockedRequests({ entry, incarnation }: WorkNotification): void {
    if (this.#incarnations.get(entry) === incarnation) return;
    this.#incarnations.set(entry, incarnation);
    const losses = this.#options.crashes.lossesOfBlocked();
    if (losses.length === 0) return;
    const peer = identifier<ProcessId>(entry);
    const report: CrashReport = { losses, cleared: [] };
    this.sendTo(peer, { method: CRASHES_METHOD, params: report });
  }

  #reportWork(): void {
    const {
      crashes,
      estimates,
      load,
      prefixes,
      registry,
      returning,
      timer,
    } = this.#options;
    const now = timer.now();
    const isFull =
      now - this.#lastFullReportAt >= FULL_REPORT_INTERVAL_MILLISECONDS;
    if (!isFull && !load.hasChanged && !returning.hasUntold) return;
    if (isFull) this.#lastFullReportAt = now;
    const losses = isFull ? crashes.reports.recentLosses() : [];
    this.broadcast(WORK_METHOD, {
      ...this.#baseNotification(isFull),
      version: this.#options.version(),
      work: withRuns(registry, load.report({ whole: isFull })),
      prompts: prefixes.takeUntold().map(encodePrompt),
      refusals: returning.takeUntold(),
      ...(losses.length > 0 && { losses }),
      ...(isFull && {
        speeds: estimates.tell(),
        ...(this.#options.onClock && { clock: timer.wallClock() }),
      }),
    });
  }

  /** What tells nothing yet, with the next number in turn. */
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

  /**
   * A retry may come to another entry within milliseconds; sent on there in
   * ignorance of the crash before, it does not count as one more.
   */
  #scheduleCrashReport(): void {
    this.#crashReport ??= this.#options.timer.after(
      CRASH_REPORT_DELAY_MILLISECONDS,
      () => {
        this.#crashReport = undefined;
        const report = this.#options.crashes.reports.take();
        if (report === undefined) return;
        this.broadcast(CRASHES_METHOD, report);
        this.#scheduleCrashReport();
      },
    );
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
    const { load, owners, registry } = this.#options;
    for (
      const [owner, endpoints] of owners.byOtherOwner(this.#changedEndpoints)
    ) {
      const work = withRuns(registry, load.reportOf(endpoints));
      const params = { ...this.#baseNotification(false), work };
      this.sendTo(owner, { method: WORK_METHOD, params });
    }
    this.#changedEndpoints.clear();
  }
}
