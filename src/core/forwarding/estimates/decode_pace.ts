import type { EndpointId, ServiceName } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import {
  addWork,
  type FleetLoad,
  type OpenWork,
} from "../endpoints/fleet_load.ts";
import { InlinePrefillWork } from "./inline_prefill_work.ts";
import { PauseModel } from "./pause_model.ts";
import { type OpenStreams, StreamPauses } from "./stream_pauses.ts";

/**
 * Weight of one pause in an engine's ratio. It is higher for pauses that are
 * far from the ratio: with the higher weight for all pauses, noise moved
 * responses between equal engines; with the lower one an engine that had become
 * slow kept getting responses for seconds.
 */
const ORDINARY_WEIGHT = 0.05;
const FAR_WEIGHT = 0.2;
const MIN_FAR_LOGARITHM = Math.log(1.6);
/**
 * Bounds of one pause's ratio to the prediction. They are symmetric, so that a
 * delayed event and the early one behind it cancel out.
 */
const MAX_RATIO = 4;
/**
 * Half-life of an engine's ratio. An engine that gets no responses yields no
 * pauses and has to be tried again.
 */
const HALF_LIFE_MILLISECONDS = 1_000;
/**
 * Time between two delayed responses of an entry, in which the other entries
 * hear of the first. Sent at once, all would go to the first engine that is
 * within its bound.
 */
const RELEASE_INTERVAL_MILLISECONDS = 15;
/**
 * Mean errors to add to a prediction that most pauses have to stay below. A
 * stream is late after one long pause.
 */
const DEVIATIONS = 2;

/** A pause between two events of a stream. */
export interface PauseSample {
  readonly milliseconds: number;
}

/** Sums of the pauses of a pool, for metrics. */
export interface PauseTotals {
  readonly pool: ServiceName;
  readonly count: number;
  readonly measuredMilliseconds: number;
  readonly predictedMilliseconds: number;
}

interface PoolPace {
  readonly model: PauseModel;
  readonly inlineWork: InlinePrefillWork;
  /** Time of the last delayed response that was sent. */
  releasedAt: number;
  count: number;
  measuredMilliseconds: number;
  predictedMilliseconds: number;
}

interface EnginePace {
  /** Decayed mean of the logarithm of measured to predicted pause. */
  logarithm: number;
  recordedAt: number;
  readonly open: OpenStreams;
}

type Engine = Pick<RegisteredEndpoint, "id" | "pool">;

/**
 * Learns how long the streams of decode engines pause between two events, from
 * the streams of this entry and the open work of all entries.
 */
export class DecodePace {
  readonly #timer: TimerService;
  readonly #load: FleetLoad;
  readonly #pools = new Map<ServiceName, PoolPace>();
  readonly #engines = new Map<EndpointId, EnginePace>();

  constructor(timer: TimerService, load: FleetLoad) {
    this.#timer = timer;
    this.#load = load;
  }

  /** Records a pause that the engine caused. */
  record(engine: Engine, { milliseconds }: PauseSample): void {
    const pool = this.#pool(engine.pool);
    const work = this.#load.total(engine.id);
    const predicted = pool.model.predict(work);
    pool.model.record(milliseconds, work);
    if (predicted === undefined || predicted <= 0) return;
    pool.count += 1;
    pool.measuredMilliseconds += milliseconds;
    pool.predictedMilliseconds += predicted;
    const pace = this.#engine(engine.id);
    const ratio = Math.min(
      MAX_RATIO,
      Math.max(1 / MAX_RATIO, milliseconds / predicted),
    );
    const previous = this.#decayedLogarithm(pace);
    const change = Math.log(ratio) - previous;
    const weight = Math.abs(change) > MIN_FAR_LOGARITHM
      ? FAR_WEIGHT
      : ORDINARY_WEIGHT;
    pace.logarithm = previous + weight * change;
    pace.recordedAt = this.#timer.now();
  }

  /**
   * Predicted pause of the engine's streams with additional work, in
   * milliseconds; undefined while the pool has too few samples.
   */
  predictPause(
    engine: Engine,
    addition: OpenWork,
    { open = this.#load.total(engine.id) }: {
      /** Open work at the engine, if the caller has it already. */
      readonly open?: OpenWork;
    } = {},
  ): number | undefined {
    const model = this.#pools.get(engine.pool)?.model;
    const predicted = model?.predict(addWork(open, addition));
    if (predicted === undefined) return undefined;
    const pace = this.#engines.get(engine.id);
    if (pace === undefined) return predicted;
    const own = predicted * Math.exp(this.#decayedLogarithm(pace));
    // Streams that have been silent for longer are in that pause already.
    const silence = pace.open.count > 0
      ? this.#timer.now() - pace.open.lastEventAt
      : 0;
    return Math.max(own, silence);
  }

  /** Factor on a predicted pause that most pauses stay below. */
  conservativeFactor(pool: ServiceName): number {
    const deviation = this.#pools.get(pool)?.model.relativeDeviation ?? 0;
    return 1 + DEVIATIONS * deviation;
  }

  /** True if another delayed response may be sent now; counts it as sent. */
  tryRelease(name: ServiceName): boolean {
    const pool = this.#pool(name);
    const now = this.#timer.now();
    if (now - pool.releasedAt < RELEASE_INTERVAL_MILLISECONDS) return false;
    pool.releasedAt = now;
    return true;
  }

  /** Recent work of this entry's prompts that could be prefilled inline. */
  inlineWork(pool: ServiceName): InlinePrefillWork {
    return this.#pool(pool).inlineWork;
  }

  /** Starts to measure the pauses of a response from the engine. */
  openStream(engine: Engine): StreamPauses {
    const pace = this.#engine(engine.id);
    return new StreamPauses({
      timer: this.#timer,
      open: pace.open,
      onPause: (milliseconds) => {
        const isSameRun = this.#engines.get(engine.id) === pace;
        if (isSameRun) this.record(engine, { milliseconds });
      },
    });
  }

  /** Pauses recorded since the start, by pool. */
  totals(): PauseTotals[] {
    return [...this.#pools].map(([pool, pace]) => ({
      pool,
      count: pace.count,
      measuredMilliseconds: pace.measuredMilliseconds,
      predictedMilliseconds: pace.predictedMilliseconds,
    }));
  }

  /** Forgets an engine whose run has ended. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#engines.delete(id);
  }

  #pool(name: ServiceName): PoolPace {
    let pool = this.#pools.get(name);
    if (pool === undefined) {
      pool = {
        model: new PauseModel(),
        inlineWork: new InlinePrefillWork(this.#timer),
        releasedAt: -Infinity,
        count: 0,
        measuredMilliseconds: 0,
        predictedMilliseconds: 0,
      };
      this.#pools.set(name, pool);
    }
    return pool;
  }

  #engine(id: EndpointId): EnginePace {
    let engine = this.#engines.get(id);
    if (engine === undefined) {
      const now = this.#timer.now();
      engine = {
        logarithm: 0,
        recordedAt: now,
        open: { count: 0, lastEventAt: now },
      };
      this.#engines.set(id, engine);
    }
    return engine;
  }

  #decayedLogarithm({ logarithm, recordedAt }: EnginePace): number {
    const age = this.#timer.now() - recordedAt;
    return logarithm * 2 ** (-age / HALF_LIFE_MILLISECONDS);
  }
}
