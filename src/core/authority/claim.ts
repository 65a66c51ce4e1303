import type { ClaimRecord } from "../../generated/log_records.ts";

/** The claim in force on a stream. */
export interface Claim {
  /** Offset of the claim's record: the fencing number of what stands under it. */
  readonly offset: number;
  /** Who holds it; empty where the last holder has handed it over. */
  readonly holder: string;
}

/** Holder of a claim that has been given up on a planned stop. */
export const NO_HOLDER = "";

/**
 * The claim in force after one more claim record. Valid only if it replaces the
 * claim in force: of several claimants the first on the log wins, and
 * the others' records and every late repeat have no effect. Without this a
 * process that lost its authority could take it back with an old record.
 */
export function nextClaim(
  current: Claim | undefined,
  options: { offset: number; record: ClaimRecord; unchecked?: boolean },
): Claim | undefined {
  const replaced = current?.offset ?? -1;
  const isFitting = options.record.replaces === replaced;
  if (!isFitting && options.unchecked !== true) return current;
  return { offset: options.offset, holder: options.record.holder };
}

/** Reads a claim from a saved state. */
export function loadClaim(state: unknown): Claim | undefined {
  if (typeof state !== "object" || state === null) return undefined;
  const { offset, holder } = state as Record<string, unknown>;
  if (typeof offset !== "number" || typeof holder !== "string") {
    return undefined;
  }
  return { offset, holder };
}
