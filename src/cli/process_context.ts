import { HttpPeerClient } from "../adapters/peers/mod.ts";
import { newIncarnation } from "../adapters/random/mod.ts";
import type {
  CheckedEntrySettings,
  CheckedSideSettings,
} from "../adapters/settings/mod.ts";
import {
  type ComponentLogger,
  createLogger,
  createTracing,
  Metrics,
  type Tracing,
} from "../adapters/telemetry/mod.ts";
import { SystemTimerService } from "../adapters/time/mod.ts";
import type { Incarnation } from "../core/identity/mod.ts";

type ProcessSettings = Pick<
  CheckedEntrySettings | CheckedSideSettings,
  "name" | "log" | "traces"
>;

/** Timer, logger, metrics, tracing and peer client of a process. */
export class ProcessContext {
  readonly incarnation: Incarnation = newIncarnation();
  readonly timer = new SystemTimerService();
  readonly metrics = new Metrics({ processMetrics: true });
  readonly peers = new HttpPeerClient();
  readonly logger: ComponentLogger;
  readonly tracing: Tracing;

  constructor(settings: ProcessSettings) {
    const process = settings.name;
    this.logger = createLogger({ level: settings.log.level, process });
    this.tracing = createTracing({ process, ...settings.traces });
  }

  /** Renders the metrics in the Prometheus text format. */
  async renderMetrics(): Promise<string> {
    return (await this.metrics.render()).body;
  }

  /** Closes connections to peers and exports the remaining spans. */
  async close(): Promise<void> {
    this.peers.close();
    await this.tracing.shutdown();
  }
}
