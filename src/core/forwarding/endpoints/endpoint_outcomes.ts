import type { EndpointId } from "../../identity/mod.ts";
import { EndpointHealth, type HealthLimits } from "../../placement/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/**
 * Limits of the ejection by outcomes. A replica may fail part of its requests
 * while its health check passes; well ones fail some of their work too, so that
 * the share is well above theirs.
 */
const LIMITS: HealthLimits = {
  mostFailureShare: 0.3,
  fewestAttempts: 8,
  mostSlowness: 4,
  firstEjectionMilliseconds: 1_000,
  longestEjectionMilliseconds: 8_000,
};
/**
 * Connections refused in a row after which an endpoint is unreachable, and how
 * often one request may probe whether it is back. Without the pause every
 * request tries each endpoint of a pool that has crashed.
 */
const REFUSALS_UNTIL_UNREACHABLE = 2;
const REACH_MILLISECONDS = 200;
/**
 * Silence with work open after which an endpoint gets no new work: its machine
 * may have gone dark.
 */
const SILENCE_MILLISECONDS = 600;
/** Share of a pool that may be passed over at a time. */
const MOST_EJECTED_SHARE = 0.5;
/**
 * Rejections in a row after which an endpoint is skipped. The wait doubles with
 * each further one; otherwise every request tries it first and uses up a retry
 * of the whole fleet.
 */
const REJECTIONS_UNTIL_CLOSED = 2;
const FIRST_CLOSED_MILLISECONDS = 250;
const LONGEST_CLOSED_MILLISECONDS = 2_000;

/** An attempt whose time says nothing of the endpoint's speed. */
const UNJUDGED_TIMES = { overExpected: 1, overRated: 1 };

interface Known {
  readonly health: EndpointHealth;
  /** Connections refused in a row. */
  refusals: number;
  /** When a request may next find out whether it takes connections. */
  reachableFrom: number;
  /** Requests turned away in a row. */
  rejections: number;
  closedUntil: number;
  open: number;
  /** Since when work is open and nothing has been heard. */
  silentSince: number;
}

/** Passes over endpoints that fail, refuse connections or say nothing. */
export class EndpointOutcomes {
  readonly #timer: TimerService;
  readonly #known = new Map<EndpointId, Known>();
  /** Until when endpoints want nothing that have said so. */
  readonly #overloadedUntil = new Map<EndpointId, number>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /**
   * Of the candidates those that look well; all that can be reached where too
   * few do.
   */
  wellAmong<Endpoint extends { readonly id: EndpointId }>(
    endpoints: readonly Endpoint[],
  ): readonly Endpoint[] {
    // Most endpoints of a large pool have never been sent anything from here.
    const isAnyKnown = endpoints.some(({ id }) => this.#known.has(id));
    if (!isAnyKnown) return endpoints;
    const reachable = endpoints.filter(({ id }) => !this.#isUnreachable(id));
    const open = reachable.filter(({ id }) => !this.#isClosed(id));
    const candidates = open.length > 0 ? open : reachable;
    const well = candidates.filter((endpoint) => this.#isWell(endpoint.id));
    const fewest = candidates.length * (1 - MOST_EJECTED_SHARE);
    return well.length >= fewest ? well : candidates;
  }

  /** Of the candidates those that don't turn away whatever is sent to them. */
  openAmong<Endpoint extends { readonly id: EndpointId }>(
    endpoints: readonly Endpoint[],
  ): readonly Endpoint[] {
    return endpoints.filter(({ id }) => !this.#isClosed(id));
  }

  started(id: EndpointId): void {
    const known = this.#of(id);
    if (known.open === 0) known.silentSince = this.#timer.now();
    known.open += 1;
    known.reachableFrom = this.#timer.now() + REACH_MILLISECONDS;
    if (known.health.mayProbe(this.#timer.now())) known.health.probeStarted();
  }

  /** Anything came from the endpoint. */
  heard(id: EndpointId): void {
    const known = this.#of(id);
    known.silentSince = this.#timer.now();
    known.refusals = 0;
  }

  /** The attempt is over, however it went. */
  ended(id: EndpointId): void {
    const known = this.#of(id);
    known.open = Math.max(0, known.open - 1);
  }

  succeeded(id: EndpointId): void {
    this.#of(id).rejections = 0;
    this.#of(id).health.succeeded(UNJUDGED_TIMES, this.#timer.now());
  }

  failed(id: EndpointId): void {
    const { health } = this.#of(id);
    const now = this.#timer.now();
    health.failed(now);
    if (health.isBad(1)) health.eject(now);
  }

  refusedConnection(id: EndpointId): void {
    const known = this.#of(id);
    known.refusals += 1;
    known.reachableFrom = this.#timer.now() + REACH_MILLISECONDS;
  }

  /**
   * Another replica has its address, or it has another role by now. Its
   * registration tells so within seconds; until then every request that is
   * sent there is turned away and counts as a repeat.
   */
  misdirected(id: EndpointId): void {
    this.#of(id).closedUntil = this.#timer.now() + LONGEST_CLOSED_MILLISECONDS;
  }

  /** The endpoint vouches that it did not run the attempt. */
  rejected(id: EndpointId): void {
    const known = this.#of(id);
    known.health.untold();
    known.rejections += 1;
    const beyond = known.rejections - REJECTIONS_UNTIL_CLOSED;
    if (beyond < 0) return;
    const wait = Math.min(
      LONGEST_CLOSED_MILLISECONDS,
      FIRST_CLOSED_MILLISECONDS * 2 ** beyond,
    );
    known.closedUntil = this.#timer.now() + wait;
  }

  /** The endpoint wants nothing for so long, and has said so. */
  overloaded(id: EndpointId, milliseconds: number): void {
    const known = this.#of(id);
    known.health.untold();
    known.rejections = 0;
    const until = this.#timer.now() + milliseconds;
    const before = this.#overloadedUntil.get(id) ?? -Infinity;
    this.#overloadedUntil.set(id, Math.max(before, until));
  }

  /** How long the endpoint still wants nothing, milliseconds; 0: it does. */
  overloadMilliseconds(id: EndpointId): number {
    const until = this.#overloadedUntil.get(id);
    if (until === undefined) return 0;
    const left = until - this.#timer.now();
    if (left <= 0) this.#overloadedUntil.delete(id);
    return Math.max(0, left);
  }

  /** The attempt was given up; it tells nothing of the endpoint. */
  untold(id: EndpointId): void {
    this.#of(id).health.untold();
  }

  forget({ id }: { readonly id: EndpointId }): void {
    this.#known.delete(id);
    this.#overloadedUntil.delete(id);
  }

  #isUnreachable(id: EndpointId): boolean {
    const known = this.#known.get(id);
    return known !== undefined &&
      known.refusals >= REFUSALS_UNTIL_UNREACHABLE &&
      this.#timer.now() < known.reachableFrom;
  }

  #isClosed(id: EndpointId): boolean {
    const known = this.#known.get(id);
    return known !== undefined && this.#timer.now() < known.closedUntil;
  }

  #isWell(id: EndpointId): boolean {
    const known = this.#known.get(id);
    if (known === undefined) return true;
    const now = this.#timer.now();
    const isSilent = known.open > 0 &&
      now - known.silentSince > SILENCE_MILLISECONDS;
    if (isSilent) return false;
    return !known.health.ejected || known.health.mayProbe(now);
  }

  #of(id: EndpointId): Known {
    let known = this.#known.get(id);
    if (known === undefined) {
      const health = new EndpointHealth(LIMITS);
      known = {
        health,
        refusals: 0,
        reachableFrom: -Infinity,
        rejections: 0,
        closedUntil: -Infinity,
        open: 0,
        silentSince: 0,
      };
      this.#known.set(id, known);
    }
    return known;
  }
}
