import { type Placer, RoutingPlan } from "../placement/mod.ts";
import { ROLE_PROFILES } from "../roles/mod.ts";
import type { EngineCharacteristics } from "../../generated/inventory.ts";
import type { ClassArrivals } from "./scheduler.ts";

/**
 * Interval at which the classes are allocated to the roles again. The demand
 * window moves by a second, and the linear program takes well under a
 * millisecond.
 */
const ALLOCATION_INTERVAL_MILLISECONDS = 1_000;
/**
 * Value of an urgent answer relative to others in the allocation: no number of
 * bulk answers that fits into the capacity of the urgent work outweighs it.
 */
const URGENT_ANSWER_VALUE = 10;

export interface RoleAllocationInput {
  readonly now: number;
  readonly engine: EngineCharacteristics;
  readonly classes: readonly ClassArrivals[];
  /** Entries that see the same demand as this one, this one included. */
  readonly entriesSharing: number;
  readonly mostUrgent: string;
}

/** Recomputes the routing plan of a placer; due at most once a second. */
export class RoleAllocator {
  #allocatedAt = -Infinity;

  isDue(now: number): boolean {
    return now - this.#allocatedAt >= ALLOCATION_INTERVAL_MILLISECONDS;
  }

  allocate(placer: Placer, input: RoleAllocationInput): void {
    this.#allocatedAt = input.now;
    const demand = input.classes.map((one) => ({
      ...one,
      arrivalsPerSecond: one.arrivalsPerSecond * input.entriesSharing,
      value: one.className === input.mostUrgent ? URGENT_ANSWER_VALUE : 1,
    }));
    const plan = new RoutingPlan(demand, placer.usableCounts(input.now), {
      engine: input.engine,
      profiles: ROLE_PROFILES,
    });
    placer.setPlan(plan);
  }
}
