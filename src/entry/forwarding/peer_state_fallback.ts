import type { Result } from "neverthrow";
import type {
  EndpointRegistry,
  ForwardingConfiguration,
  Pool,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type {
  LinkFailure,
  PeerAddress,
  StreamSnapshot,
} from "../../core/links/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";

/** Name under which peers ask for what an entry knows. */
export const FORWARDING_STATE = "forwarding";
/**
 * How long the store may be silent before peers are asked: a pause between two
 * reads and an answer that times out.
 */
const STORE_SILENCE_MILLISECONDS = 1_500;
/**
 * How long after a peer's report of a newer configuration this entry waits for
 * its own read. All entries read a new one within milliseconds of each other,
 * and their reports cross.
 */
const OWN_READ_GRACE_MILLISECONDS = 250;
/** How often peers are asked while the store fails. */
const POLL_INTERVAL_MILLISECONDS = 500;
/**
 * Age up to which a peer's state counts as current. A leaving endpoint has to
 * be known within two seconds of the store's word: a read every 400 ms at the
 * peer, this age and the next question stay below it.
 */
const MAX_STATE_AGE_MILLISECONDS = 800;

/** What an entry knows, as it goes to a peer. */
interface ForwardingState {
  /** Time since the store told of it, milliseconds. */
  readonly age: number;
  readonly configuration:
    & Omit<ForwardingConfiguration, "pools">
    & { readonly pools: readonly Pool[] };
  readonly endpoints: readonly RegisteredEndpoint[];
}

export interface PeerStateFallbackOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  readonly registry: EndpointRegistry;
  readonly configuration: () => ForwardingConfiguration | undefined;
  readonly applyConfiguration: (configuration: ForwardingConfiguration) => void;
  /** Addresses where peers answer; some may be gone. */
  readonly peers: () => readonly PeerAddress[];
  readonly ask: (
    peer: PeerAddress,
    stream: string,
  ) => Promise<Result<StreamSnapshot, LinkFailure>>;
}

/**
 * Takes configuration and endpoints from a peer while this entry can't read the
 * store: the store may reject some machines and serve the others, or be down
 * when an entry starts.
 */
export class PeerStateFallback {
  readonly #options: PeerStateFallbackOptions;
  #storeReachedAt: number;
  #polling: Subscription | undefined;
  #isUsingPeer = false;
  #newestPeerVersion = -Infinity;
  #newestPeerVersionAt = 0;

  constructor(options: PeerStateFallbackOptions) {
    this.#options = options;
    this.#storeReachedAt = -Infinity;
  }

  start(): void {
    this.#polling = this.#options.timer.every(
      POLL_INTERVAL_MILLISECONDS,
      () => void this.#poll(),
    );
  }

  stop(): void {
    this.#polling?.cancel();
  }

  /** The store has answered with the current registrations. */
  storeReached(): void {
    this.#storeReachedAt = this.#options.timer.now();
    if (!this.#isUsingPeer) return;
    this.#isUsingPeer = false;
    this.#options.logger.info({}, "The store is read directly again");
  }

  /**
   * A peer has a configuration of this version. The connection on which this
   * entry waits for the next one may have gone silent.
   */
  onPeerVersion(version: number): void {
    if (version <= this.#newestPeerVersion) return;
    this.#newestPeerVersion = version;
    this.#newestPeerVersionAt = this.#options.timer.now();
  }

  get #isBehind(): boolean {
    const { configuration, timer } = this.#options;
    const own = configuration()?.version ?? -Infinity;
    return this.#newestPeerVersion > own &&
      timer.now() - this.#newestPeerVersionAt >= OWN_READ_GRACE_MILLISECONDS;
  }

  /** For a peer; undefined where this entry knows nothing itself. */
  snapshot(): StreamSnapshot | undefined {
    const configuration = this.#options.configuration();
    const age = this.#options.timer.now() - this.#storeReachedAt;
    if (configuration === undefined || !Number.isFinite(age)) return undefined;
    const state: ForwardingState = {
      age,
      configuration: {
        ...configuration,
        pools: [...configuration.pools.values()],
      },
      endpoints: [...this.#options.registry.all],
    };
    return { upTo: configuration.version, state: { ...state } };
  }

  async #poll(): Promise<void> {
    const { ask, peers, random, timer } = this.#options;
    const silentMilliseconds = timer.now() - this.#storeReachedAt;
    const addresses = peers();
    const needsPeers = silentMilliseconds >= STORE_SILENCE_MILLISECONDS ||
      this.#isBehind;
    if (!needsPeers || addresses.length === 0) return;
    const peer = addresses[Math.floor(random() * addresses.length)];
    const answer = await ask(peer, FORWARDING_STATE);
    if (answer.isErr()) return;
    // The store may have answered meanwhile; what it says is newer.
    const isCurrent = silentMilliseconds < STORE_SILENCE_MILLISECONDS ||
      timer.now() - this.#storeReachedAt < silentMilliseconds;
    this.#apply(answer.value.state, { peer, isCurrent });
  }

  /** With `isCurrent`, this entry knows the endpoints better than the peer. */
  #apply(
    value: unknown,
    options: { readonly peer: PeerAddress; readonly isCurrent: boolean },
  ): void {
    if (!isForwardingState(value)) return;
    const { isCurrent, peer } = options;
    const {
      configuration,
      logger,
      registry,
      applyConfiguration: applyConfiguration,
    } = this.#options;
    const { pools, ...rest } = value.configuration;
    const isFirst = configuration() === undefined;
    applyConfiguration({
      ...rest,
      pools: new Map(pools.map((pool) => [pool.name, pool])),
    });
    if (isCurrent) return;
    // An old listing is better than none, and worse than one's own.
    const mayReplaceEndpoints = value.age <= MAX_STATE_AGE_MILLISECONDS ||
      isFirst;
    if (mayReplaceEndpoints) registry.replaceAll(value.endpoints);
    if (this.#isUsingPeer) return;
    this.#isUsingPeer = true;
    logger.info({
      peer,
      age: Math.round(value.age),
      version: value.configuration.version,
      endpoints: value.endpoints.length,
    }, "A peer tells what the store does not");
  }
}

function isForwardingState(value: unknown): value is ForwardingState {
  if (typeof value !== "object" || value === null) return false;
  const { age, configuration, endpoints } = value as Partial<ForwardingState>;
  return typeof age === "number" && Array.isArray(endpoints) &&
    typeof configuration?.version === "number" &&
    Array.isArray(configuration.routes) && Array.isArray(configuration.pools);
}
