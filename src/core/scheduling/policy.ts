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
  /**
   * Requests sent to an endpoint beyond the places that the picture shows, to
   * wait in the side's short queue. Load: calls as short as the reports are
   * old. Harm prevented: a place that has become free stays empty until the
   * next report. Limit: what the side's queue takes from all entries together.
   */
  readonly extraPlaces: number;
  /** Share of the service kept for a class whose rule names none. */
  readonly defaultShare: number;
  /**
   * Weight of the engine time that a placement takes against the finish that
   * it gives. Load: short alerts and long summaries over engines in several
   * roles. Harm prevented: long prompts on engines in the decode role, whose
   * slots they hold while they wait. 0: the earliest finish alone decides.
   */
  readonly engineCostWeight: number;
  /**
   * Prompts waiting at an endpoint above which it gets no more of the less
   * urgent classes. Harm prevented: work that waits in an engine can't be
   * reordered, placed elsewhere or refused any more.
   */
  readonly mostPrefillWaitMilliseconds: number;
  /** True: classes go to the roles that the pool's division gives them. */
  readonly dividesByRole: boolean;
  /** True: a class that the pool can't serve whole is let in by its share. */
  readonly thinsClasses: boolean;
  /**
   * Part of the time left that a wait has to take before a class is thinned.
   * Harm prevented: work refused for a shortage that its deadline outlasts.
   */
  readonly thinningWaitShare: number;
  /** True: waits are predicted from the measured drain of the queue. */
  readonly learnsDrain: boolean;
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
  extraPlaces: 0,
  defaultShare: 0.03,
  engineCostWeight: 0,
  mostPrefillWaitMilliseconds: Infinity,
  dividesByRole: false,
  thinsClasses: false,
  thinningWaitShare: 0,
  learnsDrain: false,
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

/** The policy in use; its values come from the sweeps in docs/DECISIONS.md. */
export const DEFAULT_POLICY: SchedulingPolicy = {
  ...FIRST_POLICY,
  choices: 8,
  lessUrgentShare: 1,
  extraPlaces: 1,
  engineCostWeight: 2,
  mostPrefillWaitMilliseconds: 3_000,
  dividesByRole: true,
  thinsClasses: true,
  thinningWaitShare: 0,
  learnsDrain: true,
};
