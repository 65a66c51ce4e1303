/** Samples the engines whose load is compared before a placement. */
import type { AvailabilityZoneId } from "../../identity/mod.ts";
import { rendezvousFirst } from "../../membership/mod.ts";
import type { Random } from "../../random/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { Prompt } from "../requests.ts";

/**
 * Number of engines on which a shared part of prompts is cached. Cached on
 * every engine, each part would evict others. The second is for a busy first
 * one.
 */
const AFFINITY_ENGINES = 2;
/** Engines sampled besides those with affinity, in case these are busy. */
const RANDOM_PREFILL_ENGINES = 3;
/**
 * Engines sampled in the zone of the cache, where a transfer takes half as
 * long, and in other zones.
 */
const SAME_ZONE_DECODE_ENGINES = 3;
const OTHER_ZONE_DECODE_ENGINES = 3;

export interface SampleOptions {
  readonly random: Random;
  /** Preferred zone. */
  readonly availabilityZone: AvailabilityZoneId;
}

/**
 * Prefill engines to compare for a prompt: first those with affinity to its
 * shared parts, then random ones, with at least one of the preferred zone. A
 * few are enough: the least busy of five is nearly as free as the least busy of
 * all. Entries that sample different engines don't all choose the same one from
 * the same load data.
 */
export function samplePrefillEngines(
  prompt: Prompt,
  options: SampleOptions & { readonly engines: readonly RegisteredEndpoint[] },
): readonly RegisteredEndpoint[] {
  const { engines } = options;
  const preferred = affinityEngines(prompt, engines);
  const others = engines.filter((each) => !preferred.includes(each));
  return [
    ...preferred,
    ...sampleWithSameZone(others, RANDOM_PREFILL_ENGINES, options),
  ];
}

/**
 * Decode engines to compare for a response, those of the preferred zone first.
 */
export function sampleDecodeEngines(
  decodeEngines: readonly RegisteredEndpoint[],
  options: SampleOptions,
): readonly RegisteredEndpoint[] {
  const isSameZone = (each: RegisteredEndpoint) =>
    each.availabilityZone === options.availabilityZone;
  const sameZone = shuffled(decodeEngines.filter(isSameZone), options.random);
  const otherZones = shuffled(
    decodeEngines.filter((each) => !isSameZone(each)),
    options.random,
  );
  const sameZoneSample = sameZone.slice(0, SAME_ZONE_DECODE_ENGINES);
  return [
    ...sameZoneSample,
    ...otherZones.slice(
      0,
      SAME_ZONE_DECODE_ENGINES + OTHER_ZONE_DECODE_ENGINES -
        sameZoneSample.length,
    ),
  ];
}

/**
 * Engines with affinity to the prompt's shared parts, by rendezvous hashing.
 */
function affinityEngines(
  prompt: Prompt,
  prefillEngines: readonly RegisteredEndpoint[],
): readonly RegisteredEndpoint[] {
  // The last part is specific to the request.
  const shared = prompt.parts.at(-2);
  if (shared === undefined) return [];
  return rendezvousFirst(prefillEngines, {
    picker: shared.id,
    count: AFFINITY_ENGINES,
  });
}

/** Random engines, one of them from the preferred zone where there is one. */
function sampleWithSameZone(
  engines: readonly RegisteredEndpoint[],
  count: number,
  { availabilityZone, random }: SampleOptions,
): readonly RegisteredEndpoint[] {
  const candidates = shuffled(engines, random);
  const sameZoneEngine = candidates.find((each) =>
    each.availabilityZone === availabilityZone
  );
  if (sameZoneEngine === undefined) return candidates.slice(0, count);
  const others = candidates.filter((each) => each !== sameZoneEngine);
  return [sameZoneEngine, ...others.slice(0, count - 1)];
}

function shuffled<Item>(items: readonly Item[], random: Random): Item[] {
  const result = [...items];
  for (let last = result.length - 1; last > 0; last--) {
    const other = Math.floor(random() * (last + 1));
    [result[last], result[other]] = [result[other], result[last]];
  }
  return result;
}
