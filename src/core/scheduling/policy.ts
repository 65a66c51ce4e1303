import type { HealthLimits } from "../placement/mod.ts";

/**
 * Constants of the decisions at an entry. bench/load_sweeps.ts varies them by
 * name, and docs/DECISIONS.md has the resulting tables.
 */
export interface SchedulingPolicy {
  /**
   * Endpoints sampled at random and compared for one placement. Sampling keeps
   * several entries that act on the same stale reports from all choosing the
   * endpoint that looked best; comparing all endpoints gives worse results.
   */
  readonly choices: number;
  /**
   * Cost in milliseconds that is added to a placement in another availability
   * zone, so that traffic crosses zones only for a gain. Zones are a
   * millisecond or two apart; at the cost of a round trip between them, a zone
   * spills over as soon as its own endpoints are slower by more than that.
   */
  readonly crossZoneMilliseconds: number;
  /**
   * Occupancy relative to the pool's mean up to which a cached prefix is
   * followed. Without the bound, one document that every caller asks about
   * overloads its engine while others idle.
   */
  readonly maxAffinityOccupancy: number;
  /** Prefixes remembered at one entry; bounds the index to a few megabytes. */
  readonly maxPrefixes: number;
  /**
   * Share of an endpoint's limit that requests of all classes but the most
   * urgent may hold, so that an urgent request finds a free slot. 1 is enough
   * where a side makes bulk work yield to urgent work. Lower it for engines
   * whose streams can't be resumed.
   */
  readonly lessUrgentShare: number;
  /**
   * Half-life, in milliseconds, of the load that a report attributes to other
   * entries. Reports can be seconds old; without the decay, an endpoint that
   * was full once is avoided until its next report. The value is two report
   * periods.
   */
  readonly reportHalfLifeMilliseconds: number;
  /**
   * Requests sent to an endpoint beyond its known free slots, to wait in the
   * side's short queue. Without them, when calls are as short as the reports
   * are old, a freed slot stays idle until the next report. Bounded by what the
   * side's queue accepts from all entries together.
   */
  readonly extraPlaces: number;
  /**
   * Share of the service reserved for a class whose rule names none, so that
   * urgent work that alone fills the fleet can't starve it. It is small enough
   * not to delay urgent work.
   */
  readonly defaultShare: number;
  /**
   * Weight of the engine time that a placement uses against its predicted
   * finish. With short alerts and long summaries on engines in several roles, a
   * request would otherwise take ten times the engine time to finish a moment
   * earlier. At 0 the earliest finish alone decides.
   */
  readonly engineCostWeight: number;
  /**
   * Prefill backlog of an endpoint, in milliseconds, above which it gets no
   * more work of the less urgent classes. Work that waits inside an engine
   * can't be reordered, placed elsewhere or refused any more. Half of the
   * shortest deadline, so that what waits there can still finish on time.
   */
  readonly mostPrefillWaitMilliseconds: number;
  /**
   * Whether classes are routed to roles by the pool's routing plan. It keeps
   * long prompts off engines in the decode role, whose slots they would hold
   * while the prompt is processed.
   */
  readonly dividesByRole: boolean;
  /**
   * Whether a class that the pool can't serve completely is admitted only up to
   * its servable share.
   */
  readonly thinsClasses: boolean;
  /**
   * Fraction of the time left before the deadline that the expected wait has to
   * exceed before a class is thinned. It avoids refusing work for a shortage
   * that ends before the deadline.
   */
  readonly thinningWaitShare: number;
  /**
   * Whether waits are predicted from the measured drain rate of the queue
   * (true) or from the number of slots (false).
   */
  readonly learnsDrain: boolean;
  /**
   * Mean deviations of the prediction error that are added for the most urgent
   * class. None by default, since a refused alert is as lost as a late one and
   * costs more trust.
   */
  readonly urgentDeviations: number;
  /**
   * The same for the other classes. Above 0, since a late answer has used
   * engine time that another answer could have used, and a refused one has not.
   */
  readonly otherDeviations: number;
  /**
   * Share of a pool's endpoints that may be ejected at the same time. With a
   * fault that all endpoints share, ejection would otherwise remove one after
   * the other until none is left. A third covers one zone of three.
   */
  readonly maxEjectedShare: number;
  readonly health: HealthLimits;
  /**
   * Endpoints of a pool that one entry uses. With 12,000 replicas behind 410
   * entries, 24 keep the cost of a decision at that of a small fleet, and each
   * replica is in 24 × 410 / 12,000 = 0.8 subsets on average. Raise it where
   * there are fewer entries.
   */
  readonly maxEndpoints: number;
  /**
   * Share of them in the entry's own availability zone; the rest is for
   * spillover.
   */
  readonly ownZoneShare: number;
}

/** Baseline policy for the comparisons of the load bench. */
export const BASELINE_POLICY: SchedulingPolicy = {
  choices: 3,
  crossZoneMilliseconds: 4,
  maxAffinityOccupancy: 1.25,
  maxPrefixes: 20_000,
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
  maxEjectedShare: 0.34,
  health: {
    maxFailureShare: 0.4,
    minAttempts: 8,
    maxSlowness: 3,
    initialEjectionMilliseconds: 2_000,
    maxEjectionMilliseconds: 60_000,
  },
  maxEndpoints: 24,
  ownZoneShare: 0.67,
};

/** Default policy; docs/DECISIONS.md has the sweeps behind its values. */
export const DEFAULT_POLICY: SchedulingPolicy = {
  ...BASELINE_POLICY,
  choices: 8,
  lessUrgentShare: 1,
  extraPlaces: 1,
  engineCostWeight: 2,
  mostPrefillWaitMilliseconds: 3_000,
  dividesByRole: true,
  thinsClasses: true,
  learnsDrain: true,
};
