/** Randomness and hashes of the machine; tests use seeded ones. */
import { createHash, randomInt } from "node:crypto";
import { v7 as uuidv7 } from "uuid";
import type { Incarnation } from "../../core/identity/mod.ts";
import { identifier } from "../../core/identity/mod.ts";

const RANDOM_RANGE = 2 ** 47;
const HASH_CHARACTERS = 22;

/** A number in [0, 1) from the machine's own source. */
export function systemRandom(): number {
  return randomInt(RANDOM_RANGE) / RANDOM_RANGE;
}

/**
 * A name for this run of a process that no other run has. Names of later runs
 * sort behind those of earlier ones, as far as the machine's clock goes on: so
 * a late report of an earlier run is told from one of the present run.
 */
export function newIncarnation(): Incarnation {
  return identifier(uuidv7());
}

/** 132 bits of SHA-256 as text: two requests never share a fingerprint. */
export function hashText(text: string): string {
  return createHash("sha256").update(text).digest("base64url")
    .slice(0, HASH_CHARACTERS);
}
