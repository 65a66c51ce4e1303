import type { ClaimRecord } from "../../generated/log_records.ts";

/** The claim in force on a stream. */
export interface Claim {
  /**
   * Offset of the claim's record: the fencing token of the records made under
   * it.
   */
  readonly offset: number;
  /** Name of the holder; empty if the last holder has released it. */
  readonly holder: string;
}

/** Holder name of a claim that was released on a planned stop. */
export const NO_HOLDER = "";

/**
 * The claim in force after one more claim record. A record is valid only if it
 * replaces the claim in force: of several claimants the first on the log wins,
 * and the others' records and every late repeat have no effect. Otherwise a
 * process that lost the claim could take it back with an old record.
 */
export function nextClaim(
  current: Claim | undefined,
  options: { offset: number; record: ClaimRecord; unchecked?: boolean },
): Claim | undefined {
  const replaced = current?.offset ?? -1;
  const replacesCurrent = options.record.replaces === replaced;
  if (!replacesCurrent && options.unchecked !== true) return current;
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
