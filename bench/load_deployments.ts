/**
 * The two deployments of the brief at today's sizes, with their classes of
 * work. Sizes and zones are the brief's; token counts, deadlines and engine
 * rates are assumptions, stated here once.
 */
import type { Inventory, Pool } from "../src/generated/inventory.ts";
import type { Rules, WorkClass } from "../src/generated/rules.ts";

/** How the requests of one class look. */
export interface ClassShape {
  readonly workClass: WorkClass;
  readonly pool: string;
  /** Share of the pool's requests, on average. */
  readonly share: number;
  /** Sign of the swing: which half of a period the class is strong in. */
  readonly swing: 1 | -1 | 0;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Plain services only: mean time of a call, milliseconds. */
  readonly callMilliseconds?: number;
  /** Documents that many of the class's prompts begin with. */
  readonly documents?: number;
  readonly idempotent: boolean;
}

export interface Deployment {
  readonly name: "koperasi" | "federatie";
  readonly inventory: Inventory;
  readonly rules: Rules;
  readonly shapes: readonly ClassShape[];
  /** Slots of one replica of each plain service. */
  readonly serviceSlots: number;
}

/** Share by which the mix swings to either side. */
export const SWING_SHARE = 0.5;
/** Time from one turn of the mix to the second next. */
export const SWING_PERIOD_SECONDS = 200;

interface PoolPlan {
  readonly name: string;
  readonly replicas: number;
  readonly zones: readonly string[];
  readonly engine?: Pool["engine"];
  readonly roles?: readonly ("mixed" | "prefill" | "decode")[];
}

function poolOf(plan: PoolPlan): Pool {
  return {
    name: plan.name,
    kind: plan.engine ? "engine" : "service",
    models: plan.engine ? [plan.name] : undefined,
    engine: plan.engine,
    endpoints: Array.from({ length: plan.replicas }, (_, index) => ({
      id: `${plan.name}-${index + 1}`,
      availabilityZone: plan.zones[index % plan.zones.length],
      side: `127.0.0.1:${index + 1}`,
      role: plan.roles?.[index % plan.roles.length] ?? "mixed",
    })),
  };
}

const KOPERASI_ZONES = ["shah-alam", "petaling", "klang-port"] as const;

const KOPERASI_CLASSES: [WorkClass, ...WorkClass[]] = [
  {
    name: "alert",
    priority: 0,
    deadlineSeconds: 6,
    firstTokenSeconds: 1,
    share: 0.4,
    expectedOutputTokens: 80,
  },
  {
    name: "lookup",
    priority: 2,
    deadlineSeconds: 3,
    expectedOutputTokens: 500,
  },
  {
    name: "report",
    priority: 3,
    deadlineSeconds: 15,
    share: 0.2,
    expectedOutputTokens: 220,
  },
  {
    name: "letter",
    priority: 6,
    deadlineSeconds: 45,
    share: 0.1,
    expectedOutputTokens: 600,
    mayPause: true,
  },
  {
    name: "summary",
    priority: 8,
    deadlineSeconds: 60,
    share: 0.1,
    expectedOutputTokens: 350,
    mayPause: true,
  },
];

/** Weight of a role change: the Koperasi weighs goodput most. */
const KOPERASI_ROLE_CHANGE_WEIGHT = 0.5;
/** The Federatie weighs role changes more. */
const FEDERATIE_ROLE_CHANGE_WEIGHT = 4;

export const KOPERASI: Deployment = {
  name: "koperasi",
  serviceSlots: 2,
  inventory: {
    region: "klang-valley",
    availabilityZones: [...KOPERASI_ZONES],
    pools: [
      poolOf({
        name: "triage-llm",
        replicas: 10,
        zones: KOPERASI_ZONES,
        roles: ["mixed", "decode", "prefill"],
        engine: {
          slots: 16,
          prefillTokensPerSecond: 8_000,
          millisecondsBetweenTokens: 20,
          keyValueCacheTokens: 120_000,
          roleChangeSeconds: 8,
          checksFencing: true,
          resumesStreams: true,
        },
      }),
      poolOf({ name: "member-portal", replicas: 3, zones: KOPERASI_ZONES }),
    ],
  },
  rules: {
    classes: KOPERASI_CLASSES as Rules["classes"],
    defaultClass: "report",
    planner: { roleChangeWeight: KOPERASI_ROLE_CHANGE_WEIGHT },
  },
  shapes: [
    {
      workClass: KOPERASI_CLASSES[0],
      pool: "triage-llm",
      share: 0.35,
      swing: 0,
      promptTokens: 300,
      outputTokens: 80,
      idempotent: true,
    },
    {
      workClass: KOPERASI_CLASSES[2],
      pool: "triage-llm",
      share: 0.33,
      swing: -1,
      promptTokens: 800,
      outputTokens: 220,
      idempotent: true,
    },
    {
      workClass: KOPERASI_CLASSES[3],
      pool: "triage-llm",
      share: 0.12,
      swing: -1,
      promptTokens: 300,
      outputTokens: 600,
      idempotent: true,
    },
    {
      workClass: KOPERASI_CLASSES[4],
      pool: "triage-llm",
      share: 0.2,
      swing: 1,
      promptTokens: 7_000,
      outputTokens: 300,
      documents: 24,
      idempotent: true,
    },
    {
      workClass: KOPERASI_CLASSES[1],
      pool: "member-portal",
      share: 1,
      swing: 0,
      promptTokens: 0,
      outputTokens: 0,
      callMilliseconds: 500,
      idempotent: true,
    },
  ],
};

const FEDERATIE_ZONES = [
  "gent-hall",
  "antwerpen-hall",
  "leuven-hall",
  "brussel-hall",
] as const;

const FEDERATIE_CLASSES: [WorkClass, ...WorkClass[]] = [
  {
    name: "foreman",
    priority: 0,
    deadlineSeconds: 8,
    firstTokenSeconds: 1,
    share: 0.4,
    expectedOutputTokens: 120,
  },
  {
    name: "permit",
    priority: 2,
    deadlineSeconds: 3,
    expectedOutputTokens: 500,
  },
  {
    name: "verdict",
    priority: 4,
    deadlineSeconds: 40,
    share: 0.2,
    expectedOutputTokens: 60,
    mayPause: true,
  },
  {
    name: "advice",
    priority: 6,
    deadlineSeconds: 45,
    share: 0.1,
    expectedOutputTokens: 450,
    mayPause: true,
  },
];

export const FEDERATIE: Deployment = {
  name: "federatie",
  serviceSlots: 2,
  inventory: {
    region: "be-flanders",
    availabilityZones: [...FEDERATIE_ZONES],
    pools: [
      poolOf({
        name: "relining-assistant",
        replicas: 6,
        zones: FEDERATIE_ZONES,
        roles: ["mixed", "decode", "prefill"],
        engine: {
          slots: 16,
          prefillTokensPerSecond: 8_000,
          millisecondsBetweenTokens: 20,
          keyValueCacheTokens: 120_000,
          roleChangeSeconds: 10,
          checksFencing: false,
          resumesStreams: true,
        },
      }),
      poolOf({ name: "member-portal", replicas: 4, zones: FEDERATIE_ZONES }),
    ],
  },
  rules: {
    classes: FEDERATIE_CLASSES as Rules["classes"],
    defaultClass: "advice",
    planner: { roleChangeWeight: FEDERATIE_ROLE_CHANGE_WEIGHT },
  },
  shapes: [
    {
      workClass: FEDERATIE_CLASSES[0],
      pool: "relining-assistant",
      share: 0.35,
      swing: 0,
      promptTokens: 400,
      outputTokens: 120,
      idempotent: true,
    },
    {
      workClass: FEDERATIE_CLASSES[2],
      pool: "relining-assistant",
      share: 0.3,
      swing: 1,
      promptTokens: 9_000,
      outputTokens: 60,
      idempotent: true,
    },
    {
      workClass: FEDERATIE_CLASSES[3],
      pool: "relining-assistant",
      share: 0.35,
      swing: -1,
      promptTokens: 1_000,
      outputTokens: 450,
      documents: 24,
      idempotent: true,
    },
    {
      workClass: FEDERATIE_CLASSES[1],
      pool: "member-portal",
      share: 1,
      swing: 0,
      promptTokens: 0,
      outputTokens: 0,
      callMilliseconds: 500,
      idempotent: false,
    },
  ],
};

export const DEPLOYMENTS: readonly Deployment[] = [KOPERASI, FEDERATIE];

/** Factor on a class's rate at a time: a trapezoid with quick turns. */
export function swingFactor(
  shape: ClassShape,
  seconds: number,
  options: { periodSeconds?: number } = {},
): number {
  const period = options.periodSeconds ?? SWING_PERIOD_SECONDS;
  const phase = (seconds % period) / period;
  const wave = Math.max(-1, Math.min(1, 3 * Math.sin(2 * Math.PI * phase)));
  return 1 + SWING_SHARE * shape.swing * wave;
}
