/** System randomness and hashing; tests use seeded versions. */
import { createHash, randomInt } from "node:crypto";
import { v7 as uuidv7 } from "uuid";
import type { Incarnation } from "../../core/identity/mod.ts";
import { identifier } from "../../core/identity/mod.ts";

const RANDOM_RANGE = 2 ** 47;
const HASH_CHARACTERS = 22;

/** Returns a number in [0, 1) from the system's cryptographic generator. */
export function systemRandom(): number {
  return randomInt(RANDOM_RANGE) / RANDOM_RANGE;
}

/**
 * Creates a unique id for one run of a process. Ids of later runs sort after
 * those of earlier runs as long as the system clock does not go back, so a late
 * report of an earlier run can be distinguished from one of the current run.
 */
export function newIncarnation(): Incarnation {
  return identifier(uuidv7());
}

/**
 * Returns 132 bits of the SHA-256 hash as base64url; collisions are negligible.
 */
export function hashText(text: string): string {
  return createHash("sha256").update(text).digest("base64url")
    .slice(0, HASH_CHARACTERS);
}
