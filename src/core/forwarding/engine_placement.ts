import type { AvailabilityZoneId } from "../identity/mod.ts";
import type { Random } from "../random/mod.ts";
import type {
  EngineLimits,
  Pool,
  RegisteredEndpoint,
} from "./configuration.ts";
import type { EndpointOutcomes } from "./endpoint_outcomes.ts";
import type { EngineEstimates, ReadingSpeed } from "./estimates/mod.ts";
import type { LoadPicture } from "./load_picture.ts";
import type { PrefixDirectory } from "./prefix_directory.ts";
import {
  bestSources,
  type PrefixSource,
  transferMilliseconds,
} from "./prefix_sources.ts";
import type { Prompt } from "./requests.ts";

/**
 * Prompts with at least so many tokens to read go through a prefill engine.
 * Load: short urgent prompts and long summaries on the same engines. Harm
 * prevented: an engine that decodes reads a long prompt in many chunks between
 * the tokens of its streams, which then pause. Limit: a hand-over costs two
 * calls, about 6 ms; an engine that decodes reads 1,000 tokens in as long.
 */
const HANDOVER_TOKENS = 1_000;
/**
 * What a millisecond of an engine's own work counts against one of waiting.
 * Load: more long prompts than the engines can read whole. Harm prevented: the
 * soonest engine is often one that has to read the shared parts again, which
 * takes capacity from the prompts behind it. Limit: see the table of weights
 * in docs/ROUNDS.md.
 */
const WORK_WEIGHT = 4;
/**
 * What a hand-over to another availability zone counts for, in slots: the
 * cache travels twice as long there.
 */
const OTHER_ZONE_SLOTS = 1;
/** Equal candidates differ by up to so much at random, in slots. */
const TIE_BREAK_SLOTS = 0.5;

/**
 * Prompts that may be open at an engine while one that is late anyhow is sent
 * there. Load: an overload of seconds. Harm prevented: prompts that wait at an
 * engine hold its memory, which then keeps no shared parts: engines read 20 ms
 * a prompt where 11 were predicted, and half of their time was lost.
 */
const MOST_OPEN_FOR_LATE = 8;

/**
 * What an engine in another availability zone than the entry's counts against
 * one of its own. Load: prompts of some kilobytes that cross to the engine that
 * reads and to the one that decodes. Harm prevented: traffic between zones that
 * gains nothing. Limit: the way there and back, 1.4 ms each; less than what a
 * kept part saves, so that parts are not read once a zone.
 */
const OTHER_ZONE_MILLISECONDS = 3;

/**
 * Tokens from which on a part is fetched from the engine that keeps it. Load:
 * several hundred shared parts, more than one engine's memory holds. Harm
 * prevented: an engine reads again for 20 ms what a link carries in 2 to 4 ms.
 * Limit: a fetch of 1,000 tokens saves 3 ms and costs a wait on both links.
 */
const LEAST_FETCHED_TOKENS = 1_000;

/**
 * An engine that decodes reads prompts at half the speed, between the tokens of
 * its streams; the platform tells so of every kind of engine.
 */
const DECODE_ENGINE_SLOWDOWN = 2;

/** Where a prompt is to be read. */
export interface PrefillChoice {
  readonly endpoint: RegisteredEndpoint;
  /** Work that the engine has to do for the prompt. */
  readonly workMilliseconds: number;
  /** Work that stands before it there and can be on time. */
  readonly backlogMilliseconds: number;
  /** All work that stands before it there. */
  readonly wholeBacklogMilliseconds: number;
  /** Requests that all entries have open there. */
  readonly openRequests: number;
  readonly keptTokens: number;
  /** The engine that more of the prompt is fetched from first. */
  readonly fetchFrom?: RegisteredEndpoint;
}

/** Where a request is to decode. */
export interface DecodeChoice {
  readonly endpoint: RegisteredEndpoint;
  /** Prompt reading that it costs the engine, 0 after a hand-over. */
  readonly workMilliseconds: number;
  /** Requests that all entries have open there. */
  readonly openRequests: number;
}

/** Engines of one pool that a prompt may go to. */
export interface PrefillCandidates {
  readonly engines: readonly RegisteredEndpoint[];
  readonly pool: Pool;
}

export interface EnginePlacementOptions {
  /** Zone of the entry that places. */
  readonly availabilityZone: AvailabilityZoneId;
  readonly load: LoadPicture;
  readonly prefixes: PrefixDirectory;
  readonly outcomes: EndpointOutcomes;
  readonly estimates: EngineEstimates;
  readonly random: Random;
}

/** Chooses engines for prompts and for answers. */
export class EnginePlacement {
  readonly #options: EnginePlacementOptions;

  constructor(options: EnginePlacementOptions) {
    this.#options = options;
  }

  /** True where the prompt is long enough for an engine of its own. */
  wantsHandover(prompt: Prompt): boolean {
    return prompt.inputTokens >= HANDOVER_TOKENS;
  }

  /** The prefill engine that is best behind what can be on time. */
  choosePrefill(
    prompt: Prompt,
    among: PrefillCandidates,
  ): PrefillChoice | undefined {
    return this.#fastest(prompt, {
      ...among,
      backlog: (choice) => choice.backlogMilliseconds,
    });
  }

  /** The prefill engine that is best behind all its work, if one has room. */
  chooseLatePrefill(
    prompt: Prompt,
    among: PrefillCandidates,
  ): PrefillChoice | undefined {
    const { load } = this.#options;
    return this.#fastest(prompt, {
      ...among,
      hasRoom: (engine) => load.total(engine.id).requests < MOST_OPEN_FOR_LATE,
      backlog: (choice) => choice.wholeBacklogMilliseconds,
    });
  }

  #fastest(
    prompt: Prompt,
    options: PrefillCandidates & {
      readonly hasRoom?: (engine: RegisteredEndpoint) => boolean;
      readonly backlog: (choice: PrefillChoice) => number;
    },
  ): PrefillChoice | undefined {
    const { backlog, engines, hasRoom = () => true, pool } = options;
    const { availabilityZone, outcomes, prefixes } = this.#options;
    const readers = engines.filter((each) =>
      each.role === "prefill" && hasRoom(each)
    );
    const sources = bestSources(prompt.parts, {
      engines: outcomes.wellAmong(engines),
      prefixes,
    });
    let best: PrefillChoice | undefined;
    let bestCost = Infinity;
    for (const endpoint of outcomes.wellAmong(readers)) {
      const choice = this.#prefillAt(endpoint, { prompt, pool, sources });
      const isFar = endpoint.availabilityZone !== availabilityZone;
      const cost = backlog(choice) + WORK_WEIGHT * choice.workMilliseconds +
        (isFar ? OTHER_ZONE_MILLISECONDS : 0);
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = choice;
    }
    return best;
  }

  #prefillAt(
    endpoint: RegisteredEndpoint,
    options: {
      readonly prompt: Prompt;
      readonly pool: Pool;
      readonly sources: readonly PrefixSource[];
    },
  ): PrefillChoice {
    const { estimates, load, prefixes } = this.#options;
    const { pool, prompt, sources } = options;
    const { reading } = estimates.of(pool.name);
    const keptTokens = prefixes.keptTokens(endpoint.id, prompt.parts);
    const open = load.total(endpoint.id);
    const alone = {
      workMilliseconds: reading.readMilliseconds(
        prompt.inputTokens,
        keptTokens,
      ),
      keptTokens,
    };
    const ways = sources.flatMap((source) =>
      wayThrough(source, {
        endpoint,
        prompt,
        keptTokens,
        reading,
        engine: pool.engine,
      })
    );
    const quickest = ways.reduce(
      (one, other) =>
        other.workMilliseconds < one.workMilliseconds ? other : one,
      alone,
    );
    return {
      endpoint,
      ...quickest,
      backlogMilliseconds: open.prefillMilliseconds,
      wholeBacklogMilliseconds: open.prefillMilliseconds +
        open.lateMilliseconds,
      openRequests: open.requests,
    };
  }

  /** The decoding engine with the fewest open requests for its slots. */
  chooseDecode(
    engines: readonly RegisteredEndpoint[],
    options: {
      readonly prompt: Prompt;
      readonly pool: Pool;
      /** Where the prompt's cache is, after a hand-over. */
      readonly keptIn?: AvailabilityZoneId;
    },
  ): DecodeChoice | undefined {
    const { estimates, load, outcomes, prefixes, random } = this.#options;
    const { keptIn, pool, prompt } = options;
    const makers = engines.filter((engine) => engine.role !== "prefill");
    let best: RegisteredEndpoint | undefined;
    let bestCost = Infinity;
    for (const endpoint of outcomes.wellAmong(makers)) {
      const isFar = keptIn !== undefined &&
        endpoint.availabilityZone !== keptIn;
      const cost = load.total(endpoint.id).requests +
        (isFar ? OTHER_ZONE_SLOTS : 0) + TIE_BREAK_SLOTS * random();
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = endpoint;
    }
    if (best === undefined) return undefined;
    const keptTokens = prefixes.keptTokens(best.id, prompt.parts);
    return {
      endpoint: best,
      workMilliseconds: keptIn !== undefined ? 0 : DECODE_ENGINE_SLOWDOWN *
        estimates.of(pool.name).reading.readMilliseconds(
          prompt.inputTokens,
          keptTokens,
        ),
      openRequests: load.total(best.id).requests,
    };
  }
}

/** Reading a prompt with what another engine keeps of it, if that pays. */
function wayThrough(
  source: PrefixSource,
  options: {
    readonly endpoint: RegisteredEndpoint;
    readonly prompt: Prompt;
    readonly keptTokens: number;
    readonly reading: ReadingSpeed;
    readonly engine: EngineLimits | undefined;
  },
): Pick<PrefillChoice, "workMilliseconds" | "keptTokens" | "fetchFrom">[] {
  const { endpoint, engine, keptTokens, prompt, reading } = options;
  const fetched = source.keptTokens - keptTokens;
  if (engine === undefined || fetched < LEAST_FETCHED_TOKENS) return [];
  const isFar = source.endpoint.availabilityZone !== endpoint.availabilityZone;
  return [{
    workMilliseconds: transferMilliseconds(fetched, { engine, isFar }) +
      reading.readMilliseconds(prompt.inputTokens, source.keptTokens),
    keptTokens: source.keptTokens,
    fetchFrom: source.endpoint,
  }];
}
