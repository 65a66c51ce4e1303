import { makeConnection } from "./endpoint_connection.ts";
import { err } from "neverthrow";
import {
  digestOf,
  partDigestOf,
  streamDigestOf,
} from "../../src/adapters/forwarding/mod.ts";
import {
  type ForwardingConfiguration,
  type RegisteredEndpoint,
} from "../../src/core/forwarding/mod.ts";
import {
  type AvailabilityZoneId,
  identifier,
} from "../../src/core/identity/mod.ts";
import { NOOP_LOGGER } from "../../src/core/observation/mod.ts";
import { type Random, seededRandom } from "../../src/core/random/mod.ts";
import { ManualTimerService } from "../../src/core/time/mod.ts";
import {
  type AnsweringProcess,
  type EndpointClient,
  type Exchange,
  ForwardingEntry,
  type ForwardingEntryOptions,
} from "../../src/entry/forwarding/mod.ts";
import { RecordingSink, SentAttempt } from "./forwarding_harness.ts";
import { makePlannedStop } from "./planned_stop.ts";

/** Latency of a datagram between two entries, one way. */
const MIN_LATENCY_MILLISECONDS = 0.5;
const LATENCY_SPREAD_MILLISECONDS = 1;
const DEFAULT_SEED = 3;
const LINK_LOST = { name: "link_lost", title: "", message: "", hint: "" };

export interface EntryFleetOptions {
  readonly entries: number;
  readonly zones: number;
  readonly configuration: ForwardingConfiguration;
  readonly endpoints: readonly RegisteredEndpoint[];
  /** Share of datagrams that are lost, 0 to 1. */
  readonly lossRate?: number;
  /** Seed of the latencies and losses of datagrams. */
  readonly seed?: number;
  /** How entries give role orders; absent: engines keep their roles. */
  readonly roles?: ForwardingEntryOptions["roles"];
  /** Answers of engines' health paths; absent: none answers. */
  readonly checkHealth?: EndpointClient["checkHealth"];
  /** Further options of an entry. */
  readonly entryOptions?: (index: number) => Partial<ForwardingEntryOptions>;
}

/**
 * Complete entries on virtual time that exchange datagrams, which are delayed,
 * reordered and lost.
 */
export class EntryFleet {
  readonly timer = new ManualTimerService();
  readonly entries: ForwardingEntry[];
  /** Indexes of entries that are partitioned from all others. */
  readonly partitioned = new Set<number>();
  /** Entries of different groups do not reach each other. */
  groupOf: (index: number) => number = () => 0;
  /** True if datagrams from one entry to another are lost. */
  isCut: (from: number, to: number) => boolean = () => false;
  /** Latency of a link in addition to that of all links, milliseconds. */
  extraLatency: (from: number, to: number) => number = () => 0;
  onSend: ((attempt: SentAttempt) => void) | undefined;
  /** Number of datagrams sent. */
  datagrams = 0;
  /** Bytes of the parameters of all notifications, by method. */
  readonly bytesByMethod = new Map<string, number>();
  readonly #options: EntryFleetOptions;
  readonly #random: Random;
  /** Whether a process listens at the address of an endpoint. */
  acceptsConnections: (address: string) => boolean = () => false;
  /** Which process answers on connections that are accepted. */
  answeringProcess: AnsweringProcess = "expected";
  readonly #lossRate: number;
  #restarts = 0;

  constructor(options: EntryFleetOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed ?? DEFAULT_SEED);
    this.#lossRate = options.lossRate ?? 0;
    const indexes = Array.from({ length: options.entries }, (_, each) => each);
    this.entries = indexes.map((index) => this.#makeEntry(index, options));
    for (const index of indexes) this.#setPeers(index);
    for (const entry of this.entries) {
      entry.applyConfiguration(options.configuration);
      for (const endpoint of options.endpoints) entry.registry.upsert(endpoint);
      entry.start();
    }
  }

  /**
   * Replaces an entry by a new process that knows only the registered
   * endpoints.
   */
  restart(index: number): void {
    const endpoints = [...this.entries[index].registry.all];
    this.entries[index].close();
    this.#restarts += 1;
    const entry = this.#makeEntry(index, this.#options);
    this.entries[index] = entry;
    this.#setPeers(index);
    entry.applyConfiguration(this.#options.configuration);
    for (const endpoint of endpoints) entry.registry.upsert(endpoint);
    entry.start();
  }

  #setPeers(index: number): void {
    const others = this.entries.flatMap((_, other) =>
      other === index ? [] : [[`entry-${other}`, `${other}`] as const]
    );
    this.entries[index].peers.setPeers(new Map(others));
  }

  #makeEntry(
    index: number,
    { checkHealth, entryOptions, roles, zones }: EntryFleetOptions,
  ): ForwardingEntry {
    return new ForwardingEntry({
      process: `entry-${index}`,
      incarnation: `${1 + this.#restarts}`,
      linkMegabitsPerSecond: undefined,
      loopDelayMilliseconds: () => 0,
      readDelayMilliseconds: () => 0,
      plannedStop: makePlannedStop(this.timer),
      availabilityZone: identifier<AvailabilityZoneId>(
        `zone-${index % zones}`,
      ),
      timer: this.timer,
      random: seededRandom(index),
      endpointClient: {
        send: (request, attempt) => this.#send(index, request, attempt),
        parseCacheHandle: (body) =>
          body.length > 0 ? body.toString() : undefined,
        listCachedParts: () => Promise.resolve(undefined),
        checkHealth: checkHealth ?? (() => Promise.resolve(undefined)),
        connect: (address) =>
          makeConnection(
            this.acceptsConnections(address),
            this.answeringProcess,
          ),
        release() {},
      },
      digestOf,
      partDigestOf,
      streamDigestOf,
      sendToPeers: (addresses, { method, params }) => {
        for (const address of addresses) {
          const port = address.slice(address.lastIndexOf(":") + 1);
          this.#deliver(index, Number(port), method, params);
        }
      },
      observe() {},
      roles,
      logger: NOOP_LOGGER,
      isFirstStart: true,
      retry: { ratio: 0.2, windowMilliseconds: 10_000, minimum: 200 },
      peerStateFallback: {
        peers: () => [],
        listEntries: () => [],
        adoptEntries() {},
        addressOf: () => undefined,
        ask: () => Promise.resolve(err(LINK_LOST)) as never,
      },
      onEndpointRemoved() {},
      recordPeerRead: () => "apart",
      checkConfiguration() {},
      onConfigurationConfirmed() {},
      onUnlistedPeer() {},
      persistBlocked() {},
      removeBlocked() {},
      onLoadQuery() {},
      onPermit() {},
      // What an entry sends, its peers can decode and apply.
      onDroppedNotification: (dropped) => {
        throw new Error(`Dropped ${JSON.stringify(dropped)}`);
      },
      ...entryOptions?.(index),
    });
  }

  #deliver(from: number, to: number, method: string, params: unknown): void {
    this.datagrams += 1;
    const text = JSON.stringify(params);
    const bytes = this.bytesByMethod.get(method) ?? 0;
    this.bytesByMethod.set(method, bytes + text.length);
    const isLost = this.partitioned.has(from) || this.partitioned.has(to) ||
      this.groupOf(from) !== this.groupOf(to) ||
      this.isCut(from, to) ||
      this.#random() < this.#lossRate;
    if (isLost) return;
    const latency = MIN_LATENCY_MILLISECONDS +
      LATENCY_SPREAD_MILLISECONDS * this.#random() +
      this.extraLatency(from, to);
    this.timer.after(latency, () => {
      this.entries[to].onNotification(method, JSON.parse(text));
    });
  }

  #send(
    entry: number,
    request: SentAttempt["request"],
    options: SentAttempt["options"],
  ): Exchange {
    let attempt: SentAttempt | undefined;
    const answer = new Promise<Awaited<Exchange["answer"]>>((resolve) => {
      attempt = new SentAttempt(request, options, resolve);
    });
    const sentAttempt = attempt as unknown as SentAttempt;
    sentAttempt.entry = entry;
    this.onSend?.(sentAttempt);
    return {
      answer,
      evidence: undefined,
      abort: () => sentAttempt.aborted = true,
    };
  }

  /** Submits a request to an entry and returns the sink of its caller. */
  submit(entry: number, request: SentAttempt["request"]): RecordingSink {
    const sink = new RecordingSink();
    this.entries[entry].handle(request, sink);
    return sink;
  }
}
