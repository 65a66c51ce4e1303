import type { EndpointId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/** Weight of one prefill in an engine's mean. */
const SAMPLE_WEIGHT = 0.3;
/**
 * Bounds of one prefill's ratio. A higher ratio makes no difference to
 * placement, and without the bound one stall would outweigh dozens of prefills.
 */
const MIN_RATIO = 0.5;
const MAX_RATIO = 8;
/**
 * Ratio up to which an engine counts as normal, since predictions vary by as
 * much between prompts. Engines that become slow do so by a factor of four or
 * more.
 */
const MAX_ORDINARY_RATIO = 1.6;
/**
 * Half-life of an engine's measurements. An engine that is avoided yields no
 * new ones and has to be tried again eventually.
 */
const HALF_LIFE_MILLISECONDS = 2_000;

interface SlownessMean {
  /** Decayed mean of the logarithm of measured to predicted time. */
  logarithm: number;
  /** Time of the last measurement. */
  at: number;
}

/**
 * Detects engines that prefill more slowly than their pool. Open work is
 * estimated at the pool's speed, so a slow engine would otherwise look as free
 * as others.
 */
export class EngineSlowness {
  readonly #timer: TimerService;
  readonly #means = new Map<EndpointId, SlownessMean>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Factor of the engine's work relative to its pool; 1 for normal engines. */
  factor(engine: EndpointId): number {
    const own = this.#decayedLogarithm(engine);
    if (own <= Math.log(MAX_ORDINARY_RATIO)) return 1;
    const ratio = Math.exp(own - this.#medianLogarithm());
    return ratio > MAX_ORDINARY_RATIO ? ratio : 1;
  }

  /**
   * Speed of the engine relative to its pool; undefined while there is no sign
   * that it differs.
   */
  speed(engine: EndpointId): number | undefined {
    const factor = this.factor(engine);
    return factor === 1 ? undefined : 1 / factor;
  }

  /** Records a prefill's measured time and the time predicted for the pool. */
  record(
    engine: EndpointId,
    times: { readonly milliseconds: number; readonly predicted: number },
  ): void {
    const ratio = Math.min(
      MAX_RATIO,
      Math.max(MIN_RATIO, times.milliseconds / times.predicted),
    );
    const previous = this.#decayedLogarithm(engine);
    const logarithm = previous + SAMPLE_WEIGHT * (Math.log(ratio) - previous);
    this.#means.set(engine, { logarithm, at: this.#timer.now() });
  }

  /** Forgets an engine whose run has ended. */
  forget({ id }: { readonly id: EndpointId }): void {
    this.#means.delete(id);
  }

  /**
   * Median over the engines. Predictions may be wrong for all of them alike,
   * for example after parts assumed to be cached were evicted; that makes none
   * of them slow. Without the median, callers were refused while engines had
   * capacity.
   */
  #medianLogarithm(): number {
    const all = [...this.#means.keys()].map((each) =>
      this.#decayedLogarithm(each)
    );
    all.sort((one, other) => one - other);
    return Math.max(0, all[(all.length - 1) >> 1] ?? 0);
  }

  #decayedLogarithm(engine: EndpointId): number {
    const mean = this.#means.get(engine);
    if (mean === undefined) return 0;
    const age = this.#timer.now() - mean.at;
    return mean.logarithm * 2 ** (-age / HALF_LIFE_MILLISECONDS);
  }
}
