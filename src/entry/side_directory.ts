import type { EndpointId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { PeerAddress, SideLink } from "../core/links/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { EndpointLoad, SideReport } from "../generated/messages.ts";

export interface SideDirectoryOptions {
  readonly timer: TimerService;
  readonly sides: SideLink;
  readonly reportMilliseconds: number;
  /** Silence after which this entry stops using a side, milliseconds. */
  readonly suspectMilliseconds: number;
  /** False for a report of an incarnation that a newer one has replaced. */
  readonly accepts: (report: SideReport) => boolean;
  readonly onReport: (report: SideReport, receivedAt: number) => void;
  readonly onSuspicion: (endpoint: EndpointId, suspected: boolean) => void;
}

interface TrackedSide {
  readonly endpoint: EndpointId;
  readonly address: PeerAddress;
  report: SideReport | undefined;
  /** Number of the last change of the fields that the planner uses. */
  changeNumber: number;
  lastSeenAt: number;
  suspected: boolean;
  polling: boolean;
  /** Running attempts of this entry at the side. */
  activeAttempts: number;
}

/**
 * Report requests per second of one entry. Polling each of a hundred sides
 * every second would cost 60 KB/s, twelve times a VM's control traffic
 * budget. Four requests of about 600 bytes use half of the budget. The load in
 * every final frame makes up for polling an idle side less than once a second.
 */
const MAX_REPORT_REQUESTS_PER_SECOND = 4;
/** Poll cycles that an idle side may miss before it is suspected. */
const POLL_CYCLES_UNTIL_SUSPECTED = 2.5;
/** Expiry of the report of an attached side, milliseconds. */
const ATTACHED_EXPIRY_MILLISECONDS = 60_000;

interface AttachedSide {
  readonly report: SideReport;
  readonly receivedAt: number;
  readonly changeNumber: number;
}

/**
 * State of the sides that this entry uses, from report polling, frames of its
 * own attempts, and long polls of attached sides.
 *
 * Suspicion is local: an entry that is partitioned from a side stops using it
 * and does not inform other entries, because the fault may be on its own link.
 */
export class SideDirectory {
  readonly #options: SideDirectoryOptions;
  readonly #sides = new Map<EndpointId, TrackedSide>();
  /** Reports of attached sides that this entry does not use. */
  readonly #attached = new Map<string, AttachedSide>();
  #pollTimer: Subscription | undefined;
  /** Sides that are still to be polled in this cycle. */
  #pollCycle: Iterator<TrackedSide> | undefined;
  #pollCredit = 0;
  #change = 0;
  #lastTickAt = 0;

  constructor(options: SideDirectoryOptions) {
    this.#options = options;
  }

  start(): void {
    this.#lastTickAt = this.#options.timer.now();
    this.#pollTimer = this.#options.timer.every(
      this.#options.reportMilliseconds,
      () => this.#tick(),
    );
  }

  stop(): void {
    this.#pollTimer?.cancel();
  }

  /**
   * Replaces the set of sides in use; the state of sides that remain is kept.
   */
  setSides(sides: ReadonlyMap<EndpointId, PeerAddress>): void {
    for (const known of [...this.#sides.values()]) {
      if (sides.get(known.endpoint) !== known.address) {
        this.#sides.delete(known.endpoint);
      }
    }
    for (const [endpoint, address] of sides) this.#add(endpoint, address);
  }

  addressOf(endpoint: EndpointId): PeerAddress | undefined {
    return this.#sides.get(endpoint)?.address;
  }

  reportOf(endpoint: EndpointId): SideReport | undefined {
    return this.#sides.get(endpoint)?.report;
  }

  isSuspected(endpoint: EndpointId): boolean {
    return this.#sides.get(endpoint)?.suspected ?? false;
  }

  /** Number of the latest change of the fields that the planner uses. */
  get change(): number {
    return this.#change;
  }

  /**
   * Latest reports of the sides that are used or attached here, filtered to
   * those whose planning fields changed after the given change number.
   */
  reports(afterChange = 0): SideReport[] {
    this.#dropExpiredAttached();
    const known = [...this.#sides.values(), ...this.#attached.values()];
    return known.filter((side) => side.changeNumber > afterChange)
      .map((side) => side.report as SideReport);
  }

  /** Records a report that came with a side's long poll. */
  recordReport(report: SideReport): void {
    const side = this.#sides.get(identifier(report.endpoint));
    if (side !== undefined) return this.#acceptReport(side, report);
    const receivedAt = this.#options.timer.now();
    const previous = this.#attached.get(report.endpoint);
    const changeNumber = this.#changeNumberFor(report, previous);
    this.#attached.set(report.endpoint, {
      report,
      receivedAt,
      changeNumber,
    });
  }

  /**
   * Records a frame as a sign that the side is alive; final frames also carry
   * its load.
   */
  recordFrame(endpoint: EndpointId, load?: EndpointLoad): void {
    const side = this.#sides.get(endpoint);
    if (side === undefined) return;
    side.lastSeenAt = this.#options.timer.now();
    this.#setSuspected(side, false);
    if (load === undefined || side.report === undefined) return;
    side.report = { ...side.report, load };
    this.#options.onReport(side.report, side.lastSeenAt);
  }

  /**
   * Counts a running attempt at the side until the returned function is called.
   * Meanwhile the shorter silence timeout applies.
   */
  trackAttempt(endpoint: EndpointId): () => void {
    const side = this.#sides.get(endpoint);
    if (side === undefined) return () => {};
    if (side.activeAttempts === 0) side.lastSeenAt = this.#options.timer.now();
    side.activeAttempts += 1;
    let ended = false;
    return () => {
      if (!ended) side.activeAttempts -= 1;
      ended = true;
    };
  }

  /**
   * A message to the side was lost. Requests a report at once and suspects the
   * side if that fails as well: waiting for the usual silence timeout would
   * send it more work.
   */
  onMessageLost(endpoint: EndpointId): void {
    const side = this.#sides.get(endpoint);
    if (side !== undefined && !side.polling) {
      this.#options.timer.run(() => this.#poll(side, { suspectIfLost: true }));
    }
  }

  #add(endpoint: EndpointId, address: PeerAddress): void {
    if (this.#sides.has(endpoint)) return;
    const side: TrackedSide = {
      endpoint,
      address,
      report: undefined,
      changeNumber: 0,
      lastSeenAt: this.#options.timer.now(),
      suspected: false,
      polling: false,
      activeAttempts: 0,
    };
    this.#sides.set(endpoint, side);
    this.#attached.delete(endpoint);
    // A new side is polled at once; it gets no work until it has reported.
    this.#options.timer.run(() => this.#poll(side));
  }

  #tick(): void {
    const { timer, reportMilliseconds } = this.#options;
    const now = timer.now();
    this.#excludeOwnPause(now);
    for (const side of this.#sides.values()) {
      this.#checkSilence(side);
      const isSilent = now - side.lastSeenAt >= reportMilliseconds;
      const needsReport = side.activeAttempts > 0 || side.report === undefined;
      if (isSilent && needsReport && !side.polling) {
        this.#options.timer.run(() => this.#poll(side));
      }
    }
    this.#pollNextSides();
  }

  /**
   * Excludes time in which this process itself was paused. Otherwise an entry
   * whose VM resumes after a pause would suspect every side and abort all its
   * healthy streams at once, with no endpoint left to resume them.
   */
  #excludeOwnPause(now: number): void {
    const { reportMilliseconds } = this.#options;
    const paused = now - this.#lastTickAt - reportMilliseconds;
    this.#lastTickAt = now;
    if (paused < reportMilliseconds) return;
    for (const side of this.#sides.values()) side.lastSeenAt += paused;
  }

  /**
   * Polls the sides in turn within the rate limit; a cycle may take many ticks.
   */
  #pollNextSides(): void {
    const perTick = MAX_REPORT_REQUESTS_PER_SECOND *
      this.#options.reportMilliseconds /
      1000;
    this.#pollCredit = Math.min(
      this.#pollCredit + perTick,
      Math.max(1, perTick),
    );
    for (; this.#pollCredit >= 1; this.#pollCredit -= 1) {
      const side = this.#nextInCycle();
      if (side === undefined) return;
      if (!side.polling) this.#options.timer.run(() => this.#poll(side));
    }
  }

  #nextInCycle(): TrackedSide | undefined {
    const next = this.#pollCycle?.next();
    if (next !== undefined && !next.done) return next.value;
    this.#pollCycle = [...this.#sides.values()].values();
    const first = this.#pollCycle.next();
    return first.done ? undefined : first.value;
  }

  async #poll(
    side: TrackedSide,
    options: { suspectIfLost: boolean } = { suspectIfLost: false },
  ): Promise<void> {
    side.polling = true;
    const report = await this.#options.sides.report(side.address);
    side.polling = false;
    if (this.#sides.get(side.endpoint) !== side) return;
    if (report.isOk()) this.#acceptReport(side, report.value);
    else if (options.suspectIfLost) this.#setSuspected(side, true);
    else this.#checkSilence(side);
  }

  #acceptReport(side: TrackedSide, report: SideReport): void {
    if (report.endpoint !== side.endpoint) return;
    if (!this.#options.accepts(report)) return;
    side.changeNumber = this.#changeNumberFor(report, side);
    side.report = report;
    side.lastSeenAt = this.#options.timer.now();
    this.#setSuspected(side, false);
    this.#options.onReport(report, side.lastSeenAt);
  }

  /**
   * Returns the change number for a report: the previous one if the planning
   * fields are unchanged, otherwise a new one.
   */
  #changeNumberFor(
    report: SideReport,
    known: { report: SideReport | undefined; changeNumber: number } | undefined,
  ): number {
    if (
      known?.report !== undefined &&
      isSameForPlanning(known.report, report)
    ) {
      return known.changeNumber;
    }
    this.#change += 1;
    return this.#change;
  }

  #dropExpiredAttached(): void {
    const cutoff = this.#options.timer.now() - ATTACHED_EXPIRY_MILLISECONDS;
    for (const [endpoint, { receivedAt }] of this.#attached) {
      if (receivedAt < cutoff) this.#attached.delete(endpoint);
    }
  }

  #checkSilence(side: TrackedSide): void {
    const silence = this.#options.timer.now() - side.lastSeenAt;
    const timeout = side.activeAttempts > 0
      ? this.#options.suspectMilliseconds
      : this.#idleTimeout();
    if (silence > timeout) this.#setSuspected(side, true);
  }

  /**
   * Silence timeout of an idle side. It is polled only once per cycle, so the
   * timeout is longer.
   */
  #idleTimeout(): number {
    const { reportMilliseconds, suspectMilliseconds } = this.#options;
    const cycleMilliseconds = Math.max(
      reportMilliseconds,
      this.#sides.size * 1000 / MAX_REPORT_REQUESTS_PER_SECOND,
    );
    return Math.max(
      suspectMilliseconds,
      POLL_CYCLES_UNTIL_SUSPECTED * cycleMilliseconds,
    );
  }

  #setSuspected(side: TrackedSide, suspected: boolean): void {
    if (side.suspected === suspected) return;
    side.suspected = suspected;
    this.#options.onSuspicion(side.endpoint, suspected);
  }
}

/** True if the two reports are equal in all fields that the planner uses. */
function isSameForPlanning(a: SideReport, b: SideReport): boolean {
  return a.incarnation === b.incarnation && a.state === b.state &&
    a.role === b.role && a.weights === b.weights &&
    a.orderTaken === b.orderTaken &&
    a.orderApplied === b.orderApplied &&
    a.configurationVersion === b.configurationVersion;
}
