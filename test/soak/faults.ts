import type { Random } from "../../src/core/random/mod.ts";
import type { StartedProcess } from "../support/process_fleet.ts";
import type {
  DeployedEndpoint,
  DeployedEntry,
  SmallDeployment,
} from "../support/small_deployment.ts";

export interface FaultOptions {
  readonly deployment: SmallDeployment;
  readonly random: Random;
  /** Called with the name of each fault when it starts. */
  readonly onFault: (name: string) => void;
}

const MIN_PAUSE_MILLISECONDS = 300;
const MAX_PAUSE_MILLISECONDS = 1_500;
const MAX_FAULT_MILLISECONDS = 2_800;
/**
 * Time after its start in which an entry gets no requests, to let it become
 * ready.
 */
const ENTRY_START_MILLISECONDS = 1_500;

/** Injects one random fault at a time and recovers from it before the next. */
export class SoakFaultInjector {
  readonly #options: FaultOptions;
  /** Entries that the platform's load balancer would not route to. */
  readonly unhealthy = new Set<DeployedEntry>();

  constructor(options: FaultOptions) {
    this.#options = options;
  }

  async runUntil(end: number): Promise<void> {
    while (performance.now() < end) {
      await this.#wait(MIN_PAUSE_MILLISECONDS, MAX_PAUSE_MILLISECONDS);
      const [name, fault] = this.#pick(this.#faults);
      this.#options.onFault(name);
      await fault();
    }
  }

  readonly #faults: readonly [string, () => Promise<void>][] = [
    ["side killed", () => this.#terminateSide("SIGKILL")],
    ["side stopped", () => this.#terminateSide("SIGTERM")],
    ["side suspended", () => this.#suspend(this.#pickEndpoint().side)],
    ["entry killed", () => this.#terminateEntry("SIGKILL")],
    ["entry stopped", () => this.#terminateEntry("SIGTERM")],
    ["entry suspended", () => this.#suspendEntry()],
    ["log refuses requests", () => this.#injectLogFault({ down: "refuse" })],
    ["log closes connections", () => this.#injectLogFault({ down: "cut" })],
    ["log loses responses", () => this.#injectLogFault({ lostAnswers: 3 })],
  ];

  async #terminateSide(signal: NodeJS.Signals): Promise<void> {
    const endpoint = this.#pickEndpoint();
    endpoint.side.child.kill(signal);
    await endpoint.side.exited;
    await this.#wait(0, MIN_PAUSE_MILLISECONDS);
    this.#options.deployment.restartSide(endpoint);
  }

  async #terminateEntry(signal: NodeJS.Signals): Promise<void> {
    const entry = this.#pick(this.#options.deployment.entries);
    this.unhealthy.add(entry);
    entry.process.child.kill(signal);
    await entry.process.exited;
    this.#options.deployment.restartEntry(entry);
    await this.#wait(ENTRY_START_MILLISECONDS, ENTRY_START_MILLISECONDS);
    this.unhealthy.delete(entry);
  }

  async #suspendEntry(): Promise<void> {
    const entry = this.#pick(this.#options.deployment.entries);
    this.unhealthy.add(entry);
    await this.#suspend(entry.process);
    this.unhealthy.delete(entry);
  }

  async #suspend({ child }: StartedProcess): Promise<void> {
    child.kill("SIGSTOP");
    await this.#wait(MIN_PAUSE_MILLISECONDS, MAX_FAULT_MILLISECONDS);
    child.kill("SIGCONT");
  }

  async #injectLogFault(faults: Record<string, unknown>): Promise<void> {
    await this.#setLogFaults(faults);
    await this.#wait(MIN_PAUSE_MILLISECONDS, MAX_FAULT_MILLISECONDS);
    await this.#setLogFaults({ down: "no", lostAnswers: 0 });
  }

  async #setLogFaults(faults: Record<string, unknown>): Promise<void> {
    await fetch(`${this.#options.deployment.logUrl}/control`, {
      method: "POST",
      body: JSON.stringify(faults),
    });
  }

  #pickEndpoint(): DeployedEndpoint {
    const { engines, services } = this.#options.deployment;
    return this.#pick([...engines, ...services]);
  }

  #pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#options.random() * items.length)];
  }

  #wait(minMilliseconds: number, maxMilliseconds: number): Promise<void> {
    const milliseconds = minMilliseconds +
      (maxMilliseconds - minMilliseconds) * this.#options.random();
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
}
