import type { AvailabilityZoneId } from "../../identity/mod.ts";
import type { Random } from "../../random/mod.ts";
import type { Pool, RegisteredEndpoint } from "../configuration.ts";
import { hasCapacity } from "./decode_capacity.ts";
import { bestCandidate, type DecodeCandidate } from "./decode_candidate.ts";
import { sampleDecodeEngines, samplePrefillEngines } from "./engine_sample.ts";
import type { EndpointAvailability } from "../endpoints/endpoint_availability.ts";
import type {
  DecodePace,
  EngineEstimates,
  EngineSlowness,
} from "../estimates/mod.ts";
import { POLL_MILLISECONDS } from "../admission/held_prompt_queue.ts";
import type {
  FleetLoad,
  OpenWork,
  PromptWork,
} from "../endpoints/fleet_load.ts";
import type { PrefixDirectory } from "../caches/prefix_directory.ts";
import {
  bestSources,
  type PrefixSource,
  transferMilliseconds,
} from "../caches/prefix_sources.ts";
import {
  fastestPrefillPlan,
  type PrefillPlan,
} from "../caches/prefill_plan.ts";
import type { Prompt } from "../requests.ts";

/**
 * Cost of a millisecond of prefill work relative to one of backlog. The engine
 * that would finish first often has to recompute shared parts, which takes
 * capacity from the prompts behind it.
 */
const WORK_TO_BACKLOG_WEIGHT = 4;
/**
 * Cost of a handover to another availability zone, in slots. The transfer of
 * the cache takes twice as long there.
 */
const CROSS_ZONE_HANDOVER_SLOTS = 1;
/** Range of the random term that breaks ties between engines, in slots. */
const TIE_BREAK_JITTER_SLOTS = 0.5;

/**
 * Largest backlog of a nearly idle engine, the work done by the time of the
 * next check of the held prompts. A larger backlog would delay the next prompt
 * that can be on time; a smaller one would leave the engine idle between two
 * checks.
 */
const NEARLY_IDLE_BACKLOG_MILLISECONDS = 2 * POLL_MILLISECONDS;

/**
 * Cost of an engine in another availability zone than the entry's: the round
 * trip. It is less than a cached part saves, so that shared parts are not
 * computed once in each zone.
 */
const CROSS_ZONE_MILLISECONDS = 3;

/**
 * A decode engine prefills at half the speed, between the tokens of its
 * streams. The platform specifies this factor for all kinds of engines.
 */
const DECODE_ENGINE_PREFILL_SLOWDOWN = 2;

/**
 * Share of the target latency that a prefill on a decode engine may take. A
 * longer prompt would be processed in many chunks between the tokens of the
 * engine's streams; for a shorter one the handover takes as long as the
 * prefill.
 */
const MAX_INLINE_PREFILL_TARGET_SHARE = 0.1;

/**
 * Share of the allowed stream pause that a prefill on a decode engine may take.
 * The streams need the rest for their own tokens and for other prefills.
 */
const MAX_INLINE_PREFILL_PAUSE_SHARE = 0.1;
/**
 * Share of the decode engines' time that inline prefills may take. Prefills of
 * up to a tenth of a 514 ms target took up to half of it and caused most pauses
 * above 200 ms. With 0.07, slow engines hand over short prompts, which then
 * wait behind long ones.
 */
const MAX_INLINE_PREFILL_TIME_SHARE = 0.1;

/** Limits on inline prefills where the pauses of streams are bounded. */
export interface InlinePrefillLimits {
  /** Longest pause that the open streams of the pool allow. */
  readonly maxPauseMilliseconds: number;
  /** Decode engines of the pool for each entry. */
  readonly decodeEngines: number;
}

/** A prefill engine for a prompt, and the predicted cost there. */
export interface PrefillChoice extends PrefillPlan {
  readonly endpoint: RegisteredEndpoint;
  /** Prefill work ahead of the prompt on this engine. */
  readonly backlogMilliseconds: number;
  /** Time until the prefill ends: the backlog, the work and the call itself. */
  readonly predictedMilliseconds: number;
  /** Measured slowdown of the engine relative to its pool; 1 is normal. */
  readonly slowdown: number;
  /** Open requests of all entries at the engine. */
  readonly openRequests: number;
}

/** A decode engine for a request, and the work that the request adds there. */
export interface DecodeChoice {
  readonly endpoint: RegisteredEndpoint;
  readonly work: PromptWork;
  /**
   * Predicted pause of the engine's streams with the response, milliseconds;
   * absent where it did not decide.
   */
  readonly pauseMilliseconds?: number;
  /** True if some of these pauses would be longer than allowed. */
  readonly exceedsMaxPause?: boolean;
}

interface DecodeWorkOptions {
  readonly prompt: Prompt;
  readonly pool: Pool;
  /** Zone of the prompt's cache after a handover. */
  readonly cacheZone?: AvailabilityZoneId;
}

/** Engines of one pool that are considered for a prompt. */
export interface PrefillCandidates {
  readonly engines: readonly RegisteredEndpoint[];
  readonly pool: Pool;
  /**
   * Subset of `engines` that may prefill the prompt; all of them by default.
   */
  readonly prefillEngines?: readonly RegisteredEndpoint[];
}

export interface EnginePlacementOptions {
  /** Zone of this entry. */
  readonly availabilityZone: AvailabilityZoneId;
  readonly load: FleetLoad;
  readonly prefixes: PrefixDirectory;
  readonly availability: EndpointAvailability;
  readonly estimates: EngineEstimates;
  readonly slowness: EngineSlowness;
  readonly pace: DecodePace;
  readonly random: Random;
}

/** Chooses prefill engines for prompts and decode engines for responses. */
export class EnginePlacement {
  readonly #options: EnginePlacementOptions;

  constructor(options: EnginePlacementOptions) {
    this.#options = options;
  }

  /** True where the prompt is long enough for a separate prefill engine. */
  needsHandover(
    prompt: Prompt,
    { inlineLimits, pool, targetMilliseconds }: {
      readonly pool: Pool;
      readonly targetMilliseconds: number;
      /** Absent where pauses are not bounded. */
      readonly inlineLimits?: InlinePrefillLimits;
    },
  ): boolean {
    const { prefill } = this.#options.estimates.forPool(pool.name);
    const inlineMilliseconds = DECODE_ENGINE_PREFILL_SLOWDOWN *
      prefill.predictWorkMilliseconds(prompt.inputTokens, 0);
    const maxMilliseconds = MAX_INLINE_PREFILL_TARGET_SHARE *
      targetMilliseconds;
    if (inlineMilliseconds > maxMilliseconds) return true;
    return inlineLimits !== undefined &&
      this.#exceedsLimits(inlineMilliseconds, { pool, inlineLimits });
  }

  /**
   * True if the inline prefill would lengthen the pauses of open streams too
   * much: by itself, or together with others, of which the short ones go first.
   */
  #exceedsLimits(
    milliseconds: number,
    { inlineLimits, pool }: {
      readonly pool: Pool;
      readonly inlineLimits: InlinePrefillLimits;
    },
  ): boolean {
    const { decodeEngines, maxPauseMilliseconds } = inlineLimits;
    const work = this.#options.pace.inlineWork(pool.name);
    work.record(milliseconds);
    return milliseconds >
        MAX_INLINE_PREFILL_PAUSE_SHARE * maxPauseMilliseconds ||
      work.busyEngines(milliseconds) >
        MAX_INLINE_PREFILL_TIME_SHARE * decodeEngines;
  }

  /** Conservative time from the end of the prefill to the first byte. */
  handoverMilliseconds(prompt: Prompt, pool: Pool): number {
    const { handover } = this.#options.estimates.forPool(pool.name);
    return handover.conservativeMilliseconds +
      handoverTransferMilliseconds(prompt, pool);
  }

  /** Records the time to first byte of a response after a handover. */
  recordHandover(prompt: Prompt, pool: Pool, milliseconds: number): void {
    const { handover } = this.#options.estimates.forPool(pool.name);
    handover.record(milliseconds, handoverTransferMilliseconds(prompt, pool));
  }

  /** Prefill engines whose load is refreshed before the prompt is placed. */
  prefillEnginesToRefresh(
    prompt: Prompt,
    engines: readonly RegisteredEndpoint[],
  ): readonly RegisteredEndpoint[] {
    const prefillEngines = this.#options.availability.filterHealthy(
      engines.filter(isPrefillEngine),
    );
    return samplePrefillEngines(prompt, {
      ...this.#options,
      engines: prefillEngines,
    });
  }

  /**
   * Decode engines whose load is refreshed before a response is placed.
   * `cacheZone` is the zone of the prompt's cache.
   */
  decodeEnginesToRefresh(
    engines: readonly RegisteredEndpoint[],
    { cacheZone }: { readonly cacheZone?: AvailabilityZoneId },
  ): readonly RegisteredEndpoint[] {
    const { availabilityZone, availability, random } = this.#options;
    return sampleDecodeEngines(availability.filterHealthy(engines), {
      random,
      availabilityZone: cacheZone ?? availabilityZone,
    });
  }

  /** The prefill engine with the lowest cost of backlog, work and distance. */
  choosePrefill(
    prompt: Prompt,
    candidates: PrefillCandidates,
  ): PrefillChoice | undefined {
    return this.#cheapestPrefill(prompt, candidates);
  }

  /** The same among the prefill engines that are nearly idle. */
  chooseNearlyIdlePrefill(
    prompt: Prompt,
    candidates: PrefillCandidates,
  ): PrefillChoice | undefined {
    const { load } = this.#options;
    return this.#cheapestPrefill(prompt, {
      ...candidates,
      isEligible: ({ id }) =>
        load.total(id).prefillMilliseconds <= NEARLY_IDLE_BACKLOG_MILLISECONDS,
    });
  }

  /** True if one of the prefill engines is nearly idle. */
  hasNearlyIdlePrefill(engines: readonly RegisteredEndpoint[]): boolean {
    const { availability, load } = this.#options;
    return availability.filterHealthy(engines.filter(isPrefillEngine)).some(
      ({ id }) =>
        load.total(id).prefillMilliseconds <= NEARLY_IDLE_BACKLOG_MILLISECONDS,
    );
  }

  #cheapestPrefill(
    prompt: Prompt,
    options: PrefillCandidates & {
      readonly isEligible?: (engine: RegisteredEndpoint) => boolean;
    },
  ): PrefillChoice | undefined {
    const { engines, isEligible = () => true, pool } = options;
    const { availabilityZone, availability, prefixes } = this.#options;
    const prefillEngines = (options.prefillEngines ?? engines).filter((each) =>
      isPrefillEngine(each) && isEligible(each)
    );
    const sources = bestSources(prompt.parts, {
      engines: availability.filterHealthy(engines),
      prefixes,
    });
    let best: PrefillChoice | undefined;
    let bestCost = Infinity;
    for (const endpoint of availability.filterHealthy(prefillEngines)) {
      const choice = this.#prefillChoiceAt(endpoint, { prompt, pool, sources });
      const isOtherZone = endpoint.availabilityZone !== availabilityZone;
      const cost = choice.backlogMilliseconds +
        WORK_TO_BACKLOG_WEIGHT * choice.workMilliseconds +
        (isOtherZone ? CROSS_ZONE_MILLISECONDS : 0);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = choice;
    }
    return best;
  }

  #prefillChoiceAt(
    endpoint: RegisteredEndpoint,
    options: {
      readonly prompt: Prompt;
      readonly pool: Pool;
      readonly sources: readonly PrefixSource[];
    },
  ): PrefillChoice {
    const { estimates, load, prefixes, slowness } = this.#options;
    const { pool, prompt, sources } = options;
    const slowdown = slowness.factor(endpoint.id);
    const { prefill } = estimates.forPool(pool.name);
    const keptTokens = prefixes.keptTokens(endpoint.id, prompt.parts);
    const openWork = load.total(endpoint.id);
    const plan = fastestPrefillPlan(prompt, {
      endpoint,
      pool,
      speed: prefill,
      keptTokens,
      sources,
    });
    const workMilliseconds = slowdown * plan.workMilliseconds;
    const backlogMilliseconds = slowdown * openWork.prefillMilliseconds;
    return {
      endpoint,
      ...plan,
      workMilliseconds,
      backlogMilliseconds,
      predictedMilliseconds: backlogMilliseconds + workMilliseconds +
        prefill.costs.callMilliseconds,
      slowdown,
      openRequests: openWork.requests,
    };
  }

  /**
   * The decode engine with the shortest predicted pause where pauses are
   * bounded, otherwise and among similar ones that with the fewest open
   * requests, weighted by distance.
   */
  chooseDecode(
    engines: readonly RegisteredEndpoint[],
    options: DecodeWorkOptions & {
      /** True: considers only engines that have capacity now. */
      readonly requiresCapacity?: boolean;
      /** Longest allowed pause; absent where pauses are not bounded. */
      readonly maxPauseMilliseconds?: number;
    },
  ): DecodeChoice | undefined {
    const { load, availability, pace, random } = this.#options;
    const {
      cacheZone,
      maxPauseMilliseconds,
      pool,
      prompt,
      requiresCapacity = false,
    } = options;
    const decodeEngines = engines.filter((engine) => engine.role !== "prefill");
    const tokens = prompt.inputTokens + prompt.mostOutputTokens;
    const candidates: DecodeCandidate[] = [];
    for (const endpoint of availability.filterHealthy(decodeEngines)) {
      if (
        requiresCapacity && !hasCapacity(endpoint, { load, pool, tokens })
      ) continue;
      const isOtherZone = cacheZone !== undefined &&
        endpoint.availabilityZone !== cacheZone;
      const open = load.total(endpoint.id);
      const slots = open.requests +
        (isOtherZone ? CROSS_ZONE_HANDOVER_SLOTS : 0) +
        TIE_BREAK_JITTER_SLOTS * random();
      const pauseMilliseconds = maxPauseMilliseconds === undefined
        ? undefined
        : this.#predictPause(endpoint, { open, response: options });
      candidates.push({ endpoint, slots, pauseMilliseconds });
    }
    const best = bestCandidate(candidates);
    if (best === undefined) return undefined;
    const { endpoint, pauseMilliseconds } = best;
    const milliseconds = this.#inlineMilliseconds(endpoint, options);
    const work = { milliseconds, tokens };
    if (pauseMilliseconds === undefined) return { endpoint, work };
    return {
      endpoint,
      work,
      pauseMilliseconds,
      exceedsMaxPause: maxPauseMilliseconds !== undefined &&
        pace.conservativeFactor(pool.name) *
              pauseMilliseconds >
          maxPauseMilliseconds,
    };
  }

  /** Predicted pause of the engine's streams with the response. */
  #predictPause(
    endpoint: RegisteredEndpoint,
    { open, response }: {
      readonly open: OpenWork;
      readonly response: DecodeWorkOptions;
    },
  ): number | undefined {
    const { inputTokens, mostOutputTokens } = response.prompt;
    return this.#options.pace.predictPause(endpoint, {
      requests: 1,
      tokens: inputTokens + mostOutputTokens,
      prefillMilliseconds: this.#inlineMilliseconds(endpoint, response),
    }, { open });
  }

  /** Prefill work of the response at the decode engine; 0 after a handover. */
  #inlineMilliseconds(
    { id }: RegisteredEndpoint,
    { cacheZone, pool, prompt }: DecodeWorkOptions,
  ): number {
    if (cacheZone !== undefined) return 0;
    const { estimates, prefixes } = this.#options;
    return DECODE_ENGINE_PREFILL_SLOWDOWN *
      estimates.forPool(pool.name).prefill.predictWorkMilliseconds(
        prompt.inputTokens,
        prefixes.keptTokens(id, prompt.parts),
      );
  }
}

/** True for an engine that prefills prompts for others. */
export function isPrefillEngine(
  { role }: Pick<RegisteredEndpoint, "role">,
): boolean {
  return role === "prefill";
}

/**
 * Predicted transfer time of the prompt's cache. Decode engines are few, so
 * most transfers cross zones. With an unknown link speed the transfer counts as
 * zero and becomes part of the learned handover time; taken as infinite, it
 * would cause every long prompt to be refused.
 */
function handoverTransferMilliseconds(
  prompt: Prompt,
  { engine }: Pool,
): number {
  if (engine === undefined || engine.linkMegabitsPerSecond <= 0) return 0;
  return transferMilliseconds(prompt.inputTokens, {
    engine,
    isCrossZone: true,
  });
}
