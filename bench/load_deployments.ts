/**
 * Two deployments at their current sizes, with their work classes. Sizes and
 * availability zones are those of the customers; token counts, deadlines and
 * engine rates are parameters of the model.
 */
import type { Inventory, Pool } from "../src/generated/inventory.ts";
import type { Rules, WorkClass } from "../src/generated/rules.ts";

/** Traffic profile of one work class. */
export interface ClassShape {
  readonly workClass: WorkClass;
  readonly pool: string;
  /** Mean fraction of the pool's requests. */
  readonly share: number;
  /** Half of the period with more requests: 1 first, -1 second, 0 neither. */
  readonly swing: 1 | -1 | 0;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Mean duration of a call; plain services only. */
  readonly callMilliseconds?: number;
  /** Number of documents with which the class's prompts start, if any. */
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

/** Amplitude of the swing, as a fraction of a class's mean rate. */
export const SWING_AMPLITUDE = 0.5;
/** Period of the swing; the mix reverses twice per period. */
export const SWING_PERIOD_SECONDS = 200;

interface PoolSpec {
  readonly name: string;
  readonly replicas: number;
  readonly zones: readonly string[];
  readonly engine?: Pool["engine"];
  readonly roles?: readonly ("mixed" | "prefill" | "decode")[];
}

function makePool(spec: PoolSpec): Pool {
  return {
    name: spec.name,
    kind: spec.engine ? "engine" : "service",
    models: spec.engine ? [spec.name] : undefined,
    engine: spec.engine,
    endpoints: Array.from({ length: spec.replicas }, (_, index) => ({
      id: `${spec.name}-${index + 1}`,
      availabilityZone: spec.zones[index % spec.zones.length],
      side: `127.0.0.1:${index + 1}`,
      role: spec.roles?.[index % spec.roles.length] ?? "mixed",
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

/** Weight of a role change; low, because the Koperasi weighs goodput most. */
const KOPERASI_ROLE_CHANGE_WEIGHT = 0.5;
/** Weight of a role change; the Federatie weighs role changes more. */
const FEDERATIE_ROLE_CHANGE_WEIGHT = 4;

export const KOPERASI: Deployment = {
  name: "koperasi",
  serviceSlots: 2,
  inventory: {
    region: "klang-valley",
    availabilityZones: [...KOPERASI_ZONES],
    pools: [
      makePool({
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
      makePool({ name: "member-portal", replicas: 3, zones: KOPERASI_ZONES }),
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
      makePool({
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
      makePool({ name: "member-portal", replicas: 4, zones: FEDERATIE_ZONES }),
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

/** Factor on a class's request rate at a time; a near-trapezoidal wave. */
export function swingFactor(
  shape: ClassShape,
  seconds: number,
  options: { periodSeconds?: number } = {},
): number {
  const period = options.periodSeconds ?? SWING_PERIOD_SECONDS;
  const phase = (seconds % period) / period;
  const wave = Math.max(-1, Math.min(1, 3 * Math.sin(2 * Math.PI * phase)));
  return 1 + SWING_AMPLITUDE * shape.swing * wave;
}
