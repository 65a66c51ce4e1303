import type { SuspectDigest } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";

/** Time after which a trial counts as over, in case its end was not reported. */
const TRIAL_MILLISECONDS = 3_000;

interface Trial {
  readonly holder: string;
  readonly until: number;
}

/**
 * Grants the trials of suspects, one at a time each: a suspect that has crashed
 * several endpoints at once would crash as many again before the first loss is
 * known.
 */
export class TrialIssuer {
  readonly #timer: TimerService;
  readonly #trials = new Map<SuspectDigest, Trial>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Number of trials that are granted now. */
  get size(): number {
    this.#evict();
    return this.#trials.size;
  }

  /** Grants the trial to the holder unless another one has it. */
  request(digest: SuspectDigest, holder: string): boolean {
    this.#evict();
    const trial = this.#trials.get(digest);
    if (trial !== undefined && trial.holder !== holder) return false;
    const until = this.#timer.now() + TRIAL_MILLISECONDS;
    this.#trials.set(digest, { holder, until });
    return true;
  }

  /** Ends the trial if the holder has it. */
  end(digest: SuspectDigest, holder: string): void {
    if (this.#trials.get(digest)?.holder === holder) {
      this.#trials.delete(digest);
    }
  }

  #evict(): void {
    const now = this.#timer.now();
    for (const [digest, { until }] of this.#trials) {
      if (until <= now) this.#trials.delete(digest);
    }
  }
}
