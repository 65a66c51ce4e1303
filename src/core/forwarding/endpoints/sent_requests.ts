import type { EndpointId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/**
 * Time for which ended requests are kept; load reports that are older say
 * nothing about present requests.
 */
const KEPT_MILLISECONDS = 2_000;

interface SentRequest {
  readonly sentAt: number;
  endedAt: number | undefined;
}

/** Handle of a request that was sent. */
export interface SentRequestHandle {
  /** Records that it has ended; further calls do nothing. */
  end(): void;
}

/**
 * Requests that this entry has sent to each run of an endpoint, by which a load
 * report is corrected for what has changed since it was made.
 */
export class SentRequests {
  readonly #timer: TimerService;
  /** In the order in which they were sent. */
  readonly #requests = new Map<EndpointId, SentRequest[]>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  started(endpoint: EndpointId): SentRequestHandle {
    const request: SentRequest = {
      sentAt: this.#timer.now(),
      endedAt: undefined,
    };
    const kept = this.#keptRequests(endpoint);
    kept.push(request);
    this.#requests.set(endpoint, kept);
    return { end: () => request.endedAt ??= this.#timer.now() };
  }

  /**
   * Change of the endpoint's open requests by this entry since a report that
   * was made at this time: those sent since, less those that have ended since.
   */
  changeSince(endpoint: EndpointId, time: number): number {
    let change = 0;
    for (const { endedAt, sentAt } of this.#requests.get(endpoint) ?? []) {
      if (sentAt > time) change += endedAt === undefined ? 1 : 0;
      else if (endedAt !== undefined && endedAt > time) change -= 1;
    }
    return change;
  }

  /** Age of the oldest request without a response, in milliseconds; 0 if none. */
  oldestAgeMilliseconds(endpoint: EndpointId): number {
    const oldest = this.#requests.get(endpoint)
      ?.find(({ endedAt }) => endedAt === undefined);
    return oldest === undefined ? 0 : this.#timer.now() - oldest.sentAt;
  }

  forget({ id }: { readonly id: EndpointId }): void {
    this.#requests.delete(id);
  }

  #keptRequests(endpoint: EndpointId): SentRequest[] {
    const oldest = this.#timer.now() - KEPT_MILLISECONDS;
    return (this.#requests.get(endpoint) ?? []).filter(({ endedAt }) =>
      endedAt === undefined || endedAt >= oldest
    );
  }
}
