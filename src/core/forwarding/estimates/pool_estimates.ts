import type { TimerService } from "../../time/mod.ts";
import type { ServiceName } from "../../identity/mod.ts";
import { HandoverTime } from "./handover_time.ts";
import { PrefillSpeed } from "./prefill_speed.ts";

/** Estimates for the engines of one pool, which are of one kind. */
export interface PoolEstimates {
  readonly prefill: PrefillSpeed;
  readonly handover: HandoverTime;
}

/** Report of a pool's prefill costs to peers: sample count, then the costs. */
export type PrefillSpeedReport = readonly [
  pool: string,
  samples: number,
  callMilliseconds: number,
  millisecondsPerToken: number,
  millisecondsPerMillionAttentionPairs: number,
];
const REPORT_LENGTH = 5;

/** Estimates by pool. */
export class EngineEstimates {
  readonly #pools = new Map<string, PoolEstimates>();
  readonly #now: (() => number) | undefined;

  /** Without a timer, costs from peers are used for ever. */
  constructor(timer?: Pick<TimerService, "now">) {
    this.#now = timer && (() => timer.now());
  }

  /** The pool's estimates, created on first use. */
  forPool(pool: ServiceName): PoolEstimates {
    let estimates = this.#pools.get(pool);
    if (estimates === undefined) {
      estimates = {
        prefill: new PrefillSpeed(this.#now),
        handover: new HandoverTime(),
      };
      this.#pools.set(pool, estimates);
    }
    return estimates;
  }

  /** This entry's own costs, for its peers. */
  report(): PrefillSpeedReport[] {
    return [...this.#pools].flatMap(([pool, { prefill }]) => {
      const costs = prefill.ownCosts;
      if (costs === undefined) return [];
      return [
        [
          pool,
          prefill.sampleCount,
          costs.callMilliseconds,
          costs.millisecondsPerToken,
          costs.millisecondsPerMillionAttentionPairs,
        ] as const,
      ];
    });
  }

  /** Drops costs that no peer has repeated in time. */
  dropExpiredCosts(): void {
    for (const { prefill } of this.#pools.values()) prefill.dropExpiredCosts();
  }

  /** Records a peer's costs. */
  recordPeerReport(report: PrefillSpeedReport): void {
    const [
      pool,
      samples,
      callMilliseconds,
      millisecondsPerToken,
      millisecondsPerMillionAttentionPairs,
    ] = report;
    this.forPool(pool as ServiceName).prefill.recordPeerCosts({
      callMilliseconds,
      millisecondsPerToken,
      millisecondsPerMillionAttentionPairs,
    }, samples);
  }
}

/** Checks that the value is a report of a pool's speed. */
export function isPrefillSpeedReport(
  value: unknown,
): value is PrefillSpeedReport {
  if (!Array.isArray(value) || value.length !== REPORT_LENGTH) return false;
  const [pool, ...numbers] = value;
  return typeof pool === "string" &&
    numbers.every((each) => Number.isFinite(each) && each >= 0);
}
