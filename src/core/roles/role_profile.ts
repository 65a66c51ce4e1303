import type { EngineCharacteristics } from "../../generated/inventory.ts";

export type Role = "mixed" | "prefill" | "decode";
export const ROLES: readonly Role[] = ["mixed", "prefill", "decode"];

/** Shares of an engine's rated figures that remain in a role. */
export interface RoleProfile {
  /** Share of the rated prefill rate. */
  readonly prefillShare: number;
  /** Share of the rated slots. */
  readonly slotShare: number;
  /**
   * Factor on the rated time between tokens, with all of the role's slots in
   * use and no prompt being processed.
   */
  readonly decodeFactor: number;
  /** Share of the output rate that is lost while prompts are processed. */
  readonly promptDrag: number;
}

/**
 * A role determines how an engine divides its steps and its memory between
 * prompts and outputs; every role runs complete requests. These are initial
 * values: placement uses the reported time between tokens, limit and backlog as
 * soon as an engine has reported them.
 */
export const ROLE_PROFILES: Readonly<Record<Role, RoleProfile>> = {
  prefill: {
    prefillShare: 1,
    slotShare: 0.3,
    decodeFactor: 0.72,
    promptDrag: 0.33,
  },
  mixed: {
    prefillShare: 0.55,
    slotShare: 0.6,
    decodeFactor: 0.84,
    promptDrag: 0.2,
  },
  decode: {
    prefillShare: 0.15,
    slotShare: 1,
    decodeFactor: 1,
    promptDrag: 0.05,
  },
};

/** Rates of one engine in one role. */
export interface RoleRates {
  readonly prefillTokensPerSecond: number;
  /** While no prompt is processed. */
  readonly outputTokensPerSecond: number;
  readonly promptDrag: number;
  readonly slots: number;
  readonly millisecondsBetweenTokens: number;
}

export type RoleProfiles = Readonly<Record<Role, RoleProfile>>;

/** Requests that an engine with the given slots runs concurrently in a role. */
export function roleSlots(slots: number, role: Role): number {
  return Math.max(1, Math.round(slots * ROLE_PROFILES[role].slotShare));
}

/** Rates of an engine in a role, from the rated figures in the inventory. */
export function roleRates(
  engine: EngineCharacteristics,
  profile: RoleProfile,
): RoleRates {
  const slots = Math.max(1, Math.round(engine.slots * profile.slotShare));
  const millisecondsBetweenTokens = engine.millisecondsBetweenTokens *
    profile.decodeFactor;
  return {
    prefillTokensPerSecond: engine.prefillTokensPerSecond *
      profile.prefillShare,
    outputTokensPerSecond: slots * 1_000 / millisecondsBetweenTokens,
    promptDrag: profile.promptDrag,
    slots,
    millisecondsBetweenTokens,
  };
}
