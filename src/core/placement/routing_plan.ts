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
 * Utilisation below which every role takes every class. Load: a quiet hour.
 * Harm prevented: a request that waits for the planned role while others idle.
 * Limit: half of the rates, where a wrong role costs time but no one's place.
 */
const LOW_UTILISATION = 0.5;
/** Weight of the older placements: about the last fifty count. */
const PLACEMENT_DECAY = 0.98;
const MIN_RATE = 1e-6;
/** Placements by which a role may be ahead of its share. */
const MAX_EXCESS_PLACEMENTS = 1;
/** Share of the rated rates that the plan uses. */
const USABLE_SHARE = 0.95;

export interface RoutingOptions {
  readonly engine: EngineCharacteristics;
  readonly profiles: RoleProfiles;
}

/**
 * Which roles serve which class of work. Load: long prompts and long outputs
 * over engines in several roles. Harm prevented: each request takes the role
 * that suits itself at the moment, the long prompts fill the engines that the
 * long outputs need, and both run half empty. The division comes from the
 * entry's own demand and the roles in force, anew every second.
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

  /** Share of the class that the role should take; 0 where it takes none. */
  share(className: string, role: Role): number {
    const shares = this.#shares.get(className);
    if (this.#isLightlyLoaded || shares === undefined) return 1;
    const share = shares[ROLES.indexOf(role)] ?? 0;
    return share < MIN_SHARE ? 0 : share;
  }

  /** Share of the class's arrivals that fits beside all other work. */
  servedShare(className: string): number {
    return this.#servedShares.get(className) ?? 1;
  }

  /** Notes a placement; older ones count less and less. */
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
   * True where the role has had its share of the class and more, so that what
   * waits should wait for another role. Load: one role is full. Harm
   * prevented: its part of the long prompts spills to the engines whose
   * prompt rate the plan has already used up, and stays there.
   */
  exceedsShare(className: string, role: Role): boolean {
    const counts = this.#placements.get(className);
    if (this.#isLightlyLoaded || counts === undefined) return false;
    const total = counts.reduce((sum, count) => sum + count, 0);
    const fairCount = this.share(className, role) * total;
    return counts[ROLES.indexOf(role)] > fairCount + MAX_EXCESS_PLACEMENTS;
  }

  /** The next plan goes on with what has been placed. */
  inheritPlacements(previous: RoutingPlan | undefined): void {
    if (previous === undefined) return;
    for (const [className, counts] of previous.#placements) {
      this.#placements.set(className, counts);
    }
  }

  /** False: no role has anything left for the class. */
  serves(className: string): boolean {
    const shares = this.#shares.get(className);
    return this.#isLightlyLoaded || shares === undefined || shares.length > 0;
  }
}
