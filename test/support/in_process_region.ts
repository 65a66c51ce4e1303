import {
  Fleet,
  type FleetEndpoint,
  type FleetOptions,
  sideAddress,
} from "../../examples/embedding/fleet.ts";
import { MemoryEngine } from "../../examples/embedding/memory_engine.ts";
import type { ConfigurationContent } from "../../src/core/configuration/mod.ts";
import { identifier } from "../../src/core/identity/mod.ts";
import type { AnswerSink, CallerRequest } from "../../src/core/requests/mod.ts";
import { ManualTimerService } from "../../src/core/time/mod.ts";
import { FakeLog, noFaults } from "./fake_log.ts";

export interface InProcessOptions {
  readonly seed?: number;
  readonly entries: number;
  readonly endpoints: number;
  readonly models?: number;
  readonly availabilityZones?: number;
  readonly engineSlots?: number;
  readonly tokens?: number;
  readonly millisecondsBetweenTokens?: number;
  readonly logLatencyMilliseconds?: number;
  readonly fleet?: Partial<FleetOptions>;
}

const REGION = "klang-valley";

/**
 * A region in one process on virtual time, for tests and benchmarks: entries,
 * engines with their sides, and the log. Each pool serves one model. Endpoints
 * are assigned to pools and availability zones round-robin.
 */
export class InProcessRegion {
  readonly timer = new ManualTimerService();
  readonly log: FakeLog;
  /** Fault settings of each process's log connection, by process name. */
  readonly logFaults = new Map<string, ReturnType<typeof noFaults>>();
  readonly engines: MemoryEngine[] = [];
  readonly endpoints: FleetEndpoint[] = [];
  readonly fleet: Fleet;
  readonly #options: InProcessOptions;
  readonly #zones: [string, ...string[]];
  #requests = 0;

  constructor(options: InProcessOptions) {
    this.#options = options;
    this.#zones = ["zone-0"];
    for (let index = 1; index < (options.availabilityZones ?? 1); index += 1) {
      this.#zones.push(`zone-${index}`);
    }
    this.log = new FakeLog({
      timer: this.timer,
      latencyMilliseconds: options.logLatencyMilliseconds,
    });
    for (let index = 0; index < options.endpoints; index += 1) {
      this.endpoints.push(this.#makeEndpoint(index));
    }
    this.fleet = new Fleet({
      timer: this.timer,
      seed: options.seed ?? 1,
      connectLog: (process) => this.#connect(process),
      region: REGION,
      availabilityZones: this.#zones,
      entries: options.entries,
      endpoints: this.endpoints,
      ...options.fleet,
    });
  }

  /**
   * Starts the fleet, publishes the inventory and waits until it is in force.
   */
  async start(): Promise<void> {
    this.fleet.start();
    const published = this.fleet.publish(this.content(), 0);
    await this.timer.advance(40_000);
    const result = await published;
    if (result.isErr()) throw new Error(result.error.message);
  }

  /**
   * Inventory and rules with the given endpoint states; the planner is
   * disabled.
   */
  content(states: Readonly<Record<string, "draining">> = {}) {
    const content: ConfigurationContent = {
      inventory: {
        region: REGION,
        availabilityZones: this.#zones,
        pools: [this.#pool(0, states)],
      },
      rules: {
        classes: [{ name: "urgent", priority: 0, deadlineSeconds: 60 }],
        defaultClass: "urgent",
        planner: { enabled: false },
      },
    };
    for (let pool = 1; pool < (this.#options.models ?? 1); pool += 1) {
      content.inventory.pools.push(this.#pool(pool, states));
    }
    return content;
  }

  /** Submits a generation request to an entry and returns the request. */
  generate(
    options: { entry: number; workspace: string; model?: number },
    sink: AnswerSink,
  ): CallerRequest {
    const request: CallerRequest = {
      requestId: identifier(`request-${this.#requests++}`),
      workspace: identifier(options.workspace),
      headers: {},
      work: {
        kind: "generation",
        model: modelName(options.model ?? 0),
        messages: [{ role: "user", content: `Question ${this.#requests}` }],
        mostOutputTokens: this.#options.tokens ?? 20,
      },
    };
    this.fleet.submit(options.entry, request, sink);
    return request;
  }

  #makeEndpoint(index: number): FleetEndpoint {
    const { models, tokens, millisecondsBetweenTokens } = this.#options;
    const pool = modelName(index % (models ?? 1));
    const engine = new MemoryEngine({
      timer: this.timer,
      models: [pool],
      prefillMilliseconds: 20,
      millisecondsBetweenTokens: millisecondsBetweenTokens ?? 20,
      tokens: tokens ?? 20,
    });
    this.engines.push(engine);
    return {
      id: `engine-${index}`,
      pool,
      availabilityZone: this.#zones[index % this.#zones.length],
      link: engine,
    };
  }

  #pool(index: number, states: Readonly<Record<string, "draining">>) {
    const name = modelName(index);
    return {
      name,
      kind: "engine" as const,
      models: [name],
      engine: {
        slots: this.#options.engineSlots ?? 16,
        prefillTokensPerSecond: 20_000,
        millisecondsBetweenTokens: 20,
        keyValueCacheTokens: 100_000,
        roleChangeSeconds: 1,
        resumesStreams: true,
      },
      endpoints: this.endpoints.filter((each) => each.pool === name).map(
        ({ id, availabilityZone }) => ({
          id,
          availabilityZone,
          side: sideAddress(id),
          state: states[id] ?? ("serving" as const),
        }),
      ),
    };
  }

  #connect(process: string) {
    const faults = noFaults();
    this.logFaults.set(process, faults);
    return this.log.connect(faults);
  }
}

function modelName(index: number): string {
  return `model-${index}`;
}
