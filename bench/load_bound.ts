/** Upper bound of goodput, given the mix in advance and free role changes. */
import {
  type RoleCounts,
  servedValuePerSecond,
} from "../src/core/roles/mod.ts";
import type { Pool } from "../src/generated/inventory.ts";
import { ENGINE_ROLE_PROFILES, SINGLE_STREAM_SHARE } from "./engine_model.ts";
import {
  type ClassShape,
  type Deployment,
  SWING_PERIOD_SECONDS,
  swingFactor,
} from "./load_deployments.ts";

/** Fraction of a prompt that its shared document takes, if it has one. */
export const DOCUMENT_SHARE = 0.3;

/** Profiles of the engine model at a full batch. */
export const BEST_PROFILES = {
  prefill: bestProfile("prefill"),
  mixed: bestProfile("mixed"),
  decode: bestProfile("decode"),
};

function bestProfile(role: keyof typeof ENGINE_ROLE_PROFILES) {
  const { prefillShare, slotShare, interference } = ENGINE_ROLE_PROFILES[role];
  const decodeFactor = SINGLE_STREAM_SHARE +
    (1 - SINGLE_STREAM_SHARE) * slotShare;
  const promptDrag = 1 - 1 / interference;
  return { prefillShare, slotShare, decodeFactor, promptDrag };
}

function roleCompositions(engines: number): RoleCounts[] {
  const all: RoleCounts[] = [];
  for (let prefill = 0; prefill <= engines; prefill++) {
    for (let decode = 0; decode + prefill <= engines; decode++) {
      all.push({ prefill, decode, mixed: engines - prefill - decode });
    }
  }
  return all;
}

export function demandOf(
  shapes: readonly ClassShape[],
  rates: readonly number[],
) {
  return shapes.map((shape, index) => ({
    className: shape.workClass.name,
    arrivalsPerSecond: rates[index],
    promptTokens: shape.promptTokens *
      (shape.documents ? 1 - DOCUMENT_SHARE : 1),
    outputTokens: shape.outputTokens,
    value: 1,
  }));
}

/** Highest rate of requests served per second, and the roles that reach it. */
export function bestServed(
  pool: Pool,
  shapes: readonly ClassShape[],
  rates: readonly number[],
): { served: number; counts: RoleCounts } {
  const engine = pool.engine;
  if (engine === undefined) throw new Error(`Pool ${pool.name} has no engine`);
  const options = { engine, profiles: BEST_PROFILES, usableShare: 1 };
  const demand = demandOf(shapes, rates);
  const offered = rates.reduce((sum, rate) => sum + rate, 0);
  let best = { served: -1, counts: { mixed: 0, prefill: 0, decode: 0 } };
  for (const counts of roleCompositions(pool.endpoints.length)) {
    const served = servedValuePerSecond(demand, counts, options);
    if (served > best.served + 1e-9) best = { served, counts };
    if (served >= offered - 1e-9) break;
  }
  return best;
}

/** Highest request rate, in requests per second, that the mean mix can have. */
export function capacityPerSecond(deployment: Deployment, pool: Pool): number {
  const shapes = shapesOf(deployment, pool.name);
  if (pool.engine === undefined) {
    const milliseconds = shapes[0].callMilliseconds ?? 1;
    return pool.endpoints.length * deployment.serviceSlots * 1_000 /
      milliseconds;
  }
  let low = 0;
  let high = 1_000;
  while (high - low > 0.01) {
    const middle = (low + high) / 2;
    const rates = shapes.map((shape) => shape.share * middle);
    if (bestServed(pool, shapes, rates).served >= middle * 0.9999) low = middle;
    else high = middle;
  }
  return low;
}

/** Interval between the times of a period at which bounds are computed. */
const BOUND_STEP_SECONDS = 5;

function ratesOverPeriod(
  shapes: readonly ClassShape[],
  requestsPerSecond: number,
): number[][] {
  const steps = SWING_PERIOD_SECONDS / BOUND_STEP_SECONDS;
  return Array.from(
    { length: steps },
    (_, step) =>
      shapes.map((shape) =>
        requestsPerSecond * shape.share *
        swingFactor(shape, step * BOUND_STEP_SECONDS)
      ),
  );
}

/** Requests served over one period with fixed roles and optimal placement. */
function servedWith(
  counts: RoleCounts,
  pool: Pool,
  options: { shapes: readonly ClassShape[]; rates: readonly number[][] },
): number {
  const engine = pool.engine as NonNullable<Pool["engine"]>;
  const capacity = { engine, profiles: BEST_PROFILES, usableShare: 1 };
  return options.rates.reduce(
    (sum, rates) =>
      sum +
      servedValuePerSecond(demandOf(options.shapes, rates), counts, capacity),
    0,
  );
}

/** Fixed roles that serve the swinging mix best; all policies start there. */
export function bestStaticRoles(
  deployment: Deployment,
  pool: Pool,
  capacity: number,
): RoleCounts {
  const shapes = shapesOf(deployment, pool.name);
  const rates = ratesOverPeriod(shapes, capacity);
  let best = { served: -1, counts: { mixed: 0, prefill: 0, decode: 0 } };
  for (const counts of roleCompositions(pool.endpoints.length)) {
    const served = servedWith(counts, pool, { shapes, rates });
    if (served > best.served + 1e-9) best = { served, counts };
  }
  return best.counts;
}

export interface BoundOptions {
  readonly load: number;
  readonly capacities: ReadonlyMap<string, number>;
  /** Fixed roles; if absent, the best roles at each time, with free changes. */
  readonly roles?: ReadonlyMap<string, RoleCounts>;
}

/** Fraction of all requests that can be served over one period of the swing. */
export function goodputBound(
  deployment: Deployment,
  options: BoundOptions,
): number {
  let served = 0;
  let offered = 0;
  for (const pool of deployment.inventory.pools) {
    const shapes = shapesOf(deployment, pool.name);
    const capacity = options.capacities.get(pool.name) ?? 0;
    const rates = ratesOverPeriod(shapes, capacity * options.load);
    const totals = rates.map((step) =>
      step.reduce((sum, rate) => sum + rate, 0)
    );
    offered += totals.reduce((sum, total) => sum + total, 0);
    const counts = options.roles?.get(pool.name);
    if (pool.engine === undefined) {
      served += totals.reduce(
        (sum, total) => sum + Math.min(total, capacity),
        0,
      );
    } else if (counts !== undefined) {
      served += servedWith(counts, pool, { shapes, rates });
    } else {
      for (const step of rates) served += bestServed(pool, shapes, step).served;
    }
  }
  return served / offered;
}

export function shapesOf(
  deployment: Deployment,
  pool: string,
): readonly ClassShape[] {
  return deployment.shapes.filter((shape) => shape.pool === pool);
}
