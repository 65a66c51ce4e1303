import {
  decodeLimit,
  encodeLimit,
  type EndpointLimits,
  type EndpointRegistry,
  type EndpointRun,
  type LoadOwners,
  MIN_REQUESTS_PER_SECOND,
  type PermitAnswer,
  type PermitDemand,
  PermitIssuer,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  type ProcessId,
} from "../../core/identity/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { SendToPeer } from "./notifications/notifications.ts";
import {
  PERMIT_ANSWER_METHOD,
  PERMIT_REQUEST_METHOD,
  type PermitAnswerMessage,
  type PermitRequestMessage,
} from "./notifications/permit_notification.ts";

/**
 * Timeout of a request for permits. Permits in a later answer are lost, so it
 * allows for a busy issuer in another zone.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 25;
/** Time for which an issuer that has not answered is not asked again. */
const UNANSWERED_DELAY_MILLISECONDS = 100;
/**
 * Time for which a released permit may be used. A permit that is used much later
 * adds to the requests of another second.
 */
const UNUSED_VALIDITY_MILLISECONDS = 200;
/** Time for which the rate expected after a denial is used. */
const EXPECTATION_VALIDITY_MILLISECONDS = 1_000;

/** Answer for an endpoint that no longer has a limit. */
const UNLIMITED: PermitAnswer = {
  granted: Infinity,
  retryMilliseconds: 0,
  expectedPerSecond: Infinity,
};

/** Outcome of a request for a permit. */
export type PermitOutcome = "granted" | "denied" | "unanswered";

export interface RequestPermitsOptions {
  readonly self: ProcessId;
  readonly timer: TimerService;
  readonly limits: EndpointLimits;
  readonly registry: EndpointRegistry;
  readonly owners: LoadOwners;
  readonly send: SendToPeer;
  /** Share of an endpoint's limit that the entries in contact use, 0 to 1. */
  readonly share: () => number;
  /** Called with each outcome. */
  readonly onOutcome: (outcome: PermitOutcome) => void;
}

export interface AcquireOptions {
  /** Priority of the request; 0 is the most urgent. */
  readonly rank: number;
  /** Requests of this entry that wait because no endpoint accepts them. */
  readonly waiting: PermitDemand;
}

interface PendingPermit extends AcquireOptions {
  readonly resolve: (isGranted: boolean) => void;
  readonly reject: (cause: unknown) => void;
}

/** Permits are denied to this rank and less urgent ones until a time. */
interface Denial {
  readonly rank: number;
  readonly until: number;
  /** Rate at which this entry can expect permits, per second. */
  readonly expectedPerSecond: number;
}

/**
 * Permits to send requests to endpoints with a request limit. The owner of an
 * endpoint issues the permits for it; until it has one, an entry sends nothing
 * there.
 */
export class RequestPermits {
  readonly #options: RequestPermitsOptions;
  readonly #issuer: PermitIssuer;
  readonly #pending = new Map<EndpointId, PendingPermit[]>();
  readonly #asking = new Set<EndpointId>();
  /** Last denial of each rank, by endpoint. */
  readonly #denials = new Map<EndpointId, Map<number, Denial>>();
  /** Times until which released permits may be used, by endpoint. */
  readonly #unused = new Map<EndpointId, number[]>();
  /** Requests to other issuers that have no answer yet. */
  readonly #unanswered = new Map<number, (answer: PermitAnswer) => void>();
  #lastId = 0;

  constructor(options: RequestPermitsOptions) {
    this.#options = options;
    this.#issuer = new PermitIssuer(options.timer);
  }

  /** True where a request needs a permit. */
  isLimited(endpoint: EndpointId): boolean {
    return this.#options.limits.requestsPerSecond(endpoint) !== undefined;
  }

  /** Time until permits may be available again, in milliseconds. */
  waitMilliseconds(endpoint: EndpointId, rank: number): number {
    const now = this.#options.timer.now();
    const waits = this.#denialsFor(endpoint, rank)
      .map(({ until }) => until - now);
    return Math.max(0, ...waits);
  }

  /** Rate at which this entry can expect permits, per second. */
  expectedPerSecond(endpoint: EndpointId, rank: number): number {
    const oldest = this.#options.timer.now() -
      EXPECTATION_VALIDITY_MILLISECONDS;
    const rates = this.#denialsFor(endpoint, rank)
      .filter(({ until }) => until >= oldest)
      .map(({ expectedPerSecond }) => expectedPerSecond);
    return rates.length === 0 ? this.#equalPart(endpoint) : Math.min(...rates);
  }

  /** Denials that also hold for this rank. */
  #denialsFor(endpoint: EndpointId, rank: number): readonly Denial[] {
    const denials = this.#denials.get(endpoint);
    if (denials === undefined) return [];
    return [...denials.values()].filter((each) => each.rank <= rank);
  }

  /** Takes a permit for one request; false if there is none now. */
  acquire(endpoint: EndpointRun, options: AcquireOptions): Promise<boolean> {
    const { id } = endpoint;
    if (!this.isLimited(id) || this.#takeUnused(id)) {
      return Promise.resolve(true);
    }
    return new Promise((resolve, reject) => {
      const pending = this.#pending.get(id) ?? [];
      this.#pending.set(id, pending);
      pending.push({ ...options, resolve, reject });
      if (!this.#asking.has(id)) {
        this.#options.timer.run(() => this.#askWhilePending(endpoint));
      }
    });
  }

  /** Returns a permit for a request that was not sent, for another one. */
  release({ id }: { readonly id: EndpointId }): void {
    if (!this.isLimited(id)) return;
    const unused = this.#unused.get(id) ?? [];
    this.#unused.set(id, unused);
    unused.push(this.#options.timer.now() + UNUSED_VALIDITY_MILLISECONDS);
  }

  #takeUnused(id: EndpointId): boolean {
    const unused = this.#unused.get(id);
    if (unused === undefined) return false;
    const now = this.#options.timer.now();
    while (unused.length > 0 && unused[0] < now) unused.shift();
    const isTaken = unused.shift() !== undefined;
    if (unused.length === 0) this.#unused.delete(id);
    return isTaken;
  }

  /** Discards the state of an endpoint whose run is over. */
  forget(endpoint: { readonly id: EndpointId }): void {
    this.#denials.delete(endpoint.id);
    this.#unused.delete(endpoint.id);
    this.#issuer.forget(endpoint);
  }

  /** Issues permits to a peer. */
  onRequest(params: PermitRequestMessage): void {
    const { limits, owners, registry, self, send, timer } = this.#options;
    const entry = identifier<ProcessId>(params.entry);
    owners.recordMessage(entry);
    const { run, observation } = decodeLimit(params.limit, timer.now());
    const limit = observation.requestsPerSecond;
    if (limit === undefined || !registry.isSameRun(run)) return;
    limits.recordPeer(run.id, observation);
    const answer = this.#issue(run.id, {
      entry,
      wanted: params.wanted,
      waiting: params.waiting,
      requestsPerSecond: limits.requestsPerSecond(run.id) ?? limit,
    });
    send(entry, {
      method: PERMIT_ANSWER_METHOD,
      params: { entry: self, id: params.id, ...answer },
    });
  }

  /** Applies an issuer's answer; ignores a late one. */
  onAnswer(params: PermitAnswerMessage): void {
    this.#options.owners.recordMessage(identifier(params.entry));
    this.#unanswered.get(params.id)?.(params);
  }

  async #askWhilePending(endpoint: EndpointRun): Promise<void> {
    const { id } = endpoint;
    this.#asking.add(id);
    try {
      while (this.#pending.has(id)) {
        const pending = this.#takeAdmissible(id);
        if (pending.length > 0) await this.#askOrReject(endpoint, pending);
      }
    } finally {
      this.#asking.delete(id);
    }
  }

  /** Takes the pending permits, and denies those that are denied already. */
  #takeAdmissible(id: EndpointId): readonly PendingPermit[] {
    const pending = this.#pending.get(id) ?? [];
    this.#pending.delete(id);
    const isAdmissible = ({ rank }: PendingPermit) =>
      this.waitMilliseconds(id, rank) === 0;
    for (const each of pending) if (!isAdmissible(each)) this.#settle(each);
    return pending.filter(isAdmissible)
      .sort((one, other) => one.rank - other.rank);
  }

  /** A throw belongs to the requests that wait for these permits. */
  async #askOrReject(
    endpoint: EndpointRun,
    pending: readonly PendingPermit[],
  ): Promise<void> {
    try {
      await this.#ask(endpoint, pending);
    } catch (cause) {
      for (const each of pending) each.reject(cause);
    }
  }

  async #ask(
    endpoint: EndpointRun,
    pending: readonly PendingPermit[],
  ): Promise<void> {
    const { id } = endpoint;
    const answer = await this.#askOwner(endpoint, pending);
    const isUnanswered = answer === undefined;
    const granted = answer?.granted ?? 0;
    const denied = pending.at(granted);
    if (denied !== undefined) {
      this.#recordDenial(id, {
        rank: isUnanswered ? 0 : denied.rank,
        until: this.#options.timer.now() +
          (answer?.retryMilliseconds ?? UNANSWERED_DELAY_MILLISECONDS),
        expectedPerSecond: answer?.expectedPerSecond ?? this.#equalPart(id),
      });
    }
    for (const [index, each] of pending.entries()) {
      if (index < granted) this.#settle(each, "granted");
      else this.#settle(each, isUnanswered ? "unanswered" : "denied");
    }
  }

  #settle(pending: PendingPermit, outcome: PermitOutcome = "denied"): void {
    this.#options.onOutcome(outcome);
    pending.resolve(outcome === "granted");
  }

  #recordDenial(id: EndpointId, denial: Denial): void {
    const denials = this.#denials.get(id) ?? new Map<number, Denial>();
    this.#denials.set(id, denials.set(denial.rank, denial));
  }

  /** Undefined if the issuer does not answer. */
  async #askOwner(
    endpoint: EndpointRun,
    pending: readonly PendingPermit[],
  ): Promise<PermitAnswer | undefined> {
    const { limits, owners, self, timer } = this.#options;
    const { id } = endpoint;
    const observation = limits.observation(id);
    const limit = observation?.requestsPerSecond;
    if (observation === undefined || limit === undefined) {
      return UNLIMITED;
    }
    const demand = {
      wanted: countByRank(pending),
      waiting: pending[pending.length - 1].waiting,
    };
    const owner = owners.ownerOf(id);
    if (owner === self) {
      const own = { ...demand, entry: self, requestsPerSecond: limit };
      return this.#issue(id, own);
    }
    const report = encodeLimit(endpoint, { observation, now: timer.now() });
    return await this.#askPeer(owner, { ...demand, limit: report });
  }

  async #askPeer(
    owner: ProcessId,
    request: Omit<PermitRequestMessage, "entry" | "id">,
  ): Promise<PermitAnswer | undefined> {
    const { self, send, timer } = this.#options;
    this.#lastId += 1;
    const id = this.#lastId;
    const answer = await new Promise<PermitAnswer | undefined>((resolve) => {
      const timeout = timer.after(
        ANSWER_TIMEOUT_MILLISECONDS,
        () => resolve(undefined),
      );
      this.#unanswered.set(id, (received) => {
        timeout.cancel();
        resolve(received);
      });
      const params: PermitRequestMessage = { entry: self, id, ...request };
      send(owner, { method: PERMIT_REQUEST_METHOD, params });
    });
    this.#unanswered.delete(id);
    return answer;
  }

  #issue(
    endpoint: EndpointId,
    request: Omit<Parameters<PermitIssuer["issue"]>[1], "share">,
  ): PermitAnswer {
    const share = this.#options.share();
    return this.#issuer.issue(endpoint, { ...request, share });
  }

  /** This entry's part of the limit if all entries want the same. */
  #equalPart(endpoint: EndpointId): number {
    const { limits, owners } = this.#options;
    const limit = limits.requestsPerSecond(endpoint) ?? 0;
    return Math.max(MIN_REQUESTS_PER_SECOND, limit) /
      owners.liveRanking(endpoint).length;
  }
}

function countByRank(pending: readonly { readonly rank: number }[]) {
  const counts = new Map<number, number>();
  for (const { rank } of pending) counts.set(rank, (counts.get(rank) ?? 0) + 1);
  return [...counts];
}
