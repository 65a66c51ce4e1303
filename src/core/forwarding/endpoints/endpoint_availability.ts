import type { EndpointId } from "../../identity/mod.ts";
import { EndpointHealth, type HealthLimits } from "../../placement/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { FleetVerdicts } from "./fleet_verdicts.ts";

/**
 * Limits of the ejection by outcomes. A replica may fail some of its requests
 * while its health check passes. Healthy replicas fail some requests too, so
 * the maximum share is well above theirs.
 */
const HEALTH_LIMITS: HealthLimits = {
  maxFailureShare: 0.3,
  minAttempts: 8,
  maxSlowness: 4,
  initialEjectionMilliseconds: 1_000,
  maxEjectionMilliseconds: 8_000,
};
/**
 * Number of successive refused connections after which an endpoint is
 * unreachable, and the interval at which one request may probe it. Without the
 * interval, every request tries each endpoint of a pool that has crashed.
 */
const REFUSALS_UNTIL_UNREACHABLE = 2;
const PROBE_INTERVAL_MILLISECONDS = 200;
/**
 * Silence with open attempts after which an endpoint gets no new work; its
 * machine may have failed without closing connections.
 */
const RESPONSE_TIMEOUT_MILLISECONDS = 600;
/** Maximum share of a pool that may be ejected at a time. */
const MAX_EJECTED_SHARE = 0.5;
/**
 * Number of successive rejections after which an endpoint is skipped. The delay
 * doubles with each further rejection; otherwise every request tries the
 * endpoint first and uses up a retry of the whole fleet.
 */
const REJECTIONS_UNTIL_SKIPPED = 2;
const INITIAL_SKIP_MILLISECONDS = 250;
const MAX_SKIP_MILLISECONDS = 2_000;
/**
 * Longest overload that an endpoint can announce at once: a figure that is too
 * large would take it out for good.
 */
const MAX_OVERLOAD_MILLISECONDS = 10_000;

/** Neutral times, as attempts are not judged by their speed here. */
const NEUTRAL_TIMES = { ratioToPredicted: 1, ratioToRated: 1 };

interface EndpointState {
  readonly health: EndpointHealth;
  /** Number of successive refused connections. */
  refusals: number;
  /** Earliest time at which a request may probe an unreachable endpoint. */
  nextProbeAt: number;
  /** Number of successive rejected requests. */
  rejections: number;
  skippedUntil: number;
  openAttempts: number;
  /** Last response, or the start of the first open attempt if that is later. */
  silentSince: number;
}

/** The fleet's judgement of endpoints, for pools that use it. */
export interface FleetJudgement {
  readonly verdicts: FleetVerdicts;
  /**
   * True if an owner that was heard recently judges the endpoint for all
   * entries.
   */
  readonly isJudged: (endpoint: EndpointId) => boolean;
}

/**
 * Tracks the outcomes of attempts, and skips endpoints that fail, refuse
 * connections, reject requests or do not respond. Failures of an endpoint that
 * the fleet judges are left to its verdicts.
 */
export class EndpointAvailability {
  readonly #timer: TimerService;
  readonly #fleet: FleetJudgement | undefined;
  readonly #states = new Map<EndpointId, EndpointState>();
  /**
   * Time until which an endpoint accepts no requests, as announced by itself.
   */
  readonly #overloadedUntil = new Map<EndpointId, number>();

  /** Without the fleet's judgement, this entry judges by itself. */
  constructor(timer: TimerService, fleet?: FleetJudgement) {
    this.#timer = timer;
    this.#fleet = fleet;
  }

  /**
   * Returns the healthy endpoints, or all reachable ones if too few are
   * healthy.
   */
  filterHealthy<Endpoint extends { readonly id: EndpointId }>(
    all: readonly Endpoint[],
  ): readonly Endpoint[] {
    const endpoints = this.#fleet?.verdicts.filterAdmitted(all) ?? all;
    // Most endpoints of a large pool have received no request from this entry.
    const isAnyKnown = endpoints.some(({ id }) => this.#states.has(id));
    if (!isAnyKnown) return endpoints;
    const reachable = endpoints.filter(({ id }) => !this.#isUnreachable(id));
    const accepting = reachable.filter(({ id }) => !this.#isSkipped(id));
    const candidates = accepting.length > 0 ? accepting : reachable;
    const healthy = candidates.filter((endpoint) =>
      this.#isHealthy(endpoint.id)
    );
    const minimum = candidates.length * (1 - MAX_EJECTED_SHARE);
    return healthy.length >= minimum ? healthy : candidates;
  }

  /** Returns the endpoints that are not skipped because of rejections. */
  filterAccepting<Endpoint extends { readonly id: EndpointId }>(
    endpoints: readonly Endpoint[],
  ): readonly Endpoint[] {
    return endpoints.filter(({ id }) => !this.#isSkipped(id));
  }

  started(id: EndpointId): void {
    const state = this.#stateOf(id);
    if (state.openAttempts === 0) state.silentSince = this.#timer.now();
    state.openAttempts += 1;
    state.nextProbeAt = this.#timer.now() + PROBE_INTERVAL_MILLISECONDS;
    if (state.health.mayProbe(this.#timer.now())) {
      state.health.recordProbeStart();
    }
  }

  /** Records a response from the endpoint. */
  recordResponse(id: EndpointId): void {
    const state = this.#stateOf(id);
    state.silentSince = this.#timer.now();
    state.refusals = 0;
  }

  /** Records the end of an attempt, whatever its outcome. */
  ended(id: EndpointId): void {
    const state = this.#stateOf(id);
    state.openAttempts = Math.max(0, state.openAttempts - 1);
  }

  recordSuccess(id: EndpointId): void {
    this.#stateOf(id).rejections = 0;
    this.#stateOf(id).health.recordSuccess(NEUTRAL_TIMES, this.#timer.now());
  }

  failed(id: EndpointId): void {
    const { health } = this.#stateOf(id);
    const now = this.#timer.now();
    health.recordFailure(now);
    if (health.shouldEject(1)) health.eject(now);
  }

  recordRefusedConnection(id: EndpointId): void {
    const state = this.#stateOf(id);
    state.refusals += 1;
    state.nextProbeAt = this.#timer.now() + PROBE_INTERVAL_MILLISECONDS;
  }

  /**
   * Records that another replica uses the address, or that the endpoint has
   * changed its role. Its registration shows this within seconds; until then
   * every request sent there would be rejected and count as a retry.
   */
  recordMisdirected(id: EndpointId): void {
    this.#stateOf(id).skippedUntil = this.#timer.now() + MAX_SKIP_MILLISECONDS;
  }

  /** Records that the endpoint guarantees not to have run the attempt. */
  recordRejection(id: EndpointId): void {
    const state = this.#stateOf(id);
    state.health.recordInconclusive();
    state.rejections += 1;
    const excess = state.rejections - REJECTIONS_UNTIL_SKIPPED;
    if (excess < 0) return;
    const skipMilliseconds = Math.min(
      MAX_SKIP_MILLISECONDS,
      INITIAL_SKIP_MILLISECONDS * 2 ** excess,
    );
    state.skippedUntil = this.#timer.now() + skipMilliseconds;
  }

  /**
   * Records that the endpoint accepts no requests for this time, as announced
   * by itself.
   */
  recordOverload(id: EndpointId, milliseconds: number): void {
    const state = this.#stateOf(id);
    state.health.recordInconclusive();
    state.rejections = 0;
    const until = this.#timer.now() +
      Math.min(milliseconds, MAX_OVERLOAD_MILLISECONDS);
    const before = this.#overloadedUntil.get(id) ?? -Infinity;
    this.#overloadedUntil.set(id, Math.max(before, until));
  }

  /**
   * Remaining time in which the endpoint accepts no requests, milliseconds; 0
   * if it accepts them.
   */
  remainingOverloadMilliseconds(id: EndpointId): number {
    const until = this.#overloadedUntil.get(id);
    if (until === undefined) return 0;
    const left = until - this.#timer.now();
    if (left <= 0) this.#overloadedUntil.delete(id);
    return Math.max(0, left);
  }

  /** Records an abandoned attempt, which does not count as an outcome. */
  recordAbandoned(id: EndpointId): void {
    this.#stateOf(id).health.recordInconclusive();
  }

  forget({ id }: { readonly id: EndpointId }): void {
    this.#states.delete(id);
    this.#overloadedUntil.delete(id);
  }

  #isUnreachable(id: EndpointId): boolean {
    const state = this.#states.get(id);
    return state !== undefined &&
      state.refusals >= REFUSALS_UNTIL_UNREACHABLE &&
      this.#timer.now() < state.nextProbeAt;
  }

  #isSkipped(id: EndpointId): boolean {
    const state = this.#states.get(id);
    return state !== undefined && this.#timer.now() < state.skippedUntil;
  }

  #isHealthy(id: EndpointId): boolean {
    const state = this.#states.get(id);
    if (state === undefined) return true;
    const now = this.#timer.now();
    const isSilent = state.openAttempts > 0 &&
      now - state.silentSince > RESPONSE_TIMEOUT_MILLISECONDS;
    if (isSilent) return false;
    return !state.health.ejected || state.health.mayProbe(now) ||
      this.#fleet?.isJudged(id) === true;
  }

  #stateOf(id: EndpointId): EndpointState {
    let state = this.#states.get(id);
    if (state === undefined) {
      const health = new EndpointHealth(HEALTH_LIMITS);
      state = {
        health,
        refusals: 0,
        nextProbeAt: -Infinity,
        rejections: 0,
        skippedUntil: -Infinity,
        openAttempts: 0,
        silentSince: 0,
      };
      this.#states.set(id, state);
    }
    return state;
  }
}
