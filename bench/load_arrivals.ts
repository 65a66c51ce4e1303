/** The requests of one run, the same for every policy that is measured. */
import { type Random, seededRandom } from "../src/core/random/mod.ts";
import {
  type ClassShape,
  type Deployment,
  SWING_PERIOD_SECONDS,
  swingFactor,
} from "./load_deployments.ts";

export interface Arrival {
  readonly at: number;
  readonly shape: ClassShape;
  readonly workspace: string;
  readonly entry: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly callMilliseconds: number;
  readonly document?: string;
}

export interface ArrivalOptions {
  readonly seed: number;
  readonly load: number;
  readonly seconds: number;
  readonly capacities: ReadonlyMap<string, number>;
  readonly entries: number;
  readonly workspaces?: number;
  /** Time from one turn of the mix to the second next. */
  readonly periodSeconds?: number;
}

/** Spread of lengths: deviation of the logarithm. */
const LENGTH_SPREAD = 0.4;
/** Spread of the times of plain services' calls. */
const CALL_SPREAD = 0.3;
const WORKSPACES = 60;

/** Arrivals of all classes in the order of time. */
export function makeArrivals(
  deployment: Deployment,
  options: ArrivalOptions,
): Arrival[] {
  const random = seededRandom(options.seed * 7_919 + 17);
  const phase = random() * (options.periodSeconds ?? SWING_PERIOD_SECONDS);
  const arrivals: Arrival[] = [];
  for (const shape of deployment.shapes) {
    const capacity = options.capacities.get(shape.pool) ?? 0;
    const rate = capacity * options.load * shape.share;
    arrivals.push(...arrivalsOf(shape, { ...options, random, phase, rate }));
  }
  return arrivals.sort((one, other) => one.at - other.at);
}

function arrivalsOf(
  shape: ClassShape,
  options: ArrivalOptions & { random: Random; phase: number; rate: number },
): Arrival[] {
  const { random, rate } = options;
  const arrivals: Arrival[] = [];
  const highest = rate * 1.5;
  let seconds = 0;
  for (;;) {
    seconds -= Math.log(1 - random()) / highest;
    if (seconds >= options.seconds) return arrivals;
    const factor = swingFactor(shape, seconds + options.phase, options);
    if (random() * highest > rate * factor) continue;
    arrivals.push(arrivalAt(seconds * 1_000, shape, options));
  }
}

function arrivalAt(
  at: number,
  shape: ClassShape,
  options: ArrivalOptions & { random: Random },
): Arrival {
  const { random } = options;
  const call = (shape.callMilliseconds ?? 0) * logNormal(random, CALL_SPREAD);
  return {
    at,
    shape,
    workspace: `workspace-${skewed(random, options.workspaces ?? WORKSPACES)}`,
    entry: Math.floor(random() * options.entries),
    promptTokens: Math.ceil(
      shape.promptTokens * logNormal(random, LENGTH_SPREAD),
    ),
    outputTokens: Math.max(
      1,
      Math.ceil(shape.outputTokens * logNormal(random, LENGTH_SPREAD)),
    ),
    callMilliseconds: call,
    document: shape.documents === undefined
      ? undefined
      : `${shape.workClass.name}-${skewed(random, shape.documents)}`,
  };
}

/** A few are asked for often, most seldom. */
function skewed(random: Random, count: number): number {
  return Math.floor(count * random() ** 2);
}

/** Log-normal with mean 1. */
function logNormal(random: Random, spread: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return Math.exp(spread * normal - spread * spread / 2);
}
