import type {
  EndpointRegistry,
  EngineEstimates,
  LoadPicture,
  PeerWork,
  PrefixDirectory,
  ReturningCallers,
  ToldRefusal,
  ToldSpeed,
  WorkReport,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  type ReplicaStart,
} from "../../core/identity/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import { decodePrompt, encodePrompt, type ToldPrompt } from "./told_prompt.ts";

/**
 * How often an entry tells its peers of its open work, for each peer that it
 * tells. Load: five entries that each place a prompt every ten milliseconds,
 * on engines that read one in thirty. Harm prevented: entries that don't know
 * of each other's last sends pick the same engine. Limit: 15 ms among five
 * entries; in larger fleets the interval grows so that a thin machine sends
 * some 170 datagrams a second at most. Twice as many took a fifth of a link of
 * 7 Mbit/s, and a tenth of the processor time of an entry under load.
 */
const TELL_MILLISECONDS_PER_PEER = 6;
const SHORTEST_TELL_MILLISECONDS = 15;
/** Fleets up to this size tell at the shortest interval. */
const FEW_PEERS = 5;
/** Everything is told again so often: a lost datagram is made up for. */
const WHOLE_TELL_MILLISECONDS = 700;
/** Notification that carries an entry's open work. */
export const WORK_METHOD = "entry.work";
/** Notification that carries orders to engines. */
export const ROLES_METHOD = "entry.roles";
/** Notification that carries registrations that have changed. */
export const REGISTRATIONS_METHOD = "entry.registrations";

/** Sends a notification to peers. */
export type SendToPeers = (
  addresses: readonly string[],
  notification: { readonly method: string; readonly params: unknown },
) => void;

/** What an entry tells its peers. */
export interface WorkNotification extends Omit<PeerWork, "work"> {
  readonly entry: string;
  readonly work: readonly ToldWork[];
  /** Version of the configuration in force there; absent while there is none. */
  readonly version?: number;
  /** Prompts read since the last report; a lost one costs a part read twice. */
  readonly prompts: readonly ToldPrompt[];
  /** What was learned of engines; comes with whole reports. */
  readonly speeds?: readonly ToldSpeed[];
  /** Prompts refused since the last report; their callers may come to others. */
  readonly refusals: readonly ToldRefusal[];
}

export interface PeerExchangeOptions {
  readonly process: string;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly load: LoadPicture;
  readonly prefixes: PrefixDirectory;
  readonly estimates: EngineEstimates;
  readonly returning: ReturningCallers;
  readonly sendToPeers: SendToPeers;
  /** Version of the configuration in force here. */
  readonly version: () => number | undefined;
  /** A peer has a configuration of this version. */
  readonly onVersion: (version: number) => void;
  /** An entry has told of itself that the fleet's list does not name yet. */
  readonly onUnlistedPeer: () => void;
}

/** Tells peers of this entry's open work, and takes in theirs. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  #addresses: readonly string[] = [];
  #names: ReadonlySet<string> = new Set();
  #knownEntries: number | undefined;
  #telling: Subscription | undefined;
  #sequence = 0;
  #lastWhole = -Infinity;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
  }

  /** Entries of the fleet, this one included; undefined while unknown. */
  get knownEntries(): number | undefined {
    return this.#knownEntries;
  }

  start(): void {
    const beyondFew = Math.max(0, this.#addresses.length - FEW_PEERS);
    const interval = SHORTEST_TELL_MILLISECONDS +
      TELL_MILLISECONDS_PER_PEER * beyondFew;
    this.#telling = this.#options.timer.after(interval, () => {
      this.#tellWork();
      this.start();
    });
  }

  stop(): void {
    this.#telling?.cancel();
  }

  /** Takes the fleet's list: the others' addresses by their names. */
  setPeers(peers: ReadonlyMap<string, string>): void {
    this.#names = new Set(peers.keys());
    this.#addresses = [...peers.values()];
    this.#knownEntries = peers.size + 1;
  }

  /** Tells peers of something that does not wait for the next report. */
  tell(method: string, params: unknown): void {
    if (this.#addresses.length === 0) return;
    this.#options.sendToPeers(this.#addresses, { method, params });
  }

  /** Takes a peer's notification; anything malformed is passed over. */
  take(params: unknown): void {
    if (!isWorkNotification(params)) return;
    if (params.entry === this.#options.process) return;
    if (!this.#names.has(params.entry)) this.#options.onUnlistedPeer();
    if (params.version !== undefined) this.#options.onVersion(params.version);
    const { estimates, load, prefixes, registry } = this.#options;
    for (const speed of params.speeds ?? []) estimates.peerTold(speed);
    load.peerReported(params.entry, {
      ...params,
      work: workHere(registry, params.work),
    });
    for (const told of params.prompts) {
      const prompt = decodePrompt(told);
      const isHere = prompt !== undefined && registry.isSameRun({
        id: prompt.engine,
        startedAt: prompt.engineStartedAt,
      });
      if (isHere) prefixes.peerRead(prompt);
    }
    for (const refusal of params.refusals) {
      this.#options.returning.peerRefused(refusal);
    }
  }

  #tellWork(): void {
    const {
      estimates,
      incarnation,
      load,
      prefixes,
      process,
      registry,
      returning,
      timer,
      version,
    } = this.#options;
    const now = timer.now();
    const whole = now - this.#lastWhole >= WHOLE_TELL_MILLISECONDS;
    if (!whole && !load.hasChanged && !returning.hasUntold) return;
    if (whole) this.#lastWhole = now;
    this.#sequence += 1;
    const notification: WorkNotification = {
      entry: process,
      incarnation,
      sequence: this.#sequence,
      whole,
      version: version(),
      work: workWithRuns(registry, load.report({ whole })),
      prompts: prefixes.takeUntold().map(encodePrompt),
      refusals: returning.takeUntold(),
      ...(whole && { speeds: estimates.tell() }),
    };
    this.tell(WORK_METHOD, notification);
  }
}

/**
 * Work as it goes to peers: with the start of each endpoint's run, where it
 * tells one. A replica that starts again under its id has none of it.
 */
type ToldWork = readonly [...WorkReport[number], startedAt?: ReplicaStart];
const LEAST_WORK_VALUES = 4;

function workWithRuns(
  registry: EndpointRegistry,
  report: WorkReport,
): ToldWork[] {
  return report.map((work) => {
    const startedAt = registry.get(identifier<EndpointId>(work[0]))?.startedAt;
    return startedAt === undefined ? work : [...work, startedAt];
  });
}

/** A peer's work at endpoints that it knows in the same run as this entry. */
function workHere(
  registry: EndpointRegistry,
  told: readonly ToldWork[],
): WorkReport {
  return told
    .filter(([endpoint, , , , startedAt]) =>
      registry.isSameRun({ id: identifier<EndpointId>(endpoint), startedAt })
    )
    .map(([endpoint, requests, prefill, tokens]) =>
      [endpoint, requests, prefill, tokens] as const
    );
}

function isWorkNotification(value: unknown): value is WorkNotification {
  if (typeof value !== "object" || value === null) return false;
  const {
    entry,
    incarnation,
    prompts,
    refusals,
    sequence,
    speeds,
    version,
    work,
  } = value as Record<string, unknown>;
  const isVersion = version === undefined || typeof version === "number";
  const hasSpeeds = speeds === undefined || Array.isArray(speeds);
  return isVersion && hasSpeeds && typeof entry === "string" &&
    typeof incarnation === "string" &&
    typeof sequence === "number" && Array.isArray(work) &&
    Array.isArray(prompts) &&
    Array.isArray(refusals) && refusals.every(isToldRefusal) &&
    work.every((each) =>
      Array.isArray(each) && each.length >= LEAST_WORK_VALUES
    );
}

function isToldRefusal(value: unknown): value is ToldRefusal {
  return Array.isArray(value) && typeof value[0] === "string" &&
    typeof value[1] === "number";
}
