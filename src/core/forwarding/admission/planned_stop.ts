import type { TimerService } from "../../time/mod.ts";
import { RouteTimes, type SendStep } from "../estimates/route_times.ts";

/**
 * Time between the end of a planned stop and the kill, as a share of the grace
 * period and at most. Connections are closed in it, and the store is notified.
 */
const MARGIN_SHARE = 1 / 6;
const MAX_MARGIN_MILLISECONDS = 500;
/**
 * Longest time for which a stopping entry takes connections and requests. The
 * load balancer needs up to two health checks of 1 s to notice the stop, and a
 * connection must not be closed while a request is being sent on it.
 */
const MAX_LISTENING_MILLISECONDS = 2_500;
/**
 * Time before the end in which no connection is taken: those that were taken
 * last may bring a request, which has to be refused.
 */
const LAST_CONNECTIONS_MILLISECONDS = 350;
/** Time in which the end of a response reaches the caller. */
const DELIVERY_MILLISECONDS = 50;

/**
 * Interval at which the times of a stop are looked at: the grace period may
 * change after the stop was requested.
 */
const CHECK_INTERVAL_MILLISECONDS = 25;

/** Options of a `PlannedStop`. */
export interface PlannedStopOptions {
  readonly timer: TimerService;
  /** Time from the request to stop to the kill, as configured now. */
  readonly graceMilliseconds: () => number;
}

/** What a request needs that may be sent. */
export interface RequestNeeds {
  readonly route: string;
  /** What is sent next. */
  readonly step: SendStep;
  /** Time after which the caller or the route ends the request. */
  readonly boundMilliseconds: number;
}

/**
 * The planned stop of an entry. It alone decides what the entry still takes and
 * sends after it was asked to stop, from the grace period in force, the time
 * since, the open requests and what the request needs.
 */
export class PlannedStop {
  /** How long requests take, as observed by this entry. */
  readonly routeTimes: RouteTimes;
  readonly #options: PlannedStopOptions;
  #requestedAt: number | undefined;
  /** True once open requests have been cut or refused. */
  #isClosed = false;

  constructor(options: PlannedStopOptions) {
    this.#options = options;
    this.routeTimes = new RouteTimes(options.timer);
  }

  /**
   * Starts the stop; later calls have no effect. `lateMilliseconds`: time by
   * which the signal may have come earlier, as of a late event loop.
   */
  request({ lateMilliseconds = 0 } = {}): void {
    this.#requestedAt ??= this.#options.timer.now() - lateMilliseconds;
  }

  /** Nothing is taken or sent any more, whatever the grace period becomes. */
  close(): void {
    this.#isClosed = true;
  }

  /** The grace period in force, in milliseconds. */
  get graceMilliseconds(): number {
    return this.#options.graceMilliseconds();
  }

  /**
   * Time from the request to stop to this moment, in milliseconds; negative for
   * a moment before it, undefined if no stop was requested.
   */
  sinceRequest(moment: number): number | undefined {
    if (this.#requestedAt === undefined) return undefined;
    return moment - this.#requestedAt;
  }

  /**
   * Time until open requests are cut, in milliseconds; infinite if no stop was
   * requested.
   */
  get remainingMilliseconds(): number {
    return this.#durationMilliseconds - this.#elapsedMilliseconds;
  }

  /** Resolves at the end of the stop, when open requests are cut. */
  async end(): Promise<void> {
    await this.#until(() => this.remainingMilliseconds <= 0);
  }

  /**
   * Resolves when the process has to exit, whatever it still waits for: half of
   * the margin before the kill is left for a late event loop.
   */
  async exitDeadline(): Promise<void> {
    await this.#until(() =>
      this.remainingMilliseconds <= -this.#marginMilliseconds / 2
    );
  }

  /** Resolves once no more connections are taken. */
  async listeningEnd(): Promise<void> {
    await this.#until(() => !this.takesRequests);
  }

  /** Time until no more connections are taken, in milliseconds. */
  get listeningMilliseconds(): number {
    const duration = this.#durationMilliseconds;
    const listening = Math.min(
      MAX_LISTENING_MILLISECONDS,
      Math.max(duration / 2, duration - LAST_CONNECTIONS_MILLISECONDS),
    );
    return listening - this.#elapsedMilliseconds;
  }

  /** False once no more connections are taken: new requests are refused. */
  get takesRequests(): boolean {
    return !this.#isClosed && this.listeningMilliseconds > 0;
  }

  /**
   * True if the request very likely ends in time: at its own bound at the
   * latest, or within the time that requests of its route take. A request that
   * would be cut is refused instead, as its caller may repeat it elsewhere.
   */
  maySend({ boundMilliseconds, route, step }: RequestNeeds): boolean {
    if (this.#isClosed) return false;
    if (this.#requestedAt === undefined) return true;
    const expected = this.routeTimes.upperMilliseconds(route, step) ?? Infinity;
    const needed = Math.min(boundMilliseconds, expected);
    return needed + DELIVERY_MILLISECONDS <= this.remainingMilliseconds;
  }

  #until(condition: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const checks = this.#options.timer.every(
        CHECK_INTERVAL_MILLISECONDS,
        () => {
          if (!condition()) return;
          checks.cancel();
          resolve();
        },
      );
    });
  }

  get #elapsedMilliseconds(): number {
    const { timer } = this.#options;
    return this.sinceRequest(timer.now()) ?? -Infinity;
  }

  /** Time from the request to stop to the end. */
  get #durationMilliseconds(): number {
    return this.graceMilliseconds - this.#marginMilliseconds;
  }

  /** Time between the end of the stop and the kill. */
  get #marginMilliseconds(): number {
    return Math.min(
      MAX_MARGIN_MILLISECONDS,
      MARGIN_SHARE * this.graceMilliseconds,
    );
  }
}
