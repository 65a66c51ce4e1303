import type { AvailabilityZoneId } from "../../identity/mod.ts";
import type { EngineLimits, RegisteredEndpoint } from "../configuration.ts";
import type { PrefixDirectory, PromptPart } from "./prefix_directory.ts";

/** Factor of a transfer's duration to another availability zone. */
const CROSS_ZONE_SLOWDOWN = 2;
const BITS_PER_BYTE = 8;
/** Bits that a link of one megabit per second carries in a millisecond. */
const BITS_PER_MEGABIT_MILLISECOND = 1_000;

/** An engine that has a prefix of a prompt cached. */
export interface PrefixSource {
  readonly endpoint: RegisteredEndpoint;
  readonly keptTokens: number;
}

/** The engine with the longest cached prefix of a prompt in each zone. */
export function bestSources(
  parts: readonly PromptPart[],
  options: {
    readonly engines: readonly RegisteredEndpoint[];
    readonly prefixes: PrefixDirectory;
  },
): readonly PrefixSource[] {
  const byZone = new Map<AvailabilityZoneId, PrefixSource>();
  for (const endpoint of options.engines) {
    const keptTokens = options.prefixes.keptTokens(endpoint.id, parts);
    const bestTokens = byZone.get(endpoint.availabilityZone)?.keptTokens ?? 0;
    if (keptTokens <= bestTokens) continue;
    byZone.set(endpoint.availabilityZone, { endpoint, keptTokens });
  }
  return [...byZone.values()];
}

/** Time for the transfer of the cache of these tokens over an idle link. */
export function transferMilliseconds(
  tokens: number,
  options: { readonly engine: EngineLimits; readonly isCrossZone: boolean },
): number {
  const { cacheTokenBytes, linkMegabitsPerSecond } = options.engine;
  if (linkMegabitsPerSecond <= 0) return Infinity;
  const bits = tokens * cacheTokenBytes * BITS_PER_BYTE;
  const milliseconds = bits /
    (linkMegabitsPerSecond * BITS_PER_MEGABIT_MILLISECOND);
  return options.isCrossZone
    ? CROSS_ZONE_SLOWDOWN * milliseconds
    : milliseconds;
}
