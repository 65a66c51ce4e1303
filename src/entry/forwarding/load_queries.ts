import {
  addWork,
  encodeWork,
  type EndpointRegistry,
  type FleetLoad,
  type LoadOwners,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  type ProcessId,
} from "../../core/identity/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type { LoadReportExchange } from "./load_report_exchange.ts";
import {
  LOAD_ANSWER_METHOD,
  LOAD_QUERY_METHOD,
  type LoadAnswer,
  type LoadQuery,
} from "./notifications/load_notification.ts";
import type { SendToPeer } from "./notifications/notifications.ts";
import { withRuns, workOfSameRuns } from "./notifications/work_notification.ts";

/**
 * Timeout of a query to an owner. An owner that is suspended or partitioned
 * must not delay requests.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 6;

/** Outcome of a query to one owner. */
export type LoadQueryOutcome = "answered" | "unanswered";

export interface LoadQueriesOptions {
  readonly self: ProcessId;
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly load: FleetLoad;
  readonly owners: LoadOwners;
  readonly reportExchange: LoadReportExchange;
  readonly send: SendToPeer;
  readonly onOutcome: (outcome: LoadQueryOutcome) => void;
}

interface PendingQuery {
  /** Owners that have not answered yet. */
  readonly waiting: Set<ProcessId>;
  readonly settle: () => void;
}

/**
 * Queries the owners of endpoints for the load there, and answers such queries.
 */
export class LoadQueries {
  readonly #options: LoadQueriesOptions;
  readonly #pending = new Map<number, PendingQuery>();
  #lastId = 0;

  constructor(options: LoadQueriesOptions) {
    this.#options = options;
  }

  /**
   * Refreshes the load of these endpoints; settles once every owner has
   * answered or timed out.
   */
  async refresh(endpoints: readonly EndpointId[]): Promise<void> {
    const { owners, self, send, timer } = this.#options;
    const byOwner = [...owners.groupByOtherOwner(endpoints)]
      .filter(([owner]) => owners.mayQuery(owner));
    if (byOwner.length === 0) return;
    this.#lastId += 1;
    const id = this.#lastId;
    const waiting = new Set(byOwner.map(([owner]) => owner));
    let timeout: Subscription | undefined;
    await new Promise<void>((settle) => {
      this.#pending.set(id, { waiting, settle });
      timeout = timer.after(ANSWER_TIMEOUT_MILLISECONDS, settle);
      for (const [owner, asked] of byOwner) {
        send(owner, {
          method: LOAD_QUERY_METHOD,
          params: { entry: self, id, endpoints: asked },
        });
      }
    });
    timeout?.cancel();
    this.#pending.delete(id);
    for (const owner of waiting) {
      owners.recordQuery(owner, { answered: false });
      this.#options.onOutcome("unanswered");
    }
  }

  /** Answers a peer's query. */
  onQuery({ endpoints, entry, id }: LoadQuery): void {
    const { load, owners, registry, reportExchange, self, send } =
      this.#options;
    const asker = identifier<ProcessId>(entry);
    owners.recordMessage(asker);
    const work = endpoints.map((name) => {
      const endpoint = identifier<EndpointId>(name);
      const others = addWork(load.own(endpoint), load.others(endpoint, asker));
      return encodeWork(endpoint, others);
    });
    send(asker, {
      method: LOAD_ANSWER_METHOD,
      params: {
        entry: self,
        id,
        work: reportExchange.addToAnswer(withRuns(registry, work)),
      },
    });
  }

  /** Applies an owner's answer; ignores one that matches no pending query. */
  onAnswer({ entry, id, work }: LoadAnswer): void {
    const owner = identifier<ProcessId>(entry);
    const query = this.#pending.get(id);
    if (query?.waiting.delete(owner) !== true) return;
    const { load, owners, registry, reportExchange } = this.#options;
    reportExchange.apply(work);
    owners.recordMessage(owner);
    owners.recordQuery(owner, { answered: true });
    this.#options.onOutcome("answered");
    for (
      const [endpoint, requests, prefillMilliseconds, tokens] of workOfSameRuns(
        registry,
        work,
      )
    ) {
      load.recordOwnerReport(identifier(endpoint), {
        requests,
        prefillMilliseconds,
        tokens,
      });
    }
    if (query.waiting.size === 0) query.settle();
  }
}
