import { PROOF_STREAMS } from "../../src/core/forwarding/mod.ts";
import type { ForwardingDependencies } from "../../src/entry/forwarding/mod.ts";

/**
 * Streams behind a proof from which an entry knows that a version counts its
 * events otherwise.
 */
export const KNOWN_STREAMS = 32;

/** Lets an entry know that all registered versions number their events. */
export function learnNumbering(
  { eventNumbering, registry }: Pick<
    ForwardingDependencies,
    "eventNumbering" | "registry"
  >,
): void {
  for (let stream = 0; stream < PROOF_STREAMS; stream++) {
    for (const endpoint of registry.all) {
      eventNumbering.record(endpoint, { isNumbered: true });
    }
  }
}

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
