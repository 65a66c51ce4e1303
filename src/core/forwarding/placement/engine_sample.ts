/** Which engines are looked at before something is placed. */
import type { AvailabilityZoneId } from "../../identity/mod.ts";
import { rendezvousFirst } from "../../membership/mod.ts";
import type { Random } from "../../random/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import type { Prompt } from "../requests.ts";

/**
 * Engines on which a shared part of prompts is gathered: kept everywhere, each part
 * would evict others. The second is for when the first is busy.
 */
const HOME_ENGINES = 2;
/** Engines looked at beside the homes, for when these are busy. */
const OTHER_READERS = 3;
/**
 * Engines looked at where the cache is, as a transfer within a zone takes half
 * the time, and elsewhere.
 */
const NEAR_DECODERS = 3;
const OTHER_DECODERS = 3;

export interface SampleOptions {
  readonly random: Random;
  /** Zone in which an engine is best. */
  readonly availabilityZone: AvailabilityZoneId;
}

/**
 * Engines that a prompt may be read by: the homes of its shared parts first,
 * the others at random, one of them from the zone. A few are enough: the least
 * busy of five is nearly as free as the least busy of all, and entries that look
 * at different ones don't all follow the same picture to one engine.
 */
export function sampleReaders(
  prompt: Prompt,
  options: SampleOptions & { readonly readers: readonly RegisteredEndpoint[] },
): readonly RegisteredEndpoint[] {
  const { readers } = options;
  const homes = homesOf(prompt, readers);
  const others = readers.filter((each) => !homes.includes(each));
  return [...homes, ...sampleNear(others, OTHER_READERS, options)];
}

/** Engines that an answer may be made by, those of the zone first. */
export function sampleDecoders(
  makers: readonly RegisteredEndpoint[],
  options: SampleOptions,
): readonly RegisteredEndpoint[] {
  const isNear = (each: RegisteredEndpoint) =>
    each.availabilityZone === options.availabilityZone;
  const near = shuffled(makers.filter(isNear), options.random);
  const far = shuffled(makers.filter((each) => !isNear(each)), options.random);
  const nearest = near.slice(0, NEAR_DECODERS);
  return [
    ...nearest,
    ...far.slice(0, NEAR_DECODERS + OTHER_DECODERS - nearest.length),
  ];
}

/** The engines that the prompt's shared parts are gathered on. */
function homesOf(
  prompt: Prompt,
  readers: readonly RegisteredEndpoint[],
): readonly RegisteredEndpoint[] {
  // The last part is the request's own.
  const shared = prompt.parts.at(-2);
  if (shared === undefined) return [];
  return rendezvousFirst(readers, { picker: shared.id, count: HOME_ENGINES });
}

/** So many at random, one of them from the zone where there is one. */
function sampleNear(
  engines: readonly RegisteredEndpoint[],
  count: number,
  { availabilityZone, random }: SampleOptions,
): readonly RegisteredEndpoint[] {
  const mixed = shuffled(engines, random);
  const near = mixed.find((each) => each.availabilityZone === availabilityZone);
  if (near === undefined) return mixed.slice(0, count);
  const others = mixed.filter((each) => each !== near);
  return [near, ...others.slice(0, count - 1)];
}

function shuffled<Item>(items: readonly Item[], random: Random): Item[] {
  const mixed = [...items];
  for (let last = mixed.length - 1; last > 0; last--) {
    const other = Math.floor(random() * (last + 1));
    [mixed[last], mixed[other]] = [mixed[other], mixed[last]];
  }
  return mixed;
}
