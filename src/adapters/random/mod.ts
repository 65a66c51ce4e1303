/** Randomness and hashes of the machine; tests use seeded ones. */
import { createHash, randomBytes, randomInt } from "node:crypto";
import type { Incarnation } from "../../core/identity/mod.ts";
import { identifier } from "../../core/identity/mod.ts";

const RANDOM_RANGE = 2 ** 47;
const INCARNATION_BYTES = 6;
const HASH_CHARACTERS = 22;

/** A number in [0, 1) from the machine's own source. */
export function systemRandom(): number {
  return randomInt(RANDOM_RANGE) / RANDOM_RANGE;
}

/** A name for this run of a process that no other run has. */
export function newIncarnation(): Incarnation {
  return identifier(randomBytes(INCARNATION_BYTES).toString("hex"));
}

/** 132 bits of SHA-256 as text: two requests never share a fingerprint. */
export function hashText(text: string): string {
  return createHash("sha256").update(text).digest("base64url")
    .slice(0, HASH_CHARACTERS);
}
