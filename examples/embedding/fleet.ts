import {
  type AnswerSink,
  type CallerRequest,
  type ConfigurationContent,
  ConfigurationFold,
  type EndpointLink,
  EntryCore,
  type EntryOptions,
  hashToUnit,
  identifier,
  Journal,
  type LogService,
  type Observe,
  type PeerAddress,
  Publisher,
  type Random,
  type RequestHandle,
  seededRandom,
  SideCore,
  type SideOptions,
  type TimerService,
} from "filbertshore";
import { InProcessNetwork, type NetworkMessage } from "./network.ts";

/** An endpoint and its pool. */
export interface FleetEndpoint {
  readonly id: string;
  readonly pool: string;
  readonly availabilityZone: string;
  readonly link: EndpointLink;
}

export interface FleetOptions {
  readonly timer: TimerService;
  /** A 32-bit integer; runs with the same seed are identical. */
  readonly seed: number;
  /** Returns the log connection of the named process. */
  readonly connectLog: (process: string) => LogService;
  readonly region: string;
  readonly availabilityZones: readonly string[];
  readonly entries: number;
  readonly endpoints: readonly FleetEndpoint[];
  readonly minDelayMilliseconds?: number;
  readonly observe?: Observe;
  readonly onMessage?: (message: NetworkMessage) => void;
  /** Overrides of the default options of entries and sides. */
  readonly entry?: Partial<EntryOptions>;
  readonly side?: Partial<SideOptions>;
}

const ENTRY_LIMITS: EntryOptions["limits"] = {
  mostQueued: 2_000,
  mostQueuedPerWorkspace: 2_000,
  mostOpenRequests: 4_000,
  shutdownSeconds: 30,
  mostEndpointsPerPool: 64,
  mostAttempts: 4,
};

const ENTRY_TIMES: EntryOptions["times"] = {
  reportMilliseconds: 1_000,
  suspectMilliseconds: 3_500,
  appendDelayMilliseconds: 20,
  claimSilenceMilliseconds: 15_000,
  checkpointRecords: 500,
  planMilliseconds: 2_000,
  keyWindowMilliseconds: 600_000,
  vmListMilliseconds: 2_000,
};

const SIDE_LIMITS: SideOptions["limits"] = {
  mostRunning: 64,
  mostWaiting: 16,
  mostKeptAnswers: 10_000,
  mostKeptAnswerBytes: 32 * 1024 * 1024,
  shutdownSeconds: 30,
};

const SIDE_TIMES: SideOptions["times"] = {
  reportMilliseconds: 1_000,
  longestOrderMilliseconds: 20_000,
  watchMilliseconds: 15_000,
  drainMilliseconds: 10_000,
  firstTokenSilenceMilliseconds: 15_000,
  tokenSilenceMilliseconds: 5_000,
};

/** Runs entries, sides and an operator's publisher in one process. */
export class Fleet {
  readonly entries: EntryCore[] = [];
  readonly sides: SideCore[] = [];
  readonly network: InProcessNetwork;
  readonly #options: FleetOptions;
  readonly #publisher: Publisher;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.network = new InProcessNetwork({
      timer: options.timer,
      random: this.#randomFor("network"),
      minDelayMilliseconds: options.minDelayMilliseconds ?? 1,
      onMessage: options.onMessage,
    });
    for (let index = 0; index < options.entries; index += 1) {
      this.entries.push(this.#makeEntry(index));
    }
    for (const endpoint of options.endpoints) {
      this.sides.push(this.#makeSide(endpoint));
    }
    this.#publisher = this.#makePublisher();
  }

  start(): void {
    for (const entry of this.entries) entry.start();
    for (const side of this.sides) side.start();
  }

  /** Cancels all timers; the fleet can't be restarted. */
  halt(): void {
    for (const process of [...this.entries, ...this.sides]) process.halt();
  }

  /** Publishes as an operator does; resolves to the verdict. */
  publish(content: ConfigurationContent, base: number) {
    const publicationId = `change-on-${base}`;
    return this.#publisher.publish(content, { publicationId, base });
  }

  submit(
    entry: number,
    request: CallerRequest,
    sink: AnswerSink,
  ): RequestHandle {
    return this.entries[entry].submit(request, sink);
  }

  #makeEntry(index: number): EntryCore {
    const { region, availabilityZones, timer, observe } = this.#options;
    const address = entryAddress(index);
    const name = `entry-${index}`;
    const entry = new EntryCore({
      name: identifier(name),
      incarnation: identifier(`${name}-run-0`),
      region: identifier(region),
      availabilityZone: identifier(
        availabilityZones[index % availabilityZones.length],
      ),
      timer,
      random: this.#randomFor(name),
      log: this.#options.connectLog(name),
      ...this.network.linksOf(address),
      peerAddresses: this.#entryAddresses().filter((peer) => peer !== address),
      hash: (text) => hashToUnit(text).toString(36),
      limits: ENTRY_LIMITS,
      times: ENTRY_TIMES,
      observe,
      ...this.#options.entry,
    });
    this.network.addEntry(address, entry);
    return entry;
  }

  #makeSide(endpoint: FleetEndpoint): SideCore {
    const { timer, observe } = this.#options;
    const address = sideAddress(endpoint.id);
    const side = new SideCore({
      name: identifier(`side-${endpoint.id}`),
      incarnation: identifier(`side-${endpoint.id}-run-0`),
      endpointId: endpoint.id,
      availabilityZone: identifier(endpoint.availabilityZone),
      kind: "engine",
      timer,
      random: this.#randomFor(endpoint.id),
      endpoint: endpoint.link,
      entries: this.network.linksOf(address).entries,
      entryAddresses: this.#entryAddresses(),
      limits: SIDE_LIMITS,
      times: SIDE_TIMES,
      observe,
      ...this.#options.side,
    });
    this.network.addSide(address, side);
    return side;
  }

  #makePublisher(): Publisher {
    const { timer, region } = this.#options;
    const fold = new ConfigurationFold();
    const journal = new Journal({
      log: this.#options.connectLog("publisher"),
      stream: identifier(`configuration.${region}`),
      fold,
      timer,
      random: this.#randomFor("publisher"),
      writer: identifier("publisher"),
      incarnation: identifier("publisher-run-0"),
      appendDelayMilliseconds: 5,
      checkpointRecords: Infinity,
      writesCheckpoints: false,
    });
    journal.start();
    return new Publisher({ journal, fold, timer, verdictMilliseconds: 30_000 });
  }

  #entryAddresses(): PeerAddress[] {
    return Array.from(
      { length: this.#options.entries },
      (_, index) => entryAddress(index),
    );
  }

  /** Separate random source per process, so that none affects another. */
  #randomFor(name: string): Random {
    return seededRandom(hashToUnit(`${this.#options.seed} ${name}`) * 2 ** 32);
  }
}

/** Address at which the entry with this index listens. */
export function entryAddress(index: number): PeerAddress {
  return identifier(`entry-${index}:7000`);
}

/** Address at which the side of this endpoint listens. */
export function sideAddress(endpoint: string): PeerAddress {
  return identifier(`${endpoint}:7001`);
}
