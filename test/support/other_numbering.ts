import type { ForwardingDependencies } from "../../src/entry/forwarding/mod.ts";

/** Streams from which an entry knows how a version counts its events. */
export const KNOWN_STREAMS = 32;

/** Lets an entry know that the ids of all registered versions may leave out others. */
export function learnOtherNumbering(
  { eventNumbering, registry }: Pick<
    ForwardingDependencies,
    "eventNumbering" | "registry"
  >,
): void {
  for (const endpoint of registry.all) {
    for (let stream = 0; stream < KNOWN_STREAMS; stream++) {
      eventNumbering.record(endpoint, { isNumbered: false });
    }
  }
}
