import type { Result } from "neverthrow";
import type {
  EndpointRegistry,
  ForwardingConfiguration,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type {
  LinkFailure,
  PeerAddress,
  StreamSnapshot,
} from "../../core/links/mod.ts";
import type { ProcessId } from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";

import type { ConfigurationStatus } from "./configuration_status.ts";
import type { FleetContact } from "./fleet_contact.ts";
import {
  type FleetMember,
  type ForwardingState,
  isForwardingState,
} from "./forwarding_state.ts";

/** Stream name under which peers request the forwarding state of an entry. */
export const FORWARDING_STATE_STREAM = "forwarding";
/**
 * How long the store may be silent before peers are queried: a pause between
 * two reads plus a read that times out.
 */
const STORE_SILENCE_MILLISECONDS = 1_500;
/**
 * How long nothing may have confirmed the configuration before peers are
 * queried: longer than the interval of the checks.
 */
const CONFIGURATION_SILENCE_MILLISECONDS = 1_000;
/**
 * Longest time between two reads of the registrations without a gap. It is
 * longer than a read that times out and its retry.
 */
const READ_GAP_MILLISECONDS = 5_000;
/** Interval of queries to peers while the store fails. */
const POLL_INTERVAL_MILLISECONDS = 500;
/**
 * Maximum age of a peer's state that still counts as current. A leaving
 * endpoint has to be known within two seconds of its record in the store; reads
 * every 400 ms at the peer, this age and the next query stay below that.
 */
const MAX_STATE_AGE_MILLISECONDS = 800;

export interface PeerStateFallbackOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  readonly registry: EndpointRegistry;
  readonly contact: Pick<
    FleetContact,
    "recordPeerAnswer" | "recordRegistrations"
  >;
  readonly configuration: () => ForwardingConfiguration | undefined;
  readonly configurationStatus: ConfigurationStatus;
  readonly applyConfiguration: (
    configuration: ForwardingConfiguration,
    peer: PeerAddress,
  ) => void;
  /** The list of the fleet as known here, this entry included. */
  readonly listEntries: () => readonly FleetMember[];
  /** Replaces the endpoints of this entry by a peer's. */
  readonly adoptEndpoints: (endpoints: readonly RegisteredEndpoint[]) => void;
  /** Takes a peer's list of the fleet until the store has been read. */
  readonly adoptEntries: (entries: readonly FleetMember[]) => void;
  /** Address where a peer responds; undefined if it is not listed. */
  readonly addressOf: (peer: ProcessId) => PeerAddress | undefined;
  /** Addresses where peers respond; some may be outdated. */
  readonly peers: () => readonly PeerAddress[];
  readonly ask: (
    peer: PeerAddress,
    stream: string,
  ) => Promise<Result<StreamSnapshot, LinkFailure>>;
}

/**
 * Reads configuration and endpoints from a peer while this entry cannot read
 * the store. The store may reject some machines and serve others, or be down
 * when an entry starts.
 */
export class PeerStateFallback {
  readonly #options: PeerStateFallbackOptions;
  #storeReadAt: number;
  /** When the reads of the registrations that have had no gap began. */
  #followedSince = Infinity;
  #polling: Subscription | undefined;
  #isUsingPeer = false;

  constructor(options: PeerStateFallbackOptions) {
    this.#options = options;
    this.#storeReadAt = -Infinity;
  }

  start(): void {
    this.#polling = this.#options.timer.every(
      POLL_INTERVAL_MILLISECONDS,
      () => this.#poll(),
    );
  }

  stop(): void {
    this.#polling?.cancel();
  }

  /** Records that the store has returned the current registrations. */
  onStoreRead(): void {
    const now = this.#options.timer.now();
    this.#followedSince = Math.min(this.followedSince, now);
    this.#storeReadAt = now;
    this.#options.contact.recordRegistrations(0);
    if (!this.#isUsingPeer) return;
    this.#isUsingPeer = false;
    this.#options.logger.info(
      {},
      "The store is reachable again; stopped reading from peers",
    );
  }

  /**
   * Time since which this entry has read the registrations without a gap;
   * Infinity during a gap. What it has not seen before, or during a gap in
   * which it was cut off or frozen, may have been registered nevertheless.
   */
  get followedSince(): number {
    const age = this.#options.timer.now() - this.#storeReadAt;
    return age > READ_GAP_MILLISECONDS ? Infinity : this.#followedSince;
  }

  /** Takes a peer's configuration if it is newer than the one in force. */
  async fetchConfiguration(peer: ProcessId): Promise<void> {
    const { addressOf, ask, logger } = this.#options;
    const address = addressOf(peer);
    if (address === undefined) return;
    const answer = await ask(address, FORWARDING_STATE_STREAM);
    if (answer.isErr()) {
      const reason = answer.error.message;
      logger.warn({ peer, reason }, "Cannot read the configuration of a peer");
      return;
    }
    this.#apply(answer.value.state, { peer: address, isCurrent: true });
  }

  get #isConfigurationStale(): boolean {
    const age = this.#options.configurationStatus.ageMilliseconds ?? Infinity;
    return age >= CONFIGURATION_SILENCE_MILLISECONDS;
  }

  /**
   * State for a peer; undefined if this entry has no configuration or has never
   * read the store.
   */
  snapshot(): StreamSnapshot | undefined {
    const configuration = this.#options.configuration();
    const age = this.#options.timer.now() - this.#storeReadAt;
    if (configuration === undefined || !Number.isFinite(age)) return undefined;
    const state: ForwardingState = {
      age,
      configuration: {
        ...configuration,
        pools: [...configuration.pools.values()],
      },
      endpoints: [...this.#options.registry.all],
      entries: this.#options.listEntries(),
    };
    return { upTo: configuration.version, state: { ...state } };
  }

  async #poll(): Promise<void> {
    const { ask, logger, peers, random, timer } = this.#options;
    const silentMilliseconds = timer.now() - this.#storeReadAt;
    const addresses = peers();
    const needsPeers = silentMilliseconds >= STORE_SILENCE_MILLISECONDS ||
      this.#isConfigurationStale;
    if (!needsPeers || addresses.length === 0) return;
    const peer = addresses[Math.floor(random() * addresses.length)];
    const answer = await ask(peer, FORWARDING_STATE_STREAM);
    if (answer.isErr()) {
      const reason = answer.error.message;
      logger.debug({ peer, reason }, "Cannot read the state of a peer");
      return;
    }
    // The store may have responded during the query; its data is newer.
    const isCurrent = silentMilliseconds < STORE_SILENCE_MILLISECONDS ||
      timer.now() - this.#storeReadAt < silentMilliseconds;
    this.#apply(answer.value.state, { peer, isCurrent });
  }

  /**
   * With `isCurrent`, this entry's endpoints are more recent than the peer's.
   */
  #apply(
    value: unknown,
    options: { readonly peer: PeerAddress; readonly isCurrent: boolean },
  ): void {
    const { isCurrent, peer } = options;
    if (!isForwardingState(value)) {
      this.#options.logger.warn({ peer }, "A peer has sent an invalid state");
      return;
    }
    const {
      configuration,
      contact,
      logger,
      adoptEndpoints,
      applyConfiguration,
    } = this.#options;
    contact.recordPeerAnswer();
    const { pools, ...rest } = value.configuration;
    const isFirst = configuration() === undefined;
    applyConfiguration({
      ...rest,
      pools: new Map(pools.map((pool) => [pool.name, pool])),
    }, peer);
    if (isCurrent) return;
    this.#options.adoptEntries(value.entries ?? []);
    // An outdated list is better than none, but worse than this entry's own.
    const mayReplaceEndpoints = value.age <= MAX_STATE_AGE_MILLISECONDS ||
      isFirst;
    if (mayReplaceEndpoints) {
      adoptEndpoints(value.endpoints);
      contact.recordRegistrations(value.age);
    }
    if (this.#isUsingPeer) return;
    this.#isUsingPeer = true;
    logger.info({
      peer,
      age: Math.round(value.age),
      version: value.configuration.version,
      endpoints: value.endpoints.length,
    }, "The store is unavailable; reading the state from a peer");
  }
}
