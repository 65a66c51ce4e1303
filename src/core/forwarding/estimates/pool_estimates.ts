import type { ServiceName } from "../../identity/mod.ts";
import { HandoverTime } from "./handover_time.ts";
import { ReadingSpeed } from "./reading_speed.ts";

/** What is learned of the engines of one pool, which are of one kind. */
export interface PoolEstimates {
  readonly reading: ReadingSpeed;
  readonly handover: HandoverTime;
}

/** What peers are told of a pool's engines: samples, then the three costs. */
export type ToldSpeed = readonly [
  pool: string,
  samples: number,
  callMilliseconds: number,
  millisecondsPerToken: number,
  millisecondsPerMillionPairs: number,
];
const TOLD_VALUES = 5;

/** What is learned of engines, by pool. */
export class EngineEstimates {
  readonly #pools = new Map<string, PoolEstimates>();

  of(pool: ServiceName): PoolEstimates {
    let known = this.#pools.get(pool);
    if (known === undefined) {
      known = { reading: new ReadingSpeed(), handover: new HandoverTime() };
      this.#pools.set(pool, known);
    }
    return known;
  }

  /** What was learned here, for peers. */
  tell(): ToldSpeed[] {
    return [...this.#pools].flatMap(([pool, { reading }]) => {
      const costs = reading.learned;
      if (costs === undefined) return [];
      return [
        [
          pool,
          reading.sampleCount,
          costs.callMilliseconds,
          costs.millisecondsPerToken,
          costs.millisecondsPerMillionPairs,
        ] as const,
      ];
    });
  }

  /** Takes what a peer has learned; what is malformed is passed over. */
  peerTold(told: unknown): void {
    if (!isToldSpeed(told)) return;
    const [pool, samples, call, token, pairs] = told;
    this.of(pool as ServiceName).reading.peerLearned({
      callMilliseconds: call,
      millisecondsPerToken: token,
      millisecondsPerMillionPairs: pairs,
    }, samples);
  }
}

function isToldSpeed(value: unknown): value is ToldSpeed {
  if (!Array.isArray(value) || value.length !== TOLD_VALUES) return false;
  const [pool, ...figures] = value;
  return typeof pool === "string" &&
    figures.every((figure) => Number.isFinite(figure) && figure >= 0);
}
