import {
  CallerPatience,
  EndpointOutcomes,
  EndpointRegistry,
  EnginePlacement,
  type ForwardedRequest,
  type ForwardingConfiguration,
  LoadPicture,
  PrefixDirectory,
  type RegisteredEndpoint,
  RetryAllowance,
  RouteTable,
} from "../../core/forwarding/mod.ts";
import type {
  AvailabilityZoneId,
  EndpointId,
} from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import { forward } from "./forward.ts";
import type { CallerSink, EndpointDoor } from "./links.ts";
import type { ObserveForwarding } from "./observer.ts";
import type { ForwardingParts } from "./parts.ts";
import { StateRelay, type StateRelayOptions } from "./state_relay.ts";
import { RoleKeeper, type RoleLink } from "./role_keeper.ts";
import {
  PeerExchange,
  REGISTRATIONS_METHOD,
  ROLES_METHOD,
  type SendToPeers,
  WORK_METHOD,
} from "./peer_exchange.ts";

export interface ForwardingEntryOptions {
  readonly process: string;
  readonly incarnation: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly timer: TimerService;
  readonly random: Random;
  readonly door: EndpointDoor;
  readonly sendToPeers: SendToPeers;
  readonly observe: ObserveForwarding;
  readonly logger: Logger;
  readonly retry: {
    readonly ratio: number;
    readonly windowMilliseconds: number;
    readonly minimum: number;
  };
  /** Absent: engines keep the roles that they have. */
  readonly roles?: {
    readonly link: RoleLink;
    readonly leaseMilliseconds: number;
  };
  /** How peers are asked for what the store does not tell. */
  readonly relay: Pick<StateRelayOptions, "ask" | "peers">;
  /** The endpoint's connections are no longer needed. */
  readonly onEndpointGone: (address: string) => void;
}

/** What has become of a registration; without an endpoint it is gone. */
export interface RegistrationChange {
  readonly id: EndpointId;
  readonly endpoint?: RegisteredEndpoint;
}

/** Entries that share the retry limit while none but this one is known. */
const ASSUMED_ENTRIES = 8;

/** An entry that forwards requests to endpoints which register themselves. */
export class ForwardingEntry {
  readonly registry: EndpointRegistry;
  readonly peers: PeerExchange;
  readonly relay: StateRelay;
  readonly #options: ForwardingEntryOptions;
  readonly #parts: ForwardingParts;
  readonly #roles: RoleKeeper | undefined;
  #routes: RouteTable | undefined;
  #stopping = false;

  constructor(options: ForwardingEntryOptions) {
    this.#options = options;
    const { timer, random } = options;
    const load = new LoadPicture(timer);
    const prefixes = new PrefixDirectory();
    const outcomes = new EndpointOutcomes(timer);
    this.registry = new EndpointRegistry({
      timer,
      onChange: (change, endpoint) => {
        options.logger.info({ change, ...endpoint }, "An endpoint changed");
        this.#roles?.engineChanged(endpoint);
        if (change !== "removed") return;
        outcomes.forget(endpoint.id);
        prefixes.forget(endpoint.id);
        options.onEndpointGone(endpoint.address);
      },
    });
    this.peers = new PeerExchange({ ...options, load, prefixes });
    this.relay = new StateRelay({
      ...options.relay,
      timer,
      random,
      logger: options.logger,
      registry: this.registry,
      configuration: () => this.configuration,
      takeConfiguration: (configuration) => {
        this.takeConfiguration(configuration);
      },
    });
    this.#roles = options.roles === undefined ? undefined : new RoleKeeper({
      ...options.roles,
      self: `${options.process}#${options.incarnation}`,
      timer,
      random,
      registry: this.registry,
      load,
      logger: options.logger,
      pools: () => this.configuration?.pools.values() ?? [],
      tellPeers: (orders) => this.peers.tell(ROLES_METHOD, { orders }),
    });
    this.#parts = {
      timer,
      random,
      availabilityZone: options.availabilityZone,
      registry: this.registry,
      load,
      prefixes,
      outcomes,
      placement: new EnginePlacement({ load, prefixes, outcomes, random }),
      allowance: new RetryAllowance({
        timer,
        ...options.retry,
        entries: () => this.peers.knownEntries ?? ASSUMED_ENTRIES,
      }),
      patience: new CallerPatience(timer),
      door: options.door,
      observe: options.observe,
      routes: () => this.#routes,
      isChanging: (endpoint) => this.#roles?.isChanging(endpoint) ?? false,
    };
  }

  /** The configuration in force; undefined while none is known. */
  get configuration(): ForwardingConfiguration | undefined {
    return this.#routes?.configuration;
  }

  /** True while the balancer should send callers here. */
  get ready(): boolean {
    return this.#routes !== undefined && this.registry.size > 0 &&
      !this.#stopping;
  }

  start(): void {
    this.peers.start();
    this.#roles?.start();
    this.relay.start();
  }

  /** Takes no new callers; what is open goes on. */
  stop(): void {
    this.#stopping = true;
    this.#roles?.stop();
  }

  close(): void {
    this.peers.stop();
    this.relay.stop();
  }

  /**
   * Puts a configuration in force. A version that is not newer is passed over:
   * a late read would else take back what callers have already seen.
   */
  takeConfiguration(configuration: ForwardingConfiguration): boolean {
    const known = this.configuration?.version ?? -Infinity;
    if (configuration.version <= known) return false;
    this.#routes = new RouteTable(configuration);
    this.#options.logger.info({
      version: configuration.version,
      replaces: Number.isFinite(known) ? known : null,
      routes: configuration.routes.length,
    }, "A configuration is in force");
    return true;
  }

  /** Takes a peer's notification. */
  takeNotification(method: string, params: unknown): void {
    if (method === WORK_METHOD) this.peers.take(params);
    if (typeof params !== "object" || params === null) return;
    const { orders, changes } = params as {
      readonly orders?: unknown;
      readonly changes?: unknown;
    };
    if (method === ROLES_METHOD && Array.isArray(orders)) {
      this.#roles?.peerOrdered(orders);
    }
    if (method === REGISTRATIONS_METHOD && Array.isArray(changes)) {
      this.#takePeerChanges(changes);
    }
  }

  /**
   * Takes from a peer that endpoints leave or are gone, of those known here. A
   * peer that is behind may tell of old registrations: taken over, they would
   * bring back endpoints that have left, which no later record takes away.
   */
  #takePeerChanges(changes: readonly RegistrationChange[]): void {
    for (const { id, endpoint } of changes) {
      if (this.registry.get(id) === undefined) continue;
      if (endpoint === undefined) this.registry.remove(id);
      else if (endpoint.leaving) this.registry.put(endpoint);
    }
  }

  /**
   * Takes registrations that the store has shown to this entry, and tells
   * peers which endpoints leave or are gone. Load: dozens of entries that each read
   * every second or so; whoever reads first tells the others, so that a
   * leaving endpoint is known everywhere within a fraction of that.
   */
  takeRegistrations(changes: readonly RegistrationChange[]): void {
    const news = changes.filter((change) => this.#takeRegistration(change));
    if (news.length === 0) return;
    this.peers.tell(REGISTRATIONS_METHOD, { changes: news });
  }

  /** True where peers are to know at once. */
  #takeRegistration({ id, endpoint }: RegistrationChange): boolean {
    const known = this.registry.get(id);
    if (endpoint === undefined) {
      this.registry.remove(id);
      return known !== undefined;
    }
    this.registry.put(endpoint);
    return endpoint.leaving && known?.leaving === false;
  }

  handle(request: ForwardedRequest, sink: CallerSink): void {
    void forward(this.#parts, { request, sink });
  }
}
