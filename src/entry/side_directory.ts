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
  /** False for a report that a newer run of the side has overtaken. */
  readonly accepts: (report: SideReport) => boolean;
  readonly onReport: (report: SideReport, receivedAt: number) => void;
  readonly onSuspicion: (endpoint: EndpointId, suspected: boolean) => void;
}

interface KnownSide {
  readonly endpoint: EndpointId;
  readonly address: PeerAddress;
  report: SideReport | undefined;
  /** Number of the change in which its planning facts were last new. */
  changed: number;
  lastHeard: number;
  suspected: boolean;
  asking: boolean;
  /** Attempts of this entry that are under way at the side. */
  attempts: number;
}

/**
 * Questions for a report that one entry sends in a second. Load: an entry that
 * uses a hundred sides. Harm prevented: asking each of them every second would
 * cost 60 KB/s, twelve times what a node may spend on control. Limit: four
 * questions of about 600 bytes are half of that allowance. What is rarer than a
 * second for an idle side is made up for by the load that ends every answer.
 */
const MOST_ASKED_PER_SECOND = 4;
/** Rounds of asking that an idle side may miss before it is suspected. */
const ROUNDS_UNTIL_SUSPECTED = 2.5;
/** A side that is attached here and has not spoken for this long is gone. */
const FORGET_ATTACHED_MILLISECONDS = 60_000;

interface AttachedSide {
  readonly report: SideReport;
  readonly at: number;
  readonly changed: number;
}

/**
 * What this entry knows of the sides that it uses: by asking them, by the
 * frames of its own attempts, and by the long polls of attached sides.
 *
 * Suspicion is this entry's own: an entry that is cut off from a side stops
 * using it and tells nobody, because the cut may be on the entry's own end.
 */
export class SideDirectory {
  readonly #options: SideDirectoryOptions;
  readonly #sides = new Map<EndpointId, KnownSide>();
  /** Reports of sides that are attached here and not used by this entry. */
  readonly #attached = new Map<string, AttachedSide>();
  #asking: Subscription | undefined;
  /** Sides whose turn to be asked has not come yet in this round. */
  #round: Iterator<KnownSide> | undefined;
  #allowance = 0;
  #change = 0;
  #lastTick = 0;

  constructor(options: SideDirectoryOptions) {
    this.#options = options;
  }

  start(): void {
    this.#lastTick = this.#options.timer.now();
    this.#asking = this.#options.timer.every(
      this.#options.reportMilliseconds,
      () => this.#tick(),
    );
  }

  stop(): void {
    this.#asking?.cancel();
  }

  /** Uses just these sides from now on; what is known of them stays. */
  use(sides: ReadonlyMap<EndpointId, PeerAddress>): void {
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

  /** Number of the newest change in what a planner looks at. */
  get change(): number {
    return this.#change;
  }

  /**
   * The newest report of each side that is used or attached here, of those
   * whose planning facts have changed after the given change.
   */
  reports(afterChange = 0): SideReport[] {
    this.#forgetAttached();
    const known = [...this.#sides.values(), ...this.#attached.values()];
    return known.filter((side) => side.changed > afterChange)
      .map((side) => side.report as SideReport);
  }

  /** A report that came with a side's long poll. */
  heard(report: SideReport): void {
    const side = this.#sides.get(identifier(report.endpoint));
    if (side !== undefined) return this.#take(side, report);
    const at = this.#options.timer.now();
    const before = this.#attached.get(report.endpoint);
    const changed = this.#changeOf(report, before);
    this.#attached.set(report.endpoint, { report, at, changed });
  }

  /** A frame came: the side lives; its last one tells the load as well. */
  signOfLife(endpoint: EndpointId, load?: EndpointLoad): void {
    const side = this.#sides.get(endpoint);
    if (side === undefined) return;
    side.lastHeard = this.#options.timer.now();
    this.#setSuspected(side, false);
    if (load === undefined || side.report === undefined) return;
    side.report = { ...side.report, load };
    this.#options.onReport(side.report, side.lastHeard);
  }

  /** An attempt begins or ends at the side; while it runs, silence counts. */
  attemptBegins(endpoint: EndpointId): () => void {
    const side = this.#sides.get(endpoint);
    if (side === undefined) return () => {};
    if (side.attempts === 0) side.lastHeard = this.#options.timer.now();
    side.attempts += 1;
    let ended = false;
    return () => {
      if (!ended) side.attempts -= 1;
      ended = true;
    };
  }

  /**
   * A message to the side was lost. It is asked at once: where the question
   * fails as well, waiting for the usual silence would send more work there.
   */
  messageLost(endpoint: EndpointId): void {
    const side = this.#sides.get(endpoint);
    if (side !== undefined && !side.asking) {
      void this.#ask(side, { suspectIfLost: true });
    }
  }

  #add(endpoint: EndpointId, address: PeerAddress): void {
    if (this.#sides.has(endpoint)) return;
    const side: KnownSide = {
      endpoint,
      address,
      report: undefined,
      changed: 0,
      lastHeard: this.#options.timer.now(),
      suspected: false,
      asking: false,
      attempts: 0,
    };
    this.#sides.set(endpoint, side);
    this.#attached.delete(endpoint);
    // New sides are asked at once: without a report they get no work.
    void this.#ask(side);
  }

  #tick(): void {
    const { timer, reportMilliseconds } = this.#options;
    const now = timer.now();
    this.#forgiveOwnPause(now);
    for (const side of this.#sides.values()) {
      this.#judge(side);
      const silent = now - side.lastHeard >= reportMilliseconds;
      const matters = side.attempts > 0 || side.report === undefined;
      if (silent && matters && !side.asking) void this.#ask(side);
    }
    this.#askNextInRound();
  }

  /**
   * Leaves out the time in which this process itself stood still. What goes
   * wrong without it: an entry whose VM was paused wakes up, takes every side
   * for silent, and gives up all its healthy streams at once with nowhere left
   * to resume them.
   */
  #forgiveOwnPause(now: number): void {
    const { reportMilliseconds } = this.#options;
    const late = now - this.#lastTick - reportMilliseconds;
    this.#lastTick = now;
    if (late < reportMilliseconds) return;
    for (const side of this.#sides.values()) side.lastHeard += late;
  }

  /** Goes round all sides within the rate; a round may take many ticks. */
  #askNextInRound(): void {
    const perTick = MOST_ASKED_PER_SECOND * this.#options.reportMilliseconds /
      1000;
    this.#allowance = Math.min(
      this.#allowance + perTick,
      Math.max(1, perTick),
    );
    for (; this.#allowance >= 1; this.#allowance -= 1) {
      const side = this.#nextInRound();
      if (side === undefined) return;
      if (!side.asking) void this.#ask(side);
    }
  }

  #nextInRound(): KnownSide | undefined {
    const next = this.#round?.next();
    if (next !== undefined && !next.done) return next.value;
    this.#round = [...this.#sides.values()].values();
    const first = this.#round.next();
    return first.done ? undefined : first.value;
  }

  async #ask(
    side: KnownSide,
    options: { suspectIfLost: boolean } = { suspectIfLost: false },
  ): Promise<void> {
    side.asking = true;
    const report = await this.#options.sides.report(side.address);
    side.asking = false;
    if (this.#sides.get(side.endpoint) !== side) return;
    if (report.isOk()) this.#take(side, report.value);
    else if (options.suspectIfLost) this.#setSuspected(side, true);
    else this.#judge(side);
  }

  #take(side: KnownSide, report: SideReport): void {
    if (report.endpoint !== side.endpoint) return;
    if (!this.#options.accepts(report)) return;
    side.changed = this.#changeOf(report, side);
    side.report = report;
    side.lastHeard = this.#options.timer.now();
    this.#setSuspected(side, false);
    this.#options.onReport(report, side.lastHeard);
  }

  /** Number of the change that a report brings; the former one without news. */
  #changeOf(
    report: SideReport,
    before: { report: SideReport | undefined; changed: number } | undefined,
  ): number {
    if (before?.report !== undefined && isSamePlan(before.report, report)) {
      return before.changed;
    }
    this.#change += 1;
    return this.#change;
  }

  #forgetAttached(): void {
    const oldest = this.#options.timer.now() - FORGET_ATTACHED_MILLISECONDS;
    for (const [endpoint, { at }] of this.#attached) {
      if (at < oldest) this.#attached.delete(endpoint);
    }
  }

  #judge(side: KnownSide): void {
    const silent = this.#options.timer.now() - side.lastHeard;
    const patience = side.attempts > 0
      ? this.#options.suspectMilliseconds
      : this.#idlePatience();
    if (silent > patience) this.#setSuspected(side, true);
  }

  /** An idle side is asked once in a round only, so its silence means less. */
  #idlePatience(): number {
    const { reportMilliseconds, suspectMilliseconds } = this.#options;
    const round = Math.max(
      reportMilliseconds,
      this.#sides.size * 1000 / MOST_ASKED_PER_SECOND,
    );
    return Math.max(suspectMilliseconds, ROUNDS_UNTIL_SUSPECTED * round);
  }

  #setSuspected(side: KnownSide, suspected: boolean): void {
    if (side.suspected === suspected) return;
    side.suspected = suspected;
    this.#options.onSuspicion(side.endpoint, suspected);
  }
}

/** Whether a planner would plan the same by both reports. */
function isSamePlan(one: SideReport, other: SideReport): boolean {
  return one.incarnation === other.incarnation && one.state === other.state &&
    one.role === other.role && one.weights === other.weights &&
    one.orderTaken === other.orderTaken &&
    one.orderApplied === other.orderApplied &&
    one.configurationVersion === other.configurationVersion;
}
