/**
 * Cost of one decision (admission, placement and release) by the size of the
 * fleet and of the rules: `npm run bench:decision-cost`.
 */
import process from "node:process";
import {
  type AvailabilityZoneId,
  type EndpointId,
  identifier,
  type RequestId,
  type WorkClassName,
  type WorkspaceId,
} from "../src/core/identity/mod.ts";
import { seededRandom } from "../src/core/random/mod.ts";
import type {
  CallerRequest,
  RequestProfile,
} from "../src/core/requests/mod.ts";
import { classify, CompiledRules } from "../src/core/rules/mod.ts";
import { createScheduler, type Scheduler } from "../src/core/scheduling/mod.ts";
import { ManualTimerService } from "../src/core/time/mod.ts";
import type { Inventory } from "../src/generated/inventory.ts";
import type { Rules } from "../src/generated/rules.ts";

const REPLICA_COUNTS = [10, 100, 1_000, 12_000];
const WORKSPACES = 3_400;
const ZONES = 43;
const WARM_UP_DECISIONS = 4_000;
const MEASURED_DECISIONS = 20_000;
const IN_FLIGHT = 8;
/** Virtual time between rounds, enough for ten engines to prefill 8 prompts. */
const ROUND_MILLISECONDS = 100;

function makeInventory(replicas: number): Inventory {
  const zones = Array.from({ length: ZONES }, (_, index) => `zone-${index}`);
  return {
    region: "region",
    availabilityZones: zones as Inventory["availabilityZones"],
    pools: [{
      name: "pool",
      kind: "engine",
      models: ["model"],
      engine: {
        slots: 16,
        prefillTokensPerSecond: 8_000,
        millisecondsBetweenTokens: 20,
        keyValueCacheTokens: 120_000,
        roleChangeSeconds: 8,
      },
      endpoints: Array.from({ length: replicas }, (_, index) => ({
        id: `endpoint-${index}`,
        availabilityZone: zones[index % ZONES],
        side: `127.0.0.1:${1 + index % 65_000}`,
      })),
    }],
  };
}

function makeRules(workspaces: number): Rules {
  return {
    defaultClass: "bulk",
    classes: [
      { name: "urgent", priority: 0, deadlineSeconds: 6 },
      { name: "normal", priority: 3, deadlineSeconds: 20 },
      { name: "bulk", priority: 6, deadlineSeconds: 60 },
    ],
    matches: Array.from({ length: workspaces }, (_, index) => ({
      class: ["urgent", "normal", "bulk"][index % 3],
      workspace: `workspace-${index}`,
    })),
  };
}

function makeRequest(index: number): CallerRequest {
  return {
    requestId: identifier<RequestId>(`request-${index}`),
    workspace: identifier<WorkspaceId>(`workspace-${index % WORKSPACES}`),
    work: {
      kind: "generation",
      model: "model",
      messages: [],
      mostOutputTokens: 200,
    },
    headers: {},
  };
}

const NO_ENDPOINTS: ReadonlySet<EndpointId> = new Set();

function makeProfile(
  request: CallerRequest,
  className: string,
  deadline: number,
): RequestProfile {
  return {
    requestId: request.requestId,
    workspace: request.workspace,
    className: identifier<WorkClassName>(className),
    pool: "pool",
    kind: "generation",
    promptTokens: 300,
    mostOutputTokens: 200,
    deliveredTokens: 0,
    deadline,
    prefixHashes: [],
    idempotent: true,
    excluded: NO_ENDPOINTS,
    availabilityZone: identifier<AvailabilityZoneId>("zone-0"),
  };
}

interface Cost {
  readonly microseconds: number;
  readonly worstMicroseconds: number;
  readonly heapBytes: number;
}

/** Makes decisions in rounds, advancing virtual time as at a busy entry. */
async function measure(
  scheduler: Scheduler,
  options: { timer: ManualTimerService; rules: Rules; decisions: number },
): Promise<Cost> {
  const { timer, rules, decisions } = options;
  const compiled = new CompiledRules(rules);
  const rounds = decisions / IN_FLIGHT;
  let totalNanoseconds = 0;
  const roundTimes: number[] = [];
  const heapBefore = process.memoryUsage().heapUsed;
  for (let round = 0; round < rounds; round++) {
    const now = timer.now();
    const startedAt = process.hrtime.bigint();
    const waiting = [];
    for (let index = 0; index < IN_FLIGHT; index++) {
      const request = makeRequest(round * IN_FLIGHT + index);
      const { name } = classify(request, rules, { compiled });
      const submitted = scheduler.submit(
        makeProfile(request, name, now + 30_000),
      );
      if (submitted.isOk()) waiting.push(submitted.value);
    }
    for (const request of waiting) {
      const placed = await request.placed;
      if (placed.isErr()) continue;
      placed.value.release({
        result: "answered",
        tokens: 100,
        totalMilliseconds: 1_500,
      });
    }
    const elapsedNanoseconds = Number(process.hrtime.bigint() - startedAt);
    totalNanoseconds += elapsedNanoseconds;
    roundTimes.push(elapsedNanoseconds);
    await timer.advance(ROUND_MILLISECONDS);
  }
  roundTimes.sort((a, b) => a - b);
  const worst = roundTimes[Math.floor(roundTimes.length * 0.99)];
  return {
    microseconds: totalNanoseconds / 1_000 / decisions,
    worstMicroseconds: worst / 1_000 / IN_FLIGHT,
    heapBytes: process.memoryUsage().heapUsed - heapBefore,
  };
}

async function measureCost(replicas: number): Promise<Cost> {
  const timer = new ManualTimerService();
  const scheduler = createScheduler({
    timer,
    random: seededRandom(1),
    availabilityZone: "zone-0",
    limits: { mostQueued: 1_000, mostQueuedPerWorkspace: 100 },
  });
  const rules = makeRules(WORKSPACES);
  scheduler.configure(makeInventory(replicas), rules);
  await measure(scheduler, { timer, rules, decisions: WARM_UP_DECISIONS });
  return await measure(scheduler, {
    timer,
    rules,
    decisions: MEASURED_DECISIONS,
  });
}

const results: Record<string, number> = {};
for (const replicas of REPLICA_COUNTS) {
  const cost = await measureCost(replicas);
  console.log(
    `${replicas} replicas, ${WORKSPACES} workspaces:` +
      ` ${cost.microseconds.toFixed(1)} microseconds a decision,` +
      ` ${cost.worstMicroseconds.toFixed(1)} in the slowest round of 100,` +
      ` heap ${(cost.heapBytes / 1024 / 1024).toFixed(1)} MB more afterwards`,
  );
  results[replicas] = Number(cost.microseconds.toFixed(2));
}
console.log(JSON.stringify({ decision_cost_microseconds: results }));
