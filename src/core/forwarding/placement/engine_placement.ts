import type { AvailabilityZoneId } from "../../identity/mod.ts";
import type { Random } from "../../random/mod.ts";
import type { Pool, RegisteredEndpoint } from "../configuration.ts";
import { hasRoom } from "./decode_room.ts";
import { sampleDecoders, sampleReaders } from "./engine_sample.ts";
import type { EndpointOutcomes } from "../endpoints/endpoint_outcomes.ts";
import type { EngineEstimates, EngineSlowness } from "../estimates/mod.ts";
import { LOOK_MILLISECONDS } from "../admission/held_prompts.ts";
import type { LoadPicture, PromptWork } from "../endpoints/load_picture.ts";
import type { PrefixDirectory } from "../caches/prefix_directory.ts";
import {
  bestSources,
  type PrefixSource,
  transferMilliseconds,
} from "../caches/prefix_sources.ts";
import {
  type PromptReading,
  quickestReading,
} from "../caches/prompt_reading.ts";
import type { Prompt } from "../requests.ts";

/**
 * What a millisecond of an engine's own work counts against one of waiting. The
 * soonest engine often has to read shared parts again, which takes capacity from
 * the prompts behind.
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
 * Work before a prompt at an engine that is nearly idle: what is done by the
 * time the next look at the held prompts could bring it another. More would
 * stand before the next prompt that can be on time, less would leave the engine
 * idle between two looks.
 */
const NEARLY_IDLE_MILLISECONDS = 2 * LOOK_MILLISECONDS;

/**
 * What an engine in another availability zone than the entry's counts for: the
 * round trip. It is less than a kept part saves, so that parts are not read once
 * in each zone.
 */
const OTHER_ZONE_MILLISECONDS = 3;

/**
 * An engine that decodes reads prompts at half the speed, between the tokens of
 * its streams; the platform tells so of every kind of engine.
 */
const DECODE_ENGINE_SLOWDOWN = 2;

/**
 * Share of its target that a prompt's reading may take at an engine that decodes.
 * A longer prompt would be read in many chunks between the tokens of the engine's
 * streams; for a shorter one a hand-over takes as long as the reading.
 */
const INLINE_TARGET_SHARE = 0.1;

/** Where a prompt is to be read. */
export interface PrefillChoice extends PromptReading {
  readonly endpoint: RegisteredEndpoint;
  /** Work that stands before it there. */
  readonly backlogMilliseconds: number;
  /** Time until it is read: what stands before it, its own, and the call's. */
  readonly predictedMilliseconds: number;
  /** How many times as long the engine takes as its kind. */
  readonly slowness: number;
  /** Requests that all entries have open there. */
  readonly openRequests: number;
}

/** Where a request is to decode. */
export interface DecodeChoice {
  readonly endpoint: RegisteredEndpoint;
  readonly work: PromptWork;
}

/** Engines of one pool that a prompt may go to. */
export interface PrefillCandidates {
  readonly engines: readonly RegisteredEndpoint[];
  readonly pool: Pool;
  /** Of these, the ones that may read it; all where it is left out. */
  readonly readers?: readonly RegisteredEndpoint[];
}

export interface EnginePlacementOptions {
  /** Zone of the entry that places. */
  readonly availabilityZone: AvailabilityZoneId;
  readonly load: LoadPicture;
  readonly prefixes: PrefixDirectory;
  readonly outcomes: EndpointOutcomes;
  readonly estimates: EngineEstimates;
  readonly slowness: EngineSlowness;
  readonly random: Random;
}

/** Chooses engines for prompts and for answers. */
export class EnginePlacement {
  readonly #options: EnginePlacementOptions;

  constructor(options: EnginePlacementOptions) {
    this.#options = options;
  }

  /** True where the prompt is long enough for an engine that only reads. */
  wantsHandover(
    prompt: Prompt,
    { pool, targetMilliseconds }: {
      readonly pool: Pool;
      readonly targetMilliseconds: number;
    },
  ): boolean {
    const { reading } = this.#options.estimates.of(pool.name);
    const inline = DECODE_ENGINE_SLOWDOWN *
      reading.freshMilliseconds(prompt.inputTokens, 0);
    return inline > INLINE_TARGET_SHARE * targetMilliseconds;
  }

  /** From the end of the prompt's reading to the first byte, for most. */
  handoverMilliseconds(prompt: Prompt, pool: Pool): number {
    const { handover } = this.#options.estimates.of(pool.name);
    return handover.cautiousMilliseconds +
      handoverTransfer(prompt, pool);
  }

  /** An answer came so long after it was asked for behind a hand-over. */
  handedOver(prompt: Prompt, pool: Pool, milliseconds: number): void {
    const { handover } = this.#options.estimates.of(pool.name);
    handover.took(milliseconds, handoverTransfer(prompt, pool));
  }

  /** Engines whose load is to be known before the prompt is placed. */
  readersToAsk(
    prompt: Prompt,
    engines: readonly RegisteredEndpoint[],
  ): readonly RegisteredEndpoint[] {
    const readers = this.#options.outcomes.wellAmong(engines.filter(isReader));
    return sampleReaders(prompt, { ...this.#options, readers });
  }

  /** The same before an answer is placed; `keptIn`: where its cache is. */
  decodersToAsk(
    engines: readonly RegisteredEndpoint[],
    { keptIn }: { readonly keptIn?: AvailabilityZoneId },
  ): readonly RegisteredEndpoint[] {
    const { availabilityZone, outcomes, random } = this.#options;
    return sampleDecoders(outcomes.wellAmong(engines), {
      random,
      availabilityZone: keptIn ?? availabilityZone,
    });
  }

  /** The prefill engine that is best behind all its work. */
  choosePrefill(
    prompt: Prompt,
    among: PrefillCandidates,
  ): PrefillChoice | undefined {
    return this.#fastest(prompt, among);
  }

  /** The best prefill engine of those that have next to nothing to do. */
  chooseIdlePrefill(
    prompt: Prompt,
    among: PrefillCandidates,
  ): PrefillChoice | undefined {
    const { load } = this.#options;
    return this.#fastest(prompt, {
      ...among,
      isWanted: ({ id }) =>
        load.total(id).prefillMilliseconds <= NEARLY_IDLE_MILLISECONDS,
    });
  }

  #fastest(
    prompt: Prompt,
    options: PrefillCandidates & {
      readonly isWanted?: (engine: RegisteredEndpoint) => boolean;
    },
  ): PrefillChoice | undefined {
    const { engines, isWanted = () => true, pool } = options;
    const { availabilityZone, outcomes, prefixes } = this.#options;
    const readers = (options.readers ?? engines).filter((each) =>
      isReader(each) && isWanted(each)
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
      const cost = choice.backlogMilliseconds +
        WORK_WEIGHT * choice.workMilliseconds +
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
    const { estimates, load, prefixes, slowness } = this.#options;
    const { pool, prompt, sources } = options;
    const slow = slowness.factor(endpoint.id);
    const { reading } = estimates.of(pool.name);
    const keptTokens = prefixes.keptTokens(endpoint.id, prompt.parts);
    const open = load.total(endpoint.id);
    const quickest = quickestReading(prompt, {
      endpoint,
      pool,
      reading,
      keptTokens,
      sources,
    });
    const workMilliseconds = slow * quickest.workMilliseconds;
    const backlogMilliseconds = slow * open.prefillMilliseconds;
    return {
      endpoint,
      ...quickest,
      workMilliseconds,
      backlogMilliseconds,
      predictedMilliseconds: backlogMilliseconds + workMilliseconds +
        reading.costs.callMilliseconds,
      slowness: slow,
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
      /** True: only an engine that has room for it now. */
      readonly withRoom?: boolean;
    },
  ): DecodeChoice | undefined {
    const { estimates, load, outcomes, prefixes, random } = this.#options;
    const { keptIn, pool, prompt, withRoom = false } = options;
    const makers = engines.filter((engine) => engine.role !== "prefill");
    const tokens = prompt.inputTokens + prompt.mostOutputTokens;
    let best: RegisteredEndpoint | undefined;
    let bestCost = Infinity;
    for (const endpoint of outcomes.wellAmong(makers)) {
      if (withRoom && !hasRoom(endpoint, { load, pool, tokens })) continue;
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
      work: {
        milliseconds: keptIn !== undefined ? 0 : DECODE_ENGINE_SLOWDOWN *
          estimates.of(pool.name).reading.freshMilliseconds(
            prompt.inputTokens,
            keptTokens,
          ),
        tokens,
      },
    };
  }
}

function isReader({ role }: RegisteredEndpoint): boolean {
  return role === "prefill";
}

/**
 * Engines that decode are few, so that most prompts cross zones. Where nobody
 * has told the links' speed, the transfer is part of what is learned: taken for
 * endless, every long prompt would be refused.
 */
function handoverTransfer(prompt: Prompt, { engine }: Pool): number {
  if (engine === undefined || engine.linkMegabitsPerSecond <= 0) return 0;
  return transferMilliseconds(prompt.inputTokens, { engine, isFar: true });
}
