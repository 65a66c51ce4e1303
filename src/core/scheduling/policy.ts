import type { HealthLimits } from "../placement/mod.ts";

/**
 * Every constant of the decisions at an entry that a sweep can change. The
 * sweeps are in bench/load_sweeps.ts, their tables in docs/DECISIONS.md.
 */
export interface SchedulingPolicy {
  /**
   * Endpoints drawn at random and compared for one placement. Load: several
   * entries with the same late reports. Harm prevented: all of them choose the
   * one endpoint that looked best. Limit: eight of at most 24; two serve as well
   * within the noise, all of them worse.
   */
  readonly choices: number;
  /**
   * Time that a placement in another availability zone is held to cost. Load:
   * zones a millisecond or two apart. Harm prevented: traffic between zones
   * for no gain. Limit: a round trip between zones, so that a zone spills as
   * soon as its own endpoints are slower by more than that.
   */
  readonly otherZoneMilliseconds: number;
  /**
   * Load above the pool's mean up to which a cached prefix is followed. Load:
   * one document that everybody asks about. Harm prevented: its engine is
   * overrun while others idle. Limit: a quarter above the mean.
   */
  readonly mostAffinityLoad: number;
  /** Prefixes remembered at one entry; bounds its memory to a few megabytes. */
  readonly mostPrefixes: number;
  /**
   * Share of an endpoint's limit that all but the most urgent class may hold.
   * Harm prevented: an urgent request finds every place taken. Limit: 1, since
   * a side has bulk yield to urgent work; 0.7 and 0.85 are within the noise of
   * the sweep. Lower it for engines whose streams can't be resumed.
   */
  readonly lessUrgentShare: number;
  /**
   * Time in which half of a report's foreign load is taken to be gone. Load:
   * reports up to seconds old. Harm prevented: an endpoint that was full once
   * is avoided until its next report. Limit: two report periods.
   */
  readonly reportHalfLifeMilliseconds: number;
  /**
   * Requests sent to an endpoint beyond the places that the picture shows, to
   * wait in the side's short queue. Load: calls as short as the reports are
   * old. Harm prevented: a place that has become free stays empty until the
   * next report. Limit: what the side's queue takes from all entries together.
   */
  readonly extraPlaces: number;
  /**
   * Share of the service kept for a class whose rule names none. Load: urgent
   * work that alone fills the fleet. Harm prevented: a class without a share
   * waits for ever. Limit: 3 in 100, too little to delay urgent work.
   */
  readonly defaultShare: number;
  /**
   * Weight of the engine time that a placement takes against the finish that
   * it gives. Load: short alerts and long summaries over engines in several
   * roles. Harm prevented: a request in a hurry takes ten times the engine
   * time to gain a moment. 0: the earliest finish alone decides.
   */
  readonly engineCostWeight: number;
  /**
   * Prompts waiting at an endpoint above which it gets no more of the less
   * urgent classes. Harm prevented: work that waits in an engine can't be
   * reordered, placed elsewhere or refused any more. Limit: half of the
   * shortest deadline, so that what waits there can still be in time.
   */
  readonly mostPrefillWaitMilliseconds: number;
  /**
   * True: classes go to the roles that the pool's division gives them. Harm
   * prevented: long prompts on engines in the decode role, whose slots they
   * hold while their prompt is read.
   */
  readonly dividesByRole: boolean;
  /** True: a class that the pool can't serve whole is let in by its share. */
  readonly thinsClasses: boolean;
  /**
   * Part of the time left that a wait has to take before a class is thinned.
   * Harm prevented: work refused for a shortage that its deadline outlasts.
   */
  readonly thinningWaitShare: number;
  /**
   * True: waits are predicted from the measured drain of the queue, false:
   * from the number of places.
   */
  readonly learnsDrain: boolean;
  /**
   * Deviations of the prediction's error added for the most urgent class.
   * Limit: 0; a refused alert is as lost as a late one, and costs more trust.
   */
  readonly urgentDeviations: number;
  /**
   * The same for the other classes. Limit: 1; a late answer has cost engine
   * time that another answer could have used, a refused one has not. 0 and 2
   * are within the noise of the sweep.
   */
  readonly otherDeviations: number;
  /**
   * Share of a pool's endpoints that may be ejected at once. Load: a fault
   * that all endpoints show alike. Harm prevented: ejection one after the
   * other until none is left. Limit: a third, a zone of three.
   */
  readonly mostEjectedShare: number;
  readonly health: HealthLimits;
  /**
   * Endpoints of a pool that one entry uses. Load: 12,000 replicas behind 410
   * nodes. Limit: 24 keep a decision at the cost of a small fleet, and give
   * each replica to about 24 × 410 / 12,000, four fifths, of an entry: raise
   * it where the entries are fewer.
   */
  readonly mostEndpoints: number;
  /** Share of those in the entry's own availability zone; the rest is spill. */
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
  learnsDrain: true,
};
