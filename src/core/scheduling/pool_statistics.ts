import {
  OutputLengthEstimator,
  PredictionCorrection,
} from "../admission/mod.ts";
import type { Candidate } from "../placement/mod.ts";
import type { RequestProfile } from "../requests/mod.ts";
import type { WorkClass } from "../../generated/rules.ts";
import type { AttemptSummary } from "./scheduler.ts";

/**
 * Weight of one placement in the moving average of the uncached prompt share.
 */
const UNCACHED_WEIGHT = 0.05;

/** An attempt that has ended, with what was predicted for it. */
export interface CompletedAttempt {
  readonly profile: RequestProfile;
  readonly candidate: Candidate;
  readonly summary: AttemptSummary;
  /** Output expected at the placement, tokens. */
  readonly outputTokens: number;
  readonly submittedAt: number;
  readonly placedAt: number;
  /** Predicted time from the submission to the complete answer. */
  readonly predictedMilliseconds: number;
}

/** Statistics of a pool's classes and endpoints, learned from its answers. */
export class PoolStatistics {
  readonly #outputLengths = new OutputLengthEstimator();
  readonly #corrections = new PredictionCorrection();
  readonly #uncachedShares = new Map<string, number>();
  /**
   * Plain services: the output length of a call is its duration, milliseconds.
   */
  readonly #isService: boolean;

  constructor(isService: boolean) {
    this.#isService = isService;
  }

  setInitialOutputs(classes: readonly WorkClass[]): void {
    for (const one of classes) {
      this.#outputLengths.setInitial(one.name, one.expectedOutputTokens);
    }
  }

  expectedOutput(profile: RequestProfile): number {
    return this.#outputLengths.expectedRemaining(profile.className, {
      maxTokens: this.#isService ? Infinity : profile.mostOutputTokens,
      delivered: profile.deliveredTokens,
    });
  }

  /** Expected number of prompt tokens that are not cached anywhere. */
  uncachedTokens({ className, promptTokens }: RequestProfile): number {
    return promptTokens * (this.#uncachedShares.get(className) ?? 1);
  }

  /** Factor to apply to a predicted completion time of the class. */
  correctionFactor(className: string, deviations: number): number {
    return this.#corrections.factor(className, deviations);
  }

  /** Learns the share of a class's prompt tokens that has to be processed. */
  recordPlacement(profile: RequestProfile, promptTokens: number): void {
    const { className } = profile;
    const mean = this.#uncachedShares.get(className) ?? 1;
    const share = promptTokens / Math.max(1, profile.promptTokens);
    this.#uncachedShares.set(
      className,
      mean + UNCACHED_WEIGHT * (share - mean),
    );
  }

  recordCompletion(attempt: CompletedAttempt, now: number): void {
    const { candidate, summary, profile } = attempt;
    const { view } = candidate;
    if (summary.load !== undefined) view.applyLoad(summary.load, now);
    switch (summary.result) {
      case "failed":
        return view.health.recordFailure(now);
      case "cancelled":
        return view.health.recordCancellation(relativeTimes(attempt, now), now);
      case "not_run":
        view.health.recordInconclusive();
        if (summary.load === undefined) view.markFull(now);
        return;
      case "answered":
        this.#outputLengths.record(
          profile.className,
          this.#isService ? summary.totalMilliseconds : summary.tokens,
        );
        this.#corrections.record(
          profile.className,
          (now - attempt.submittedAt) / attempt.predictedMilliseconds,
        );
        view.health.recordSuccess(relativeTimes(attempt, now), now);
    }
  }
}

/** Duration of an attempt relative to its prediction and to the rated one. */
function relativeTimes(attempt: CompletedAttempt, now: number) {
  const { view, finishMilliseconds } = attempt.candidate;
  const elapsed = now - attempt.placedAt;
  const ratedMilliseconds = view.ratedMilliseconds({
    promptTokens: attempt.profile.promptTokens,
    outputTokens: attempt.summary.tokens || attempt.outputTokens,
  });
  return {
    ratioToPredicted: elapsed * view.health.slowness /
      Math.max(1, finishMilliseconds),
    ratioToRated: elapsed / Math.max(1, ratedMilliseconds),
  };
}
