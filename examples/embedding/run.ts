import {
  type CallerRequest,
  type ConfigurationContent,
  type HistoryEvent,
  identifier,
  ManualTimerService,
  type Outcome,
} from "filbertshore";
import { Fleet, type FleetEndpoint, sideAddress } from "./fleet.ts";
import { MemoryEngine } from "./memory_engine.ts";
import { MemoryLog } from "./memory_log.ts";

const ZONES: [string, ...string[]] = ["shah-alam", "petaling", "klang-port"];
const REGION = "klang-valley";
const POOL = "triage-llm";
const ENTRIES = 3;
const ENDPOINTS = 6;
const REQUESTS = 30;
/** Time for the claim, the publication, its verdict and the sides' reports. */
const START_UP_MILLISECONDS = 30_000;
const RUN_MILLISECONDS = 30_000;

/** Result of a run; runs with the same seed have equal results. */
export interface ExampleResult {
  readonly outcomes: readonly Outcome[];
  readonly answers: readonly string[];
  readonly history: readonly HistoryEvent[];
  readonly configurationVersions: readonly number[];
}

/**
 * Runs three entries, six engines with their sides and a log in one process, on
 * virtual time. Publishes an inventory, sends thirty requests, and drains an
 * engine with a second publication while they run.
 */
export async function runExample(seed: number): Promise<ExampleResult> {
  const timer = new ManualTimerService();
  const log = new MemoryLog(timer);
  const history: HistoryEvent[] = [];
  const endpoints = makeEndpoints(timer);
  const fleet = new Fleet({
    timer,
    seed,
    connectLog: () => log,
    region: REGION,
    availabilityZones: ZONES,
    entries: ENTRIES,
    endpoints,
    observe: (event) => history.push(event),
  });
  fleet.start();
  void fleet.publish(makeContent(endpoints, []), 0);
  await timer.advance(START_UP_MILLISECONDS);

  const callers = sendRequests(fleet);
  const version = fleet.entries[0].configurationVersion;
  void fleet.publish(makeContent(endpoints, [endpoints[0].id]), version);
  await timer.advance(RUN_MILLISECONDS);
  fleet.halt();
  return {
    outcomes: callers.outcomes,
    answers: callers.answers,
    history,
    configurationVersions: fleet.entries.map((entry) =>
      entry.configurationVersion
    ),
  };
}

function makeEndpoints(timer: ManualTimerService): FleetEndpoint[] {
  return Array.from({ length: ENDPOINTS }, (_, index) => ({
    id: `triage-${index}`,
    pool: POOL,
    availabilityZone: ZONES[index % ZONES.length],
    link: new MemoryEngine({
      timer,
      models: [POOL],
      prefillMilliseconds: 80,
      millisecondsBetweenTokens: 20,
      tokens: 40,
    }),
  }));
}

/** Makes a configuration in which the given endpoints are draining. */
function makeContent(
  endpoints: readonly FleetEndpoint[],
  draining: readonly string[],
): ConfigurationContent {
  return {
    inventory: {
      region: REGION,
      availabilityZones: ZONES,
      pools: [{
        name: POOL,
        kind: "engine",
        models: [POOL],
        engine: {
          slots: 8,
          prefillTokensPerSecond: 8_000,
          millisecondsBetweenTokens: 20,
          keyValueCacheTokens: 100_000,
          roleChangeSeconds: 5,
          resumesStreams: true,
        },
        endpoints: endpoints.map(({ id, availabilityZone }) => ({
          id,
          availabilityZone,
          side: sideAddress(id),
          state: draining.includes(id) ? "draining" : "serving",
        })),
      }],
    },
    rules: {
      classes: [{ name: "urgent", priority: 0, deadlineSeconds: 10 }],
      defaultClass: "urgent",
      planner: { enabled: false },
    },
  };
}

function sendRequests(fleet: Fleet) {
  const outcomes: Outcome[] = [];
  const answers: string[] = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    answers[index] = "";
    fleet.submit(index % ENTRIES, makeRequest(index), {
      token: (text) => {
        answers[index] += text;
        return true;
      },
      response: () => {},
      finish: (outcome) => {
        outcomes[index] = outcome;
      },
    });
  }
  return { outcomes, answers };
}

function makeRequest(index: number): CallerRequest {
  return {
    requestId: identifier(`request-${index}`),
    workspace: identifier(`workspace-${index % 5}`),
    headers: {},
    work: {
      kind: "generation",
      model: POOL,
      messages: [{ role: "user", content: `Lorry ${index} at the river` }],
      mostOutputTokens: 40,
    },
  };
}
