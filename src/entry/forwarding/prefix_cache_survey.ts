import type {
  ForwardingConfiguration,
  PrefixDirectory,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { EndpointClient } from "./network_interfaces.ts";

/**
 * How long after its start an entry surveys engines. An engine that appears
 * later has just been started and has an empty cache.
 */
const SURVEY_WINDOW_MILLISECONDS = 4_000;
/**
 * Spread of the queries, so that the entries of a starting fleet do not query
 * at the same time.
 */
const QUERY_SPREAD_MILLISECONDS = 50;
/**
 * Expected number of entries that query the same engine. Each query delays the
 * engine's work; in larger fleets the other entries learn from the reports of
 * these.
 */
const QUERYING_ENTRIES = 8;

export interface PrefixCacheSurveyOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  readonly endpointClient: Pick<EndpointClient, "listCachedParts">;
  readonly prefixes: PrefixDirectory;
  readonly configuration: () => ForwardingConfiguration | undefined;
  /** Number of entries in the fleet, including this one. */
  readonly entries: () => number;
  /** False if the engines were started with the fleet and have empty caches. */
  readonly isNeeded: boolean;
}

/**
 * Queries engines once, during startup, for the prompt parts in their caches.
 * After a restart of all entries no peer has this information, and shared parts
 * would be prefilled again.
 */
export class PrefixCacheSurvey {
  readonly #options: PrefixCacheSurveyOptions;
  readonly #startedAt: number;
  readonly #queried = new Set<EndpointId>();

  constructor(options: PrefixCacheSurveyOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
  }

  /** Schedules a query to an engine that has become known. */
  onEngineSeen(engine: RegisteredEndpoint): void {
    const { isNeeded, random, timer } = this.#options;
    const age = timer.now() - this.#startedAt;
    const isDue = isNeeded && engine.role !== undefined && !engine.leaving &&
      age <= SURVEY_WINDOW_MILLISECONDS && !this.#queried.has(engine.id);
    if (!isDue) return;
    this.#queried.add(engine.id);
    timer.after(
      QUERY_SPREAD_MILLISECONDS * random(),
      () => this.#query(engine),
    );
  }

  async #query(engine: RegisteredEndpoint): Promise<void> {
    const {
      endpointClient,
      entries,
      logger,
      prefixes,
      random,
    } = this.#options;
    if (random() >= QUERYING_ENTRIES / entries()) return;
    const parts = await endpointClient.listCachedParts(engine);
    const memoryTokens = this.#memoryTokensOf(engine);
    if (parts === undefined || memoryTokens === undefined) return;
    prefixes.recordPeerCached({ engine: engine.id, parts, memoryTokens });
    logger.info(
      { endpoint: engine.id, parts: parts.length },
      "Received the cached prompt parts of an engine",
    );
  }

  #memoryTokensOf({ pool }: RegisteredEndpoint): number | undefined {
    return this.#options.configuration()?.pools.get(pool)?.engine
      ?.memoryTokens;
  }
}
