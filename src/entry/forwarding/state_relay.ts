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
const PATIENCE_MILLISECONDS = 1_500;
/**
 * How long after a peer's report of a newer configuration this entry waits for
 * its own read. All entries read a new one within milliseconds of each other,
 * and their reports cross.
 */
const OWN_READING_MILLISECONDS = 250;
/** How often peers are asked while the store fails. */
const ASK_MILLISECONDS = 500;
/**
 * Age up to which a peer's state counts as current. A leaving endpoint has to
 * be known within two seconds of the store's word: a read every 400 ms at the
 * peer, this age and the next question stay below it.
 */
const CURRENT_MILLISECONDS = 800;

/** What an entry knows, as it goes to a peer. */
interface ForwardingState {
  /** Time since the store told of it, milliseconds. */
  readonly age: number;
  readonly configuration:
    & Omit<ForwardingConfiguration, "pools">
    & { readonly pools: readonly Pool[] };
  readonly endpoints: readonly RegisteredEndpoint[];
}

export interface StateRelayOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  readonly registry: EndpointRegistry;
  readonly configuration: () => ForwardingConfiguration | undefined;
  readonly takeConfiguration: (configuration: ForwardingConfiguration) => void;
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
export class StateRelay {
  readonly #options: StateRelayOptions;
  #reachedAt: number;
  #asking: Subscription | undefined;
  #isRelayed = false;
  #heardVersion = -Infinity;
  #heardAt = 0;

  constructor(options: StateRelayOptions) {
    this.#options = options;
    this.#reachedAt = -Infinity;
  }

  start(): void {
    this.#asking = this.#options.timer.every(
      ASK_MILLISECONDS,
      () => void this.#consider(),
    );
  }

  stop(): void {
    this.#asking?.cancel();
  }

  /** The store has answered with the current registrations. */
  storeReached(): void {
    this.#reachedAt = this.#options.timer.now();
    if (!this.#isRelayed) return;
    this.#isRelayed = false;
    this.#options.logger.info({}, "The store is read directly again");
  }

  /**
   * A peer has a configuration of this version. The connection on which this
   * entry waits for the next one may have gone silent.
   */
  heardOf(version: number): void {
    if (version <= this.#heardVersion) return;
    this.#heardVersion = version;
    this.#heardAt = this.#options.timer.now();
  }

  get #isBehind(): boolean {
    const { configuration, timer } = this.#options;
    const own = configuration()?.version ?? -Infinity;
    return this.#heardVersion > own &&
      timer.now() - this.#heardAt >= OWN_READING_MILLISECONDS;
  }

  /** For a peer; undefined where this entry knows nothing itself. */
  snapshot(): StreamSnapshot | undefined {
    const configuration = this.#options.configuration();
    const age = this.#options.timer.now() - this.#reachedAt;
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

  async #consider(): Promise<void> {
    const { ask, peers, random, timer } = this.#options;
    const silent = timer.now() - this.#reachedAt;
    const known = peers();
    const needsPeers = silent >= PATIENCE_MILLISECONDS || this.#isBehind;
    if (!needsPeers || known.length === 0) return;
    const peer = known[Math.floor(random() * known.length)];
    const answer = await ask(peer, FORWARDING_STATE);
    if (answer.isErr()) return;
    // The store may have answered meanwhile; what it says is newer.
    const isCurrent = silent < PATIENCE_MILLISECONDS ||
      timer.now() - this.#reachedAt < silent;
    this.#take(answer.value.state, { peer, isCurrent });
  }

  /** With `isCurrent`, this entry knows the endpoints better than the peer. */
  #take(
    value: unknown,
    options: { readonly peer: PeerAddress; readonly isCurrent: boolean },
  ): void {
    if (!isState(value)) return;
    const { isCurrent, peer } = options;
    const { configuration, logger, registry, takeConfiguration } =
      this.#options;
    const { pools, ...rest } = value.configuration;
    const isFirst = configuration() === undefined;
    takeConfiguration({
      ...rest,
      pools: new Map(pools.map((pool) => [pool.name, pool])),
    });
    if (isCurrent) return;
    // An old listing is better than none, and worse than one's own.
    const mayTake = value.age <= CURRENT_MILLISECONDS || isFirst;
    if (mayTake) registry.replaceAll(value.endpoints);
    if (this.#isRelayed) return;
    this.#isRelayed = true;
    logger.info({
      peer,
      age: Math.round(value.age),
      version: value.configuration.version,
      endpoints: value.endpoints.length,
    }, "A peer tells what the store does not");
  }
}

function isState(value: unknown): value is ForwardingState {
  if (typeof value !== "object" || value === null) return false;
  const { age, configuration, endpoints } = value as Partial<ForwardingState>;
  return typeof age === "number" && Array.isArray(endpoints) &&
    typeof configuration?.version === "number" &&
    Array.isArray(configuration.routes) && Array.isArray(configuration.pools);
}
