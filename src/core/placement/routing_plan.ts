import type { EngineCharacteristics } from "../../generated/inventory.ts";
import {
  allocateWork,
  type ClassDemand,
  type Role,
  type RoleCounts,
  type RoleProfiles,
  ROLES,
} from "../roles/mod.ts";

/** Share of a class's requests below which a role is not used for it. */
const MIN_SHARE = 0.02;
/**
 * Utilisation below which every role takes every class, so that no request
 * waits for its planned role while others idle. At half of the rates, a wrong
 * role costs time but takes no slot from other work.
 */
const LOW_UTILISATION = 0.5;
/** Decay of older placements: about the last fifty count. */
const PLACEMENT_DECAY = 0.98;
const MIN_RATE = 1e-6;
/** Placements by which a role may exceed its share. */
const MAX_EXCESS_PLACEMENTS = 1;
/** Share of the rated rates that the plan uses. */
const USABLE_SHARE = 0.95;

export interface RoutingOptions {
  readonly engine: EngineCharacteristics;
  readonly profiles: RoleProfiles;
}

/**
 * Allocation of the classes of work to the roles. If each request took the role
 * that suits it best at the moment, long prompts would fill the engines that
 * long outputs need, and both kinds would run half empty. The allocation
 * follows the entry's own demand and the roles in force; a new plan is made
 * every second.
 */
export class RoutingPlan {
  readonly #shares = new Map<string, readonly number[]>();
  /** Share of each class's arrivals that the pool can serve. */
  readonly #servedShares = new Map<string, number>();
  readonly #placements = new Map<string, number[]>();
  readonly #isLightlyLoaded: boolean;

  constructor(
    demand: readonly ClassDemand[],
    counts: RoleCounts,
    options: RoutingOptions,
  ) {
    const allocation = allocateWork(demand, counts, {
      ...options,
      usableShare: USABLE_SHARE,
    });
    this.#isLightlyLoaded = allocation.utilisation < LOW_UTILISATION;
    for (const [index, one] of demand.entries()) {
      const total = allocation.rates[index].reduce(
        (sum, rate) => sum + rate,
        0,
      );
      this.#servedShares.set(
        one.className,
        Math.min(1, total / Math.max(MIN_RATE, one.arrivalsPerSecond)),
      );
      const shares = allocation.rates[index].map((rate) => rate / total);
      this.#shares.set(one.className, total > 0 ? shares : []);
    }
  }

  /** Share of the class that the role should take; 0 if none. */
  share(className: string, role: Role): number {
    const shares = this.#shares.get(className);
    if (this.#isLightlyLoaded || shares === undefined) return 1;
    const share = shares[ROLES.indexOf(role)] ?? 0;
    return share < MIN_SHARE ? 0 : share;
  }

  /** Share of the class's arrivals that fits alongside all other work. */
  servedShare(className: string): number {
    return this.#servedShares.get(className) ?? 1;
  }

  /** Records a placement; older ones decay. */
  addPlacement(className: string, role: Role): void {
    const existing = this.#placements.get(className);
    const counts = existing ?? ROLES.map(() => 0);
    if (existing === undefined) this.#placements.set(className, counts);
    for (let roleIndex = 0; roleIndex < counts.length; roleIndex++) {
      counts[roleIndex] *= PLACEMENT_DECAY;
    }
    counts[ROLES.indexOf(role)] += 1;
  }

  /**
   * Whether the role exceeds its share of the class, so that a waiting request
   * should wait for another role. Without it, when one role is full, its part
   * of the long prompts spills to engines whose prompt rate the plan has
   * already used up, and stays there.
   */
  exceedsShare(className: string, role: Role): boolean {
    const counts = this.#placements.get(className);
    if (this.#isLightlyLoaded || counts === undefined) return false;
    const total = counts.reduce((sum, count) => sum + count, 0);
    const fairCount = this.share(className, role) * total;
    return counts[ROLES.indexOf(role)] > fairCount + MAX_EXCESS_PLACEMENTS;
  }

  /** Continues with the placements recorded by the previous plan. */
  inheritPlacements(previous: RoutingPlan | undefined): void {
    if (previous === undefined) return;
    for (const [className, counts] of previous.#placements) {
      this.#placements.set(className, counts);
    }
  }

  /** Whether any role has capacity for the class. */
  serves(className: string): boolean {
    const shares = this.#shares.get(className);
    return this.#isLightlyLoaded || shares === undefined || shares.length > 0;
  }
}
