import type { EndpointId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/** Weight of one reading in an engine's mean. */
const SAMPLE_WEIGHT = 0.3;
/**
 * Bounds of one reading's ratio. What is slower than the upper one is as bad
 * for placing; without it a single silence would count for dozens of readings.
 */
const MIN_RATIO = 0.5;
const MAX_RATIO = 8;
/**
 * Ratio up to which an engine passes for one of its kind: predictions are out
 * by as much from one prompt to the next. Engines that turn slow do so by a
 * factor of four or more.
 */
const MAX_ORDINARY_RATIO = 1.6;
/**
 * Time in which what was seen of an engine counts for half. An engine that is
 * avoided shows nothing new, and has to be tried again at some point.
 */
const HALF_LIFE_MILLISECONDS = 2_000;

interface SlownessMean {
  /** Mean of the logarithms of measured by predicted time. */
  logarithm: number;
  at: number;
}

/**
 * Engines that read slower than their kind. Their open work is estimated at the
 * pool's speed, so that a slow engine would look as free as the others.
 */
export class EngineSlowness {
  readonly #timer: TimerService;
  readonly #means = new Map<EndpointId, SlownessMean>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** What to multiply the time of work at the engine with; 1 for most. */
  factor(engine: EndpointId): number {
    const own = this.#logarithm(engine);
    if (own <= Math.log(MAX_ORDINARY_RATIO)) return 1;
    const ratio = Math.exp(own - this.#medianLogarithm());
    return ratio > MAX_ORDINARY_RATIO ? ratio : 1;
  }

  /** A reading took so long, against what the engine's kind would take. */
  took(
    engine: EndpointId,
    times: { readonly milliseconds: number; readonly predicted: number },
  ): void {
    const ratio = Math.min(
      MAX_RATIO,
      Math.max(MIN_RATIO, times.milliseconds / times.predicted),
    );
    const previous = this.#logarithm(engine);
    const decayedLogarithm = previous +
      SAMPLE_WEIGHT * (Math.log(ratio) - previous);
    this.#means.set(engine, {
      logarithm: decayedLogarithm,
      at: this.#timer.now(),
    });
  }

  forget({ id }: { readonly id: EndpointId }): void {
    this.#means.delete(id);
  }

  /**
   * The engine in the middle. Predictions may be out for all engines alike, as
   * where parts that are taken for kept have been dropped: that makes none of
   * them slow. Taken so, callers are refused beside engines that have room:
   * worth of a calm day 0.288, and 0.460 by the engine in the middle.
   */
  #medianLogarithm(): number {
    const all = [...this.#means.keys()].map((each) => this.#logarithm(each));
    all.sort((one, other) => one - other);
    return Math.max(0, all[(all.length - 1) >> 1] ?? 0);
  }

  #logarithm(engine: EndpointId): number {
    const mean = this.#means.get(engine);
    if (mean === undefined) return 0;
    const age = this.#timer.now() - mean.at;
    return mean.logarithm * 2 ** (-age / HALF_LIFE_MILLISECONDS);
  }
}
