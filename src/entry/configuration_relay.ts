import type { EndpointId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import { OrderWatermarks } from "../core/orders/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type {
  EndpointConfiguration,
  SideReport,
  StandingOrder,
  WatchAnswer,
  WatchQuestion,
} from "../generated/messages.ts";
import type { Catalog } from "./catalog.ts";
import type { PeerDirectory } from "./peer_directory.ts";
import type { RegionLog } from "./region_log.ts";
import { PendingWatches } from "./pending_watches.ts";

export interface ConfigurationRelayOptions {
  readonly timer: TimerService;
  readonly availabilityZone: string;
  readonly log: RegionLog;
  readonly peers: PeerDirectory;
  /** The active inventory with its version, if there is one. */
  readonly activeConfiguration: () => RelayedConfiguration | undefined;
}

/** An inventory and the version that it belongs to. */
export interface RelayedConfiguration {
  readonly catalog: Catalog;
  readonly version: number;
}

/** Version in answers while no configuration is active. */
const NO_VERSION = 0;

/**
 * Relays the configuration and orders in force from the log to the sides that
 * are attached to this entry. 12,000 sides that read the log themselves would
 * exceed the read rate that the platform allows. A relay that lags only delays
 * its sides: the positions that a side accepts are monotonic.
 */
export class ConfigurationRelay {
  readonly #options: ConfigurationRelayOptions;
  readonly #watches: PendingWatches;
  readonly #acknowledgedOrders = new OrderWatermarks();

  constructor(options: ConfigurationRelayOptions) {
    this.#options = options;
    this.#watches = new PendingWatches({
      timer: options.timer,
      answerFor: (endpoint) => this.#answerFor(endpoint),
    });
  }

  /** Answers a side's long poll, at once or when there is an update for it. */
  watch(question: WatchQuestion): Promise<WatchAnswer> {
    this.#recordReport(question.report);
    return this.#watches.watch(question);
  }

  /** Called when the log has new records; answers the affected long polls. */
  onLogChange(): void {
    this.#watches.answerChanged();
  }

  /** Called when another inventory becomes active. */
  onConfigurationActive(catalog: Catalog): void {
    this.#acknowledgedOrders.retainEndpoints(new Set(catalog.endpoints()));
    this.#watches.answerChanged();
  }

  /**
   * Answers all pending long polls, so that the sides switch to another entry.
   */
  close(): void {
    this.#watches.answerAll();
  }

  /**
   * Records the side's positions. A side that is also attached to another entry
   * may be ahead of this one, whose log replica may be stuck.
   */
  #recordReport(report: SideReport): void {
    const { configuration, orders } = this.#options.log.journals;
    this.#acknowledgedOrders.recordReport(report);
    configuration.noteHead(report.configurationVersion);
    orders.noteHead(report.ordersRead + 1);
  }

  /**
   * Takes version and endpoint from the same inventory. The log may have
   * applied a version that is not active here yet; a side that got this version
   * without its endpoint would consider itself withdrawn and get no work until
   * the next version.
   */
  #answerFor(endpoint: string): WatchAnswer {
    const { availabilityZone, activeConfiguration, log, peers } = this.#options;
    const { catalog, version = NO_VERSION } = activeConfiguration() ?? {};
    const inventoryEndpoint = catalog?.endpoint(identifier(endpoint));
    const zone = inventoryEndpoint?.availabilityZone ?? availabilityZone;
    const order = this.#orderFor(endpoint);
    const configuration = this.#configurationOf(identifier(endpoint));
    return {
      configurationVersion: version,
      ordersRead: log.journals.orders.position,
      entries: peers.entriesFor(endpoint, zone),
      ...(order && { order }),
      ...(configuration && { endpoint: configuration }),
    };
  }

  /** A withdrawn endpoint gets no orders. */
  #orderFor(endpoint: string): StandingOrder | undefined {
    const { activeConfiguration, log } = this.#options;
    const state = activeConfiguration()?.catalog.endpoint(identifier(endpoint))
      ?.state;
    if (state === "withdrawn") return undefined;
    const order = log.orders.standingOrder(endpoint);
    return this.#acknowledgedOrders.selectOrder(endpoint, order);
  }

  #configurationOf(id: EndpointId): EndpointConfiguration | undefined {
    const catalog = this.#options.activeConfiguration()?.catalog;
    const inventoryEndpoint = catalog?.endpoint(id);
    if (inventoryEndpoint === undefined) return undefined;
    const engine = catalog?.engineOf(id);
    return {
      state: inventoryEndpoint.state ?? "serving",
      checksFencing: engine?.checksFencing ?? false,
      resumesStreams: engine?.resumesStreams ?? false,
      ...(engine && {
        slots: engine.slots,
        poolEngines: catalog?.poolOfEndpoint(id)?.endpoints.length,
      }),
    };
  }
}
