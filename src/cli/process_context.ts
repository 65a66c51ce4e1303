import { HttpPeerClient } from "../adapters/peers/mod.ts";
import { newIncarnation } from "../adapters/random/mod.ts";
import type {
  CheckedEntrySettings,
  CheckedSideSettings,
} from "../adapters/settings/mod.ts";
import {
  type ComponentLogger,
  createFaultReporter,
  createLogger,
  createTracing,
  Metrics,
  type Tracing,
} from "../adapters/telemetry/mod.ts";
import { SystemTimerService } from "../adapters/time/mod.ts";
import type { Incarnation } from "../core/identity/mod.ts";
import type { OnThrow } from "../core/time/mod.ts";

type ProcessSettings = Pick<
  CheckedEntrySettings | CheckedSideSettings,
  "name" | "log" | "traces"
>;

/** Timer, logger, metrics, tracing and peer client of a process. */
export class ProcessContext {
  readonly incarnation: Incarnation = newIncarnation();
  /**
   * Without an owner, so that a throw ends the process: its state is folded from
   * the log, and only a new fold makes one that is half applied whole.
   */
  readonly timer = new SystemTimerService();
  readonly metrics = new Metrics({ processMetrics: true });
  readonly peers = new HttpPeerClient();
  readonly logger: ComponentLogger;
  readonly tracing: Tracing;
  /** Returns the owner of what a part of the process throws. */
  readonly reportFaults: (part: string) => OnThrow;

  constructor(settings: ProcessSettings) {
    const process = settings.name;
    this.logger = createLogger({ level: settings.log.level, process });
    this.reportFaults = createFaultReporter({
      registry: this.metrics.registry,
      logger: this.logger,
    });
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
