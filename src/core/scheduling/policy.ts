import type { HealthLimits } from "../placement/mod.ts";

/** Every constant of the decisions at an entry that a sweep can change. */
export interface SchedulingPolicy {
  /** Endpoints drawn at random and compared for one placement. */
  readonly choices: number;
  readonly otherZoneMilliseconds: number;
  readonly mostAffinityLoad: number;
  readonly mostPrefixes: number;
  /** Share of an endpoint's limit that all but the most urgent class may hold. */
  readonly lessUrgentShare: number;
  readonly reportHalfLifeMilliseconds: number;
  /** Share of the service kept for a class whose rule names none. */
  readonly defaultShare: number;
  /** Deviations of the prediction's error added for the most urgent class. */
  readonly urgentDeviations: number;
  /** The same for the other classes. */
  readonly otherDeviations: number;
  readonly mostEjectedShare: number;
  readonly health: HealthLimits;
  readonly mostEndpoints: number;
  readonly ownZoneShare: number;
}

/** The first version that was measured; kept as a baseline of bench/load. */
export const FIRST_POLICY: SchedulingPolicy = {
  choices: 3,
  otherZoneMilliseconds: 4,
  mostAffinityLoad: 1.25,
  mostPrefixes: 20_000,
  lessUrgentShare: 0.85,
  reportHalfLifeMilliseconds: 1_000,
  defaultShare: 0.03,
  urgentDeviations: 0,
  otherDeviations: 1,
  mostEjectedShare: 0.34,
  health: {
    mostFailureShare: 0.4,
    fewestAttempts: 8,
    mostSlowness: 3,
    firstEjectionMilliseconds: 2_000,
    longestEjectionMilliseconds: 60_000,
  },
  mostEndpoints: 24,
  ownZoneShare: 0.67,
};

export const DEFAULT_POLICY: SchedulingPolicy = FIRST_POLICY;
