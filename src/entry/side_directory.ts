import type { EndpointId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { PeerAddress, SideLink } from "../core/links/mod.ts";
import type { Subscription, TimerService } from "../core/time/mod.ts";
import type { SideReport } from "../generated/messages.ts";

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
  lastHeard: number;
  suspected: boolean;
  asking: boolean;
}

/**
 * What this entry knows of the sides that it uses, by asking each of them.
 *
 * Suspicion is this entry's own: an entry that is cut off from a side stops
 * using it and tells nobody, because the cut may be on the entry's own end.
 */
export class SideDirectory {
  readonly #options: SideDirectoryOptions;
  readonly #sides = new Map<EndpointId, KnownSide>();
  #asking: Subscription | undefined;

  constructor(options: SideDirectoryOptions) {
    this.#options = options;
  }

  start(): void {
    this.#asking = this.#options.timer.every(
      this.#options.reportMilliseconds,
      () => this.#askAll(),
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
    this.#askAll();
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

  reports(): SideReport[] {
    const reports: SideReport[] = [];
    for (const side of this.#sides.values()) {
      if (side.report !== undefined) reports.push(side.report);
    }
    return reports;
  }

  /** A report that came by another way than this directory's own asking. */
  heard(report: SideReport): void {
    const side = this.#sides.get(identifier(report.endpoint));
    if (side !== undefined) this.#take(side, report);
  }

  /** A frame came: the side lives, whatever its reports do. */
  signOfLife(endpoint: EndpointId): void {
    const side = this.#sides.get(endpoint);
    if (side === undefined) return;
    side.lastHeard = this.#options.timer.now();
    this.#judge(side);
  }

  #add(endpoint: EndpointId, address: PeerAddress): void {
    if (this.#sides.has(endpoint)) return;
    this.#sides.set(endpoint, {
      endpoint,
      address,
      report: undefined,
      lastHeard: this.#options.timer.now(),
      suspected: false,
      asking: false,
    });
  }

  #askAll(): void {
    for (const side of this.#sides.values()) {
      this.#judge(side);
      if (!side.asking) void this.#ask(side);
    }
  }

  async #ask(side: KnownSide): Promise<void> {
    side.asking = true;
    const report = await this.#options.sides.report(side.address);
    side.asking = false;
    if (this.#sides.get(side.endpoint) !== side) return;
    if (report.isOk()) this.#take(side, report.value);
    else this.#judge(side);
  }

  #take(side: KnownSide, report: SideReport): void {
    if (report.endpoint !== side.endpoint) return;
    if (!this.#options.accepts(report)) return;
    side.report = report;
    side.lastHeard = this.#options.timer.now();
    this.#judge(side);
    this.#options.onReport(report, side.lastHeard);
  }

  #judge(side: KnownSide): void {
    const silent = this.#options.timer.now() - side.lastHeard;
    const suspected = silent > this.#options.suspectMilliseconds;
    if (suspected === side.suspected) return;
    side.suspected = suspected;
    this.#options.onSuspicion(side.endpoint, suspected);
  }
}
