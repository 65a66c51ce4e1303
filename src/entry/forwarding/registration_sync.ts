import type {
  EndpointRegistry,
  EndpointRun,
  PeerReading,
  RegisteredEndpoint,
  TopicSpan,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";

/** What has become of a registration; without an endpoint it is gone. */
export interface RegistrationChange {
  readonly id: EndpointId;
  readonly endpoint?: RegisteredEndpoint;
  /** True: something stands under the key that names no replica. */
  readonly unreadable?: boolean;
}

export interface RegistrationSyncOptions {
  readonly registry: EndpointRegistry;
  /** A peer has read this span of the registrations. */
  readonly peerReadRegistrations: (span: TopicSpan) => PeerReading;
  /** The store was reached, by this entry or by a peer for it. */
  readonly onStoreReached: () => void;
  readonly broadcast: (update: {
    readonly changes: readonly RegistrationChange[];
    readonly span: TopicSpan | undefined;
  }) => void;
}

/** Brings registrations that this entry or a peer has read into the registry. */
export class RegistrationSync {
  readonly #options: RegistrationSyncOptions;

  constructor(options: RegistrationSyncOptions) {
    this.#options = options;
  }

  /**
   * Takes the registrations of a span that the store has shown to this entry,
   * the older first, and tells peers what has changed in it: one entry reads
   * for all.
   */
  read(changes: readonly RegistrationChange[], span?: TopicSpan): void {
    const changed = new Map<EndpointId, RegistrationChange>();
    for (const change of changes) {
      const hasChanged = this.#apply(change);
      // Of a key that has changed the last state counts, also where that is
      // what it was: a peer may stand in between.
      if (hasChanged || changed.has(change.id)) changed.set(change.id, change);
    }
    if (changed.size === 0 && span === undefined) return;
    this.#options.broadcast({ changes: [...changed.values()], span });
  }

  /**
   * The endpoint itself says that this run of it leaves: peers learn of it at
   * once, as the store may be away. True where this is news.
   */
  reportLeaving(run: EndpointRun): boolean {
    const endpoint = this.#options.registry.saidLeaving(run);
    if (endpoint === undefined) return false;
    const changes = [{ id: endpoint.id, endpoint }];
    this.#options.broadcast({ changes, span: undefined });
    return true;
  }

  /** A peer tells what it has read, and of which span, where it is known. */
  onPeerChanges(changes: readonly RegistrationChange[], span: unknown): void {
    const relation = isSpan(span)
      ? this.#options.peerReadRegistrations(span)
      : "apart";
    // A datagram that was overtaken may name an endpoint as gone that has
    // come back since; its record lies behind this entry, which would not see
    // it again.
    if (relation === "older") return;
    if (relation === "apart") return this.#applyDepartures(changes);
    // It goes on where this entry's reading ended and counts as its own.
    this.#options.onStoreReached();
    if (relation === "same") return;
    for (const change of changes) this.#apply(change);
  }

  /**
   * Takes from a peer that endpoints leave or are gone, of those known here. A
   * peer that is behind may tell of old registrations: taken over, they would
   * bring back endpoints that have left, which no later record takes away.
   */
  #applyDepartures(changes: readonly RegistrationChange[]): void {
    for (const change of changes) {
      const { endpoint, id } = change;
      if (this.#options.registry.get(id) === undefined) continue;
      if (endpoint === undefined || endpoint.leaving) this.#apply(change);
    }
  }

  /** True where it has changed anything. */
  #apply({ endpoint, id, unreadable = false }: RegistrationChange): boolean {
    const { registry } = this.#options;
    if (endpoint !== undefined) return registry.put(endpoint);
    const isKnown = registry.get(id) !== undefined;
    if (unreadable) registry.withdraw(id);
    else registry.remove(id);
    return isKnown;
  }
}

function isSpan(value: unknown): value is TopicSpan {
  if (typeof value !== "object" || value === null) return false;
  const { from, to } = value as Partial<TopicSpan>;
  return typeof from === "number" && typeof to === "number";
}
