import type { CrashTracker } from "../../../core/forwarding/mod.ts";
import type { SuspectDigest } from "../../../core/identity/mod.ts";
import type { TimerService } from "../../../core/time/mod.ts";
import type { TrialExchange } from "./trial_exchange.ts";

/**
 * Time between two requests for a trial that another request has; its end is
 * told to the owner only.
 */
const RETRY_MILLISECONDS = 40;
/**
 * Time for which a request with several suspects leaves trials to requests with
 * one, whose crash shows the cause.
 */
const AMBIGUOUS_WAIT_MILLISECONDS = 300;
/** Longest wait for a trial. A sound suspect is cleared in a part of it. */
const MAX_WAIT_MILLISECONDS = 2_000;
/** Share of the caller's time that its request may wait for a trial. */
const MAX_WAIT_SHARE = 0.5;
/** Requests of this entry that may wait for trials. */
const MAX_WAITING = 256;

/** Whether a request may be sent, as far as crashes are concerned. */
export type Admission = "admitted" | "blocked" | "suspected";

export interface CrashGateOptions {
  readonly timer: TimerService;
  readonly crashes: CrashTracker;
  readonly trials: Pick<
    TrialExchange,
    "createHolder" | "end" | "inquire" | "request"
  >;
}

/** Lets requests pass that crash nothing, and suspects one after another. */
export class CrashGate {
  readonly #options: CrashGateOptions;
  /** Suspects whose trial a request of this entry has or asks for. */
  readonly #taken = new Set<SuspectDigest>();
  #waiting = 0;

  constructor(options: CrashGateOptions) {
    this.#options = options;
  }

  /** Number of requests that wait for a trial. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Creates the pass of one request. */
  createPass(): CrashPass {
    return new CrashPass(this.#options, {
      taken: this.#taken,
      mayWait: () => this.#waiting < MAX_WAITING,
      onWait: (change) => this.#waiting += change,
    });
  }
}

interface SharedState {
  readonly taken: Set<SuspectDigest>;
  readonly mayWait: () => boolean;
  readonly onWait: (change: 1 | -1) => void;
}

export interface AdmitOptions {
  readonly digests: readonly SuspectDigest[];
  /** Time that the caller waits for a first byte, milliseconds. */
  readonly remainingMilliseconds: number;
  /** True once the caller has disconnected or its time is over. */
  readonly isSettled: () => boolean;
}

/** The trials of one request. */
export class CrashPass {
  readonly #options: CrashGateOptions;
  readonly #shared: SharedState;
  readonly #holder: string;
  readonly #held = new Set<SuspectDigest>();

  constructor(options: CrashGateOptions, shared: SharedState) {
    this.#options = options;
    this.#shared = shared;
    this.#holder = options.trials.createHolder();
  }

  /** True if the request lacks the trial of one of its suspects. */
  needsTrial(digests: readonly SuspectDigest[]): boolean {
    const verdict = this.#options.crashes.verdictOn(digests);
    return verdict.kind === "held" &&
      verdict.digests.some((each) => !this.#held.has(each));
  }

  /** Settles when the request may be sent, or may not. */
  async admit(options: AdmitOptions): Promise<Admission> {
    const { crashes, timer, trials } = this.#options;
    if (crashes.size === 0) return "admitted";
    const { digests, isSettled, remainingMilliseconds } = options;
    const from = timer.now();
    const until = from + Math.min(
      MAX_WAIT_MILLISECONDS,
      MAX_WAIT_SHARE * remainingMilliseconds,
    );
    while (!isSettled()) {
      const verdict = crashes.verdictOn(digests);
      if (verdict.kind === "blocked") return "blocked";
      if (verdict.kind === "free") return "admitted";
      const missing = verdict.digests.find((each) => !this.#held.has(each));
      if (missing === undefined) return "admitted";
      const mayTake = !verdict.isAmbiguous ||
        timer.now() >= from + AMBIGUOUS_WAIT_MILLISECONDS;
      if (mayTake) {
        if (await this.#take(missing)) continue;
      } else {
        await trials.inquire(missing, this.#holder);
        if (!this.needsTrial(digests)) continue;
      }
      if (timer.now() >= until || !this.#shared.mayWait()) return "suspected";
      await this.#wait();
    }
    // A trial may have been granted after the release.
    this.#endTrials();
    return "suspected";
  }

  /** Ends the trials, after a time in which a loss becomes known to all. */
  release(afterMilliseconds: number): void {
    const { timer } = this.#options;
    if (this.#held.size === 0) return;
    if (afterMilliseconds === 0) return this.#endTrials();
    timer.after(afterMilliseconds, () => this.#endTrials());
  }

  async #take(digest: SuspectDigest): Promise<boolean> {
    const { taken } = this.#shared;
    if (taken.has(digest)) return false;
    taken.add(digest);
    const isGranted = await this.#options.trials.request(digest, this.#holder);
    if (isGranted) this.#held.add(digest);
    else taken.delete(digest);
    return isGranted;
  }

  /** Waits for a change of the suspects, or until it is time to ask again. */
  async #wait(): Promise<void> {
    const { crashes, timer } = this.#options;
    this.#shared.onWait(1);
    await new Promise<void>((resolve) => {
      const stop = crashes.onChange(settle);
      const timeout = timer.after(RETRY_MILLISECONDS, settle);
      function settle(): void {
        stop();
        timeout.cancel();
        resolve();
      }
    });
    this.#shared.onWait(-1);
  }

  #endTrials(): void {
    for (const digest of this.#held) {
      this.#shared.taken.delete(digest);
      this.#options.trials.end(digest, this.#holder);
    }
    this.#held.clear();
  }
}
