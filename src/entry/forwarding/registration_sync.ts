import type {
  EndpointRegistry,
  EndpointRun,
  PeerReadResult,
  RegisteredEndpoint,
  TopicSpan,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import type {
  RegistrationChange,
  RegistrationNotification,
} from "./notifications/registration_notification.ts";

/** Endpoints that are remembered; the oldest are dropped first. */
const MAX_LEARNED_ELSEWHERE = 10_000;

export interface RegistrationSyncOptions {
  readonly registry: EndpointRegistry;
  /** Records that a peer has read this span of the registrations. */
  readonly recordPeerRead: (span: TopicSpan) => PeerReadResult;
  /** Called when the store was reached, by this entry or by a peer for it. */
  readonly onStoreReached: () => void;
  readonly broadcast: (notification: RegistrationNotification) => void;
}

/** Applies registrations that this entry or a peer has read to the registry. */
export class RegistrationSync {
  readonly #options: RegistrationSyncOptions;
  /**
   * Endpoints whose state here may be ahead of the records that this entry has
   * read. Their next records may change nothing here, and still be unknown to
   * peers that count the span as read.
   */
  readonly #learnedElsewhere = new Set<EndpointId>();

  constructor(options: RegistrationSyncOptions) {
    this.#options = options;
  }

  /**
   * Applies the registrations of a span that this entry has read, oldest first,
   * and broadcasts what has changed: one entry reads on behalf of all.
   */
  applyRead(changes: readonly RegistrationChange[], span?: TopicSpan): void {
    const changed = new Map<EndpointId, RegistrationChange>();
    for (const change of changes) {
      const isLearned = this.#learnedElsewhere.delete(change.id);
      const hasChanged = this.#apply(change) || isLearned;
      // The last state of a changed key is sent even if it equals the first
      // one: a peer may have read up to a point in between.
      if (hasChanged || changed.has(change.id)) changed.set(change.id, change);
    }
    if (changed.size === 0 && span === undefined) return;
    this.#options.broadcast({ changes: [...changed.values()], span });
  }

  /**
   * Applies and broadcasts an endpoint's own announcement that this run is
   * leaving, as the store may be unavailable. True if it was not known yet.
   */
  reportLeaving(run: EndpointRun): boolean {
    const endpoint = this.#options.registry.markLeaving(run);
    if (endpoint === undefined) return false;
    this.#noteLearned(endpoint.id);
    const changes = [{ id: endpoint.id, endpoint }];
    this.#options.broadcast({ changes, span: undefined });
    return true;
  }

  /** Replaces all endpoints by those of a peer, while the store is silent. */
  adoptPeerState(endpoints: readonly RegisteredEndpoint[]): void {
    const { registry } = this.#options;
    for (const { id } of [...registry.all, ...endpoints]) this.#noteLearned(id);
    registry.replaceAll(endpoints);
  }

  /** Applies changes that a peer has read, with their span if it is known. */
  onPeerChanges({ changes, span }: RegistrationNotification): void {
    const relation = span === undefined
      ? "apart"
      : this.#options.recordPeerRead(span);
    // A delayed datagram may list an endpoint as removed that has registered
    // again since. This entry has already read past that record and would not
    // see it again.
    if (relation === "older") return;
    if (relation === "apart") return this.#applyDepartures(changes);
    // The span continues where this entry's reading ended and counts as its own
    // read.
    this.#options.onStoreReached();
    if (relation === "same") return;
    for (const change of changes) this.#apply(change);
  }

  /**
   * Applies only departures and removals of endpoints known here. A peer that
   * is behind may report old registrations, which would bring back endpoints
   * that have left; no later record would remove them.
   */
  #applyDepartures(changes: readonly RegistrationChange[]): void {
    for (const change of changes) {
      const { endpoint, id } = change;
      if (this.#options.registry.get(id) === undefined) continue;
      if (endpoint !== undefined && !endpoint.leaving) continue;
      this.#noteLearned(id);
      this.#apply(change);
    }
  }

  #noteLearned(id: EndpointId): void {
    this.#learnedElsewhere.delete(id);
    this.#learnedElsewhere.add(id);
    if (this.#learnedElsewhere.size <= MAX_LEARNED_ELSEWHERE) return;
    const [oldest] = this.#learnedElsewhere;
    this.#learnedElsewhere.delete(oldest);
  }

  /** True if the registry changed. */
  #apply({ endpoint, id, unreadable = false }: RegistrationChange): boolean {
    const { registry } = this.#options;
    if (endpoint !== undefined) return registry.upsert(endpoint);
    const isKnown = registry.get(id) !== undefined;
    if (unreadable) registry.withdraw(id);
    else registry.remove(id);
    return isKnown;
  }
}
