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
 * How long the store may fail before peers are asked: a lost answer alone is
 * made up for by the next read.
 */
const PATIENCE_MILLISECONDS = 600;
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
 * Takes configuration and endpoints from a peer while this entry can't read
 * the store. Load: the store turns some machines away and serves the others,
 * or an entry starts while the store is down. Harm prevented: an entry goes on
 * sending to endpoints that have left, or refuses all callers for want of a
 * configuration that its peers know.
 */
export class StateRelay {
  readonly #options: StateRelayOptions;
  #reachedAt: number;
  #asking: Subscription | undefined;
  #isRelayed = false;

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
    if (silent < PATIENCE_MILLISECONDS || known.length === 0) return;
    const peer = known[Math.floor(random() * known.length)];
    const answer = await ask(peer, FORWARDING_STATE);
    // The store may have answered meanwhile; what it says is newer.
    if (answer.isErr() || timer.now() - this.#reachedAt < silent) return;
    this.#take(answer.value.state, peer);
  }

  #take(value: unknown, peer: PeerAddress): void {
    if (!isState(value)) return;
    const { configuration, logger, registry, takeConfiguration } =
      this.#options;
    const { pools, ...rest } = value.configuration;
    const isFirst = configuration() === undefined;
    takeConfiguration({
      ...rest,
      pools: new Map(pools.map((pool) => [pool.name, pool])),
    });
    // An old listing is better than none, and worse than one's own.
    const isCurrent = value.age <= CURRENT_MILLISECONDS;
    if (isCurrent || isFirst) registry.replaceAll(value.endpoints);
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
