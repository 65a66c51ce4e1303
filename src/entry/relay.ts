import type { EndpointId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import { TakenOrders } from "../core/orders/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type {
  EndpointConfiguration,
  SideReport,
  StandingOrder,
  WatchAnswer,
  WatchQuestion,
} from "../generated/messages.ts";
import type { Catalog } from "./catalog.ts";
import type { Neighbours } from "./neighbours.ts";
import type { RegionLog } from "./region_log.ts";
import { WatchDesk } from "./watch_desk.ts";

export interface RelayOptions {
  readonly timer: TimerService;
  readonly availabilityZone: string;
  readonly log: RegionLog;
  readonly neighbours: Neighbours;
  /** The inventory in force and its version; undefined while none is. */
  readonly inForce: () => RelayedConfiguration | undefined;
}

/** What sides are told of: an inventory and the version that it belongs to. */
export interface RelayedConfiguration {
  readonly catalog: Catalog;
  readonly version: number;
}

/** Version that is told while no configuration is in force. */
const NO_VERSION = 0;

/**
 * Relays what is in force from the log to the sides that are attached to this
 * entry. Load: 12,000 sides. Harm prevented: each of them reading the log, which
 * would take more reads than the platform gives. A relay that is behind delays
 * its sides; it can't mislead them, since their positions only rise.
 */
export class Relay {
  readonly #options: RelayOptions;
  readonly #desk: WatchDesk;
  readonly #takenOrders = new TakenOrders();

  constructor(options: RelayOptions) {
    this.#options = options;
    this.#desk = new WatchDesk({
      timer: options.timer,
      answerFor: (endpoint) => this.#answerFor(endpoint),
    });
  }

  /** Answers a side's long poll, at once or when there is news for it. */
  watch(question: WatchQuestion): Promise<WatchAnswer> {
    this.#hear(question.report);
    return this.#desk.watch(question);
  }

  /** The log has moved on: tells the sides that it concerns. */
  changed(): void {
    this.#desk.changed();
  }

  /** Another inventory is in force. */
  configured(catalog: Catalog): void {
    this.#takenOrders.keepOnly(new Set(catalog.endpoints()));
    this.#desk.changed();
  }

  /** Answers all that wait, so that the sides turn to another entry. */
  close(): void {
    this.#desk.closeAll();
  }

  /**
   * A side that is attached to another entry too may have been told more than
   * this entry has read: a replica of the log may be stuck.
   */
  #hear(report: SideReport): void {
    const { configuration, orders } = this.#options.log.journals;
    this.#takenOrders.note(report);
    configuration.noteHead(report.configurationVersion);
    orders.noteHead(report.ordersRead + 1);
  }

  /**
   * Version and endpoint come from the same inventory. The log may have applied
   * a version that is not in force here yet: a side that is told it without its
   * endpoint takes itself for withdrawn and gets no work until the next one.
   */
  #answerFor(endpoint: string): WatchAnswer {
    const { availabilityZone, inForce, log, neighbours } = this.#options;
    const { catalog, version = NO_VERSION } = inForce() ?? {};
    const inventoried = catalog?.endpoint(identifier(endpoint));
    const zone = inventoried?.availabilityZone ?? availabilityZone;
    const order = this.#orderFor(endpoint);
    const configuration = this.#configurationOf(identifier(endpoint));
    return {
      configurationVersion: version,
      ordersRead: log.journals.orders.position,
      entries: neighbours.entriesFor(endpoint, zone),
      ...(order && { order }),
      ...(configuration && { endpoint: configuration }),
    };
  }

  /** A withdrawn endpoint gets nothing, not even orders. */
  #orderFor(endpoint: string): StandingOrder | undefined {
    const { inForce, log } = this.#options;
    const state = inForce()?.catalog.endpoint(identifier(endpoint))?.state;
    if (state === "withdrawn") return undefined;
    const standing = log.orders.standingOrder(endpoint);
    return this.#takenOrders.answerWith(endpoint, standing);
  }

  #configurationOf(id: EndpointId): EndpointConfiguration | undefined {
    const catalog = this.#options.inForce()?.catalog;
    const inventoried = catalog?.endpoint(id);
    if (inventoried === undefined) return undefined;
    const engine = catalog?.engineOf(id);
    return {
      state: inventoried.state ?? "serving",
      checksFencing: engine?.checksFencing ?? false,
      resumesStreams: engine?.resumesStreams ?? false,
      ...(engine && {
        slots: engine.slots,
        poolEngines: catalog?.poolOfEndpoint(id)?.endpoints.length,
      }),
    };
  }
}
