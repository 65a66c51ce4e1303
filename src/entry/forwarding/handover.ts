import type {
  KeptPrompt,
  PrefillChoice,
  Prompt,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { Attempt } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";
import {
  type AdmissionFacts,
  type AdmissionRefusal,
  admitPrompt,
} from "./prompt_admission.ts";
import { type PrefillOutcome, prefillPrompt } from "./prefill_step.ts";

/** Engines that are asked to read a request's prompt in one round. */
const MAX_PREFILL_ATTEMPTS = 2;
/**
 * Engines that may refuse the connection besides. They are not counted like
 * rejections: when a zone dies, every entry finds that out by itself.
 */
const MAX_UNREACHABLE_ENGINES = 3;
/**
 * Engines that a kept prompt is offered to. One that is full or has changed
 * its role leaves the cache where it is; where a second one turns it away too,
 * the cache itself is likely gone.
 */
const MAX_DECODE_OFFERS = 2;
/** Priority of prompts that are read for late answers. */
const LATE_PRIORITY = 8;
/**
 * An overloaded engine wants no call; a cache is freed behind that time, or
 * by the engine itself where that comes first.
 */
const MAX_RELEASE_DELAY_MILLISECONDS = 5_000;
/** What became of a hand-over. */
export type HandoverOutcome =
  | { readonly kind: "kept"; readonly kept: KeptPrompt }
  | {
    readonly kind: "refused";
    readonly reason:
      | AdmissionRefusal
      | "prompt_not_read"
      | "no_repeats_left"
      | "crashes_endpoints";
    /** What decided, for the log. */
    readonly facts: AdmissionFacts;
  };

/** No engine became free while the caller could still be answered. */
const ENGINES_FULL: HandoverOutcome = {
  kind: "refused",
  reason: "engines_full",
  facts: {},
};

/** Endpoints have crashed under the request while it waited. */
const CRASHES_ENDPOINTS: HandoverOutcome = {
  kind: "refused",
  reason: "crashes_endpoints",
  facts: {},
};

/** The prompt would be read anew, and the fleet's limit allows no more. */
const NO_RETRIES: HandoverOutcome = {
  kind: "refused",
  reason: "no_repeats_left",
  facts: {},
};

/**
 * The cache of one request's prompt on its way from the engine that reads to
 * the one that decodes; it is freed on every way out.
 */
export class Handover {
  readonly #context: ForwardContext;
  readonly #onAttempt: (attempt: Attempt) => void;
  #kept: KeptPrompt | undefined;
  /** Readings that have failed at an engine. */
  #failedPrefills = 0;
  /** Readings that found no connection. */
  #unreachableEngines = 0;
  #offers = 0;

  /** `onAttempt` takes each reading, so that it can be aborted. */
  constructor(
    context: ForwardContext,
    onAttempt: (attempt: Attempt) => void,
  ) {
    this.#context = context;
    this.#onAttempt = onAttempt;
  }

  /**
   * Has a prefill engine read the prompt, a second one where the first fails. A
   * decode engine would read it between the tokens of its streams, which then
   * pause.
   */
  async prefill(prompt: Prompt): Promise<HandoverOutcome> {
    if (this.#kept !== undefined && !this.#isStale(this.#kept)) {
      return { kind: "kept", kept: this.#kept };
    }
    this.#kept = undefined;
    for (;;) {
      if (!this.#context.arrivals.cover({ reading: true })) return NO_RETRIES;
      const admitted = await admitPrompt(this.#context, prompt);
      if (this.#context.settled) return ENGINES_FULL;
      if (admitted.kind === "refused") return admitted;
      const late = admitted.kind === "held";
      const choice = late
        ? await this.#context.parts.held.hold(admitted.prompt)
        : admitted.choice;
      if (choice === undefined || this.#context.settled) return ENGINES_FULL;
      if (this.#context.blockedMilliseconds > 0) return CRASHES_ENDPOINTS;
      const outcome = await this.#sendPrefill(prompt, { choice, late });
      if (outcome.kind === "kept") return outcome;
      if (outcome.arrived) this.#failedPrefills += 1;
      else this.#unreachableEngines += 1;
      this.#context.noteRejection(outcome.engine);
      const mayRetry = !this.#context.settled &&
        this.#failedPrefills < MAX_PREFILL_ATTEMPTS &&
        this.#unreachableEngines <= MAX_UNREACHABLE_ENGINES &&
        this.#context.mayResend(`prefill ${outcome.reason}`, { reading: true });
      if (!mayRetry) {
        const facts = {
          readings: this.#failedPrefills,
          unreached: this.#unreachableEngines,
        };
        return { kind: "refused", reason: "prompt_not_read", facts };
      }
    }
  }

  /** True where the prompt has to be read once more before the next send. */
  get needsAnotherPrefill(): boolean {
    const kept = this.#kept;
    const isMissing = kept === undefined || this.#isStale(kept);
    return isMissing && this.#context.arrivals.hasRead;
  }

  /** True where the engine has started again since and holds nothing. */
  #isStale({ engine, engineStartedAt }: KeptPrompt): boolean {
    const current = this.#context.parts.registry.get(engine);
    return current !== undefined && current.startedAt !== engineStartedAt;
  }

  /** An engine has turned the cache away without running the request. */
  noteRejection(): void {
    this.#offers += 1;
    if (this.#offers >= MAX_DECODE_OFFERS) this.release();
  }

  /**
   * An engine has taken the cache over and keeps its parts as its own; its
   * first byte came so long after it was asked.
   */
  noteTransfer(
    { id, startedAt }: RegisteredEndpoint,
    milliseconds: number,
  ): void {
    if (this.#kept === undefined) return;
    this.#kept = undefined;
    const { parts, pool, request } = this.#context;
    if (request.prompt !== undefined) {
      parts.placement.handedOver(request.prompt, pool, milliseconds);
    }
    parts.prefixes.read({
      engine: id,
      engineStartedAt: startedAt,
      parts: request.prompt?.parts ?? [],
      memoryTokens: pool.engine?.memoryTokens ?? 0,
    });
  }

  /** Frees the cache, if there is one. */
  release(): void {
    const kept = this.#kept;
    this.#kept = undefined;
    if (kept === undefined) return;
    const { door, outcomes, timer } = this.#context.parts;
    const free = () => door.release(kept.address, kept.handle);
    const wait = outcomes.overloadMilliseconds(kept.engine);
    if (wait === 0) return free();
    if (wait <= MAX_RELEASE_DELAY_MILLISECONDS) timer.after(wait, free);
  }

  /** An engine that turns a prompt away at once says nothing of its speed. */
  #recordSlowness(
    choice: PrefillChoice,
    { outcome, took }: {
      readonly outcome: PrefillOutcome;
      readonly took: number;
    },
  ): void {
    const { endpoint, predictedMilliseconds, slowness } = choice;
    const predicted = predictedMilliseconds / slowness;
    if (outcome.kind === "failed" && took < predicted) return;
    const { parts } = this.#context;
    if (!parts.registry.isSameRun(endpoint)) return;
    parts.slowness.took(endpoint.id, { milliseconds: took, predicted });
  }

  /** Only a reading that waited for nothing tells of the engines' speed. */
  #recordPrefillSpeed(
    prompt: Prompt,
    choice: PrefillChoice,
    took: number,
  ): void {
    const { fetchFrom, keptTokens, openRequests } = choice;
    if (openRequests > 0 || fetchFrom !== undefined) return;
    const { parts, pool } = this.#context;
    parts.estimates.of(pool.name).reading.took({
      promptTokens: prompt.inputTokens,
      keptTokens,
      milliseconds: took,
    });
  }

  async #sendPrefill(
    prompt: Prompt,
    admitted: { readonly choice: PrefillChoice; readonly late: boolean },
  ): Promise<PrefillOutcome> {
    const { choice, late } = admitted;
    const { arrivals, parts, rank, waitedMilliseconds } = this.#context;
    this.#context.report("placed", {
      step: "prefill",
      endpoint: choice.endpoint.id,
      late,
      waitedMilliseconds: Math.round(waitedMilliseconds),
      leftMilliseconds: Math.round(
        this.#context.remainingToFirstByteMilliseconds,
      ),
      backlogMilliseconds: Math.round(choice.backlogMilliseconds),
      workMilliseconds: Math.round(choice.workMilliseconds),
      keptTokens: choice.keptTokens,
      fetchFrom: choice.fetchFrom?.id,
    });
    const sent = parts.timer.now();
    arrivals.readingSent();
    const outcome = await prefillPrompt(this.#context, {
      prompt,
      choice,
      priority: late ? LATE_PRIORITY : rank,
      deadlineMilliseconds: this.#context.remainingToFirstByteMilliseconds,
      onAttempt: this.#onAttempt,
    });
    const took = parts.timer.now() - sent;
    this.#recordSlowness(choice, { outcome, took });
    const accepted = outcome.kind === "kept";
    if (accepted || outcome.arrived) arrivals.readingEnded({ accepted });
    else arrivals.readingNotSent();
    if (outcome.kind === "failed") return outcome;
    this.#recordPrefillSpeed(prompt, choice, took);
    this.#kept = outcome.kept;
    this.#context.report("prompt_read", {
      endpoint: outcome.kept.engine,
      milliseconds: Math.round(took),
    });
    // The caller may have gone meanwhile, and nobody would free the cache.
    if (this.#context.settled) this.release();
    return outcome;
  }
}
