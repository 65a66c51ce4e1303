import type {
  CrashTracker,
  EndpointRegistry,
  RegisteredEndpoint,
} from "../../../core/forwarding/mod.ts";
import type { EndpointId, ServiceName } from "../../../core/identity/mod.ts";
import type { TimerService } from "../../../core/time/mod.ts";
import type { EndpointClient } from "../network_interfaces.ts";

/**
 * Time until a check, in which a process that has crashed closes its listening
 * socket too.
 */
const CHECK_DELAY_MILLISECONDS = 50;
/** Time for the answer of a process that accepts connections. */
const ANSWER_TIMEOUT_MILLISECONDS = 50;

export interface LostRunChecksOptions {
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly crashes: CrashTracker;
  readonly endpointClient: Pick<EndpointClient, "connect">;
  /** Path at which the endpoints of the pool answer for themselves. */
  readonly healthPathOf: (pool: ServiceName) => string | undefined;
}

interface RunCheck {
  /** True once the endpoint is asked, false while the check is due. */
  readonly isAsking: boolean;
  /** The endpoint as of a loss that came while it was asked. */
  lostMeanwhile?: RegisteredEndpoint;
}

/**
 * Checks whether the run of an endpoint that broke off a request has crashed. A
 * faulty run that breaks off responses and lives on would otherwise get sound
 * requests blocked.
 */
export class LostRunChecks {
  readonly #options: LostRunChecksOptions;
  /** The checks of endpoints, by id. */
  readonly #checks = new Map<EndpointId, RunCheck>();

  constructor(options: LostRunChecksOptions) {
    this.#options = options;
  }

  /** Confirms or retracts the losses of the run that are not confirmed. */
  check(endpoint: RegisteredEndpoint): void {
    const check = this.#checks.get(endpoint.id);
    if (check?.isAsking) check.lostMeanwhile = endpoint;
    if (check !== undefined) return;
    this.#checks.set(endpoint.id, { isAsking: false });
    this.#options.timer.after(
      CHECK_DELAY_MILLISECONDS,
      () => this.#run(endpoint),
    );
  }

  async #run(endpoint: RegisteredEndpoint): Promise<void> {
    const { crashes, registry, timer } = this.#options;
    const startedAt = timer.now();
    const check: RunCheck = { isAsking: true };
    this.#checks.set(endpoint.id, check);
    let isAlive = false;
    try {
      isAlive = registry.isSameRun(endpoint) &&
        await this.#isListening(endpoint);
    } finally {
      this.#checks.delete(endpoint.id);
    }
    if (isAlive) crashes.answered(endpoint, startedAt);
    // The answer of a living run neither retracts nor confirms a loss that came
    // after the question.
    const lostUntil = isAlive ? startedAt : Infinity;
    crashes.confirmLosses(endpoint, { lostUntil });
    if (check.lostMeanwhile !== undefined) this.check(check.lostMeanwhile);
  }

  /** False also if another process listens at the address. */
  async #isListening(
    { address, id, pool }: RegisteredEndpoint,
  ): Promise<boolean> {
    const { endpointClient, healthPathOf } = this.#options;
    const healthPath = healthPathOf(pool);
    const connection = endpointClient.connect(address);
    try {
      await connection.opened;
      if (connection.state === "rejected") return false;
      // It was accepted, and reset before the event loop saw it open.
      if (connection.state === "ended") return true;
      if (healthPath === undefined) return true;
      const process = await connection.identify(id, {
        healthPath,
        timeoutMilliseconds: ANSWER_TIMEOUT_MILLISECONDS,
      });
      return process !== "other";
    } finally {
      connection.close();
    }
  }
}
