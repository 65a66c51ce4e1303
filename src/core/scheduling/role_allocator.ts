import { type Placer, RoutingPlan } from "../placement/mod.ts";
import { ROLE_PROFILES } from "../roles/mod.ts";
import type { EngineCharacteristics } from "../../generated/inventory.ts";
import type { ClassArrivals } from "./scheduler.ts";

/**
 * Time after which the classes are divided among the roles anew. Limit: the
 * demand window moves by a second; the program costs well under a millisecond.
 */
const ALLOCATION_INTERVAL_MILLISECONDS = 1_000;
/**
 * Value of an urgent answer against others in the division: with all its work
 * in, no number of bulk answers that fits in its place outweighs it.
 */
const URGENT_ANSWER_VALUE = 10;

export interface RoleAllocationInput {
  readonly now: number;
  readonly engine: EngineCharacteristics;
  readonly classes: readonly ClassArrivals[];
  /** Entries that see the same demand as this one. */
  readonly sharing: number;
  readonly mostUrgent: string;
}

/** Gives the placer a new division of the classes, once a second at most. */
export class RoleAllocator {
  #allocatedAt = -Infinity;

  isDue(now: number): boolean {
    return now - this.#allocatedAt >= ALLOCATION_INTERVAL_MILLISECONDS;
  }

  allocate(placer: Placer, input: RoleAllocationInput): void {
    this.#allocatedAt = input.now;
    const demand = input.classes.map((one) => ({
      ...one,
      arrivalsPerSecond: one.arrivalsPerSecond * input.sharing,
      value: one.className === input.mostUrgent ? URGENT_ANSWER_VALUE : 1,
    }));
    const plan = new RoutingPlan(demand, placer.usableCounts(input.now), {
      engine: input.engine,
      profiles: ROLE_PROFILES,
    });
    placer.usePlan(plan);
  }
}
