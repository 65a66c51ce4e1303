import type { EngineCharacteristics } from "../../generated/inventory.ts";
import {
  type ClassDemand,
  divideWork,
  type Role,
  type RoleCounts,
  type RoleProfiles,
  ROLES,
} from "../roles/mod.ts";

/** Share of a class's requests below which a role is not used for it. */
const LEAST_SHARE = 0.02;
/**
 * Utilisation below which every role takes every class. Load: a quiet hour.
 * Harm prevented: a request that waits for the planned role while others idle.
 * Limit: half of the rates, where a wrong role costs time but no one's place.
 */
const QUIET_UTILISATION = 0.5;
/** Weight of the older placements: about the last fifty count. */
const PLACED_DECAY = 0.98;
const TINY_RATE = 1e-6;
/** Placements by which a role may be ahead of its share. */
const SLACK_PLACEMENTS = 1;
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
  readonly #served = new Map<string, number>();
  readonly #placed = new Map<string, number[]>();
  readonly #quiet: boolean;

  constructor(
    demand: readonly ClassDemand[],
    counts: RoleCounts,
    options: RoutingOptions,
  ) {
    const division = divideWork(demand, counts, {
      ...options,
      usableShare: USABLE_SHARE,
    });
    this.#quiet = division.utilisation < QUIET_UTILISATION;
    for (const [index, one] of demand.entries()) {
      const total = division.rates[index].reduce((sum, rate) => sum + rate, 0);
      this.#served.set(
        one.className,
        Math.min(1, total / Math.max(TINY_RATE, one.arrivalsPerSecond)),
      );
      const shares = division.rates[index].map((rate) => rate / total);
      this.#shares.set(one.className, total > 0 ? shares : []);
    }
  }

  /** Share of the class that the role should take; 0 where it takes none. */
  share(className: string, role: Role): number {
    const shares = this.#shares.get(className);
    if (this.#quiet || shares === undefined) return 1;
    const share = shares[ROLES.indexOf(role)] ?? 0;
    return share < LEAST_SHARE ? 0 : share;
  }

  /** Share of the class's arrivals that fits beside all other work. */
  servedShare(className: string): number {
    return this.#served.get(className) ?? 1;
  }

  /** Notes a placement; older ones count less and less. */
  placed(className: string, role: Role): void {
    const known = this.#placed.get(className);
    const counts = known ?? ROLES.map(() => 0);
    if (known === undefined) this.#placed.set(className, counts);
    for (let place = 0; place < counts.length; place++) {
      counts[place] *= PLACED_DECAY;
    }
    counts[ROLES.indexOf(role)] += 1;
  }

  /**
   * True where the role has had its share of the class and more, so that what
   * waits should wait for another role. Load: one role is full. Harm
   * prevented: its part of the long prompts spills to the engines whose
   * prompt rate the plan has already used up, and stays there.
   */
  hasHadEnough(className: string, role: Role): boolean {
    const counts = this.#placed.get(className);
    if (this.#quiet || counts === undefined) return false;
    const total = counts.reduce((sum, count) => sum + count, 0);
    const fair = this.share(className, role) * total;
    return counts[ROLES.indexOf(role)] > fair + SLACK_PLACEMENTS;
  }

  /** The next plan goes on with what has been placed. */
  continueFrom(previous: RoutingPlan | undefined): void {
    if (previous === undefined) return;
    for (const [className, counts] of previous.#placed) {
      this.#placed.set(className, counts);
    }
  }

  /** False: no role has anything left for the class. */
  serves(className: string): boolean {
    const shares = this.#shares.get(className);
    return this.#quiet || shares === undefined || shares.length > 0;
  }
}
