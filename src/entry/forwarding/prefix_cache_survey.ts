import type {
  ForwardingConfiguration,
  PrefixDirectory,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { EndpointDoor } from "./links.ts";

/**
 * How long after its start an entry asks engines for what they keep. Later an
 * engine that appears has just been started and keeps nothing.
 */
const SURVEY_WINDOW_MILLISECONDS = 4_000;
/** Spread of the questions, so that a fleet that starts does not ask as one. */
const QUERY_SPREAD_MILLISECONDS = 50;
/**
 * Entries of a fleet that ask the same engine. Each question delays the
 * engine's work; in larger fleets the others learn from what these read.
 */
const QUERYING_ENTRIES = 8;

export interface PrefixCacheSurveyOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly logger: Logger;
  readonly endpointClient: Pick<EndpointDoor, "listKept">;
  readonly prefixes: PrefixDirectory;
  readonly configuration: () => ForwardingConfiguration | undefined;
  /** Entries of the fleet, this one included. */
  readonly entries: () => number;
  /** False: the engines have been started with the fleet and keep nothing. */
  readonly isNeeded: boolean;
}

/**
 * Asks engines which parts of prompts they keep, once, while this entry is
 * young. After a restart of all entries nobody else knows, and shared parts
 * would be read again.
 */
export class PrefixCacheSurvey {
  readonly #options: PrefixCacheSurveyOptions;
  readonly #startedAt: number;
  readonly #queried = new Set<EndpointId>();

  constructor(options: PrefixCacheSurveyOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
  }

  /** An engine has become known. */
  onEngineSeen(engine: RegisteredEndpoint): void {
    const { isNeeded, random, timer } = this.#options;
    const age = timer.now() - this.#startedAt;
    const isDue = isNeeded && engine.role !== undefined && !engine.leaving &&
      age <= SURVEY_WINDOW_MILLISECONDS && !this.#queried.has(engine.id);
    if (!isDue) return;
    this.#queried.add(engine.id);
    timer.after(
      QUERY_SPREAD_MILLISECONDS * random(),
      () => void this.#query(engine),
    );
  }

  async #query(engine: RegisteredEndpoint): Promise<void> {
    const {
      endpointClient: endpointClient,
      entries,
      logger,
      prefixes,
      random,
    } = this.#options;
    if (random() >= QUERYING_ENTRIES / entries()) return;
    const parts = await endpointClient.listKept(engine);
    const memoryTokens = this.#memoryTokensOf(engine);
    if (parts === undefined || memoryTokens === undefined) return;
    prefixes.peerRead({ engine: engine.id, parts, memoryTokens });
    logger.info(
      { endpoint: engine.id, parts: parts.length },
      "An engine told what it keeps",
    );
  }

  #memoryTokensOf({ pool }: RegisteredEndpoint): number | undefined {
    return this.#options.configuration()?.pools.get(pool)?.engine
      ?.memoryTokens;
  }
}
