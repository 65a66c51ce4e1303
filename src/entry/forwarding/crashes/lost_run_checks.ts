import type {
  CrashTracker,
  EndpointRegistry,
  RegisteredEndpoint,
} from "../../../core/forwarding/mod.ts";
import type { EndpointId } from "../../../core/identity/mod.ts";
import type { TimerService } from "../../../core/time/mod.ts";
import type { EndpointClient } from "../network_interfaces.ts";

/**
 * Time until a check, in which a process that has crashed closes its listening
 * socket too.
 */
const CHECK_DELAY_MILLISECONDS = 50;

export interface LostRunChecksOptions {
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly crashes: CrashTracker;
  readonly endpointClient: Pick<EndpointClient, "acceptsConnections">;
}

/**
 * Checks whether the run of an endpoint that broke off a request has crashed. A
 * faulty run that breaks off responses and lives on would otherwise get sound
 * requests blocked.
 */
export class LostRunChecks {
  readonly #options: LostRunChecksOptions;
  /** Endpoints with a check in progress, by id. */
  readonly #checked = new Set<EndpointId>();

  constructor(options: LostRunChecksOptions) {
    this.#options = options;
  }

  /** Confirms or retracts the losses of the run that are not confirmed. */
  check(endpoint: RegisteredEndpoint): void {
    if (this.#checked.has(endpoint.id)) return;
    this.#checked.add(endpoint.id);
    this.#options.timer.after(
      CHECK_DELAY_MILLISECONDS,
      () => this.#run(endpoint),
    );
  }

  async #run(endpoint: RegisteredEndpoint): Promise<void> {
    const { crashes, endpointClient, registry, timer } = this.#options;
    const startedAt = timer.now();
    let isAlive = false;
    try {
      isAlive = registry.isSameRun(endpoint) &&
        await endpointClient.acceptsConnections(endpoint.address);
    } finally {
      this.#checked.delete(endpoint.id);
    }
    if (isAlive) crashes.answered(endpoint, startedAt);
    crashes.confirmLosses(endpoint);
  }
}
