/** Generates the requests of one run, identical for every policy. */
import { type Random, seededRandom } from "../src/core/random/mod.ts";
import {
  type ClassShape,
  type Deployment,
  SWING_PERIOD_SECONDS,
  swingFactor,
} from "./load_deployments.ts";

export interface LoadArrival {
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
  /** Period of the swing; the mix reverses twice per period. */
  readonly periodSeconds?: number;
}

/** Standard deviation of the logarithm of prompt and output lengths. */
const LENGTH_LOG_DEVIATION = 0.4;
/** Standard deviation of the logarithm of call times of plain services. */
const CALL_TIME_LOG_DEVIATION = 0.3;
const WORKSPACES = 60;

/** Generates the arrivals of all classes, ordered by time. */
export function makeArrivals(
  deployment: Deployment,
  options: ArrivalOptions,
): LoadArrival[] {
  const random = seededRandom(options.seed * 7_919 + 17);
  const phase = random() * (options.periodSeconds ?? SWING_PERIOD_SECONDS);
  const arrivals: LoadArrival[] = [];
  for (const shape of deployment.shapes) {
    const capacity = options.capacities.get(shape.pool) ?? 0;
    const rate = capacity * options.load * shape.share;
    arrivals.push(
      ...makeClassArrivals(shape, { ...options, random, phase, rate }),
    );
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

function makeClassArrivals(
  shape: ClassShape,
  options: ArrivalOptions & { random: Random; phase: number; rate: number },
): LoadArrival[] {
  const { random, rate } = options;
  const arrivals: LoadArrival[] = [];
  const maxRate = rate * 1.5;
  let seconds = 0;
  for (;;) {
    seconds -= Math.log(1 - random()) / maxRate;
    if (seconds >= options.seconds) return arrivals;
    const factor = swingFactor(shape, seconds + options.phase, options);
    if (random() * maxRate > rate * factor) continue;
    arrivals.push(makeArrival(seconds * 1_000, shape, options));
  }
}

function makeArrival(
  at: number,
  shape: ClassShape,
  options: ArrivalOptions & { random: Random },
): LoadArrival {
  const { random } = options;
  const callMilliseconds = (shape.callMilliseconds ?? 0) *
    logNormal(random, CALL_TIME_LOG_DEVIATION);
  return {
    at,
    shape,
    workspace: `workspace-${
      skewedIndex(random, options.workspaces ?? WORKSPACES)
    }`,
    entry: Math.floor(random() * options.entries),
    promptTokens: Math.ceil(
      shape.promptTokens * logNormal(random, LENGTH_LOG_DEVIATION),
    ),
    outputTokens: Math.max(
      1,
      Math.ceil(shape.outputTokens * logNormal(random, LENGTH_LOG_DEVIATION)),
    ),
    callMilliseconds,
    document: shape.documents === undefined
      ? undefined
      : `${shape.workClass.name}-${skewedIndex(random, shape.documents)}`,
  };
}

/** Random index below `count`, skewed towards low indexes. */
function skewedIndex(random: Random, count: number): number {
  return Math.floor(count * random() ** 2);
}

/** Log-normal random value with mean 1. */
function logNormal(random: Random, deviation: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return Math.exp(deviation * normal - deviation * deviation / 2);
}
