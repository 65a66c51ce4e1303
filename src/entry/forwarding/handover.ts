import {
  isPrefillEngine,
  type PrefillChoice,
  type PrefilledPrompt,
  type Prompt,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { ForwardAttempt } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";
import {
  type AdmissionFacts,
  type AdmissionRefusal,
  admitPrompt,
  shareFacts,
} from "./prompt_admission.ts";
import { type PrefillOutcome, prefillPrompt } from "./prefill_step.ts";

/** Number of failed prefills after which a request is refused. */
const MAX_PREFILL_ATTEMPTS = 2;
/**
 * Additional engines that may refuse the connection. They are not counted as
 * rejections: when a zone fails, every entry discovers that on its own.
 */
const MAX_UNREACHABLE_ENGINES = 3;
/**
 * Maximum number of engines that are offered a cached prompt. An engine that is
 * full or has changed its role leaves the cache in place; if a second one
 * rejects it as well, the cache is probably lost.
 */
const MAX_DECODE_OFFERS = 2;
/** Priority of prompts whose response will be late. */
const LATE_PRIORITY = 8;
/**
 * Longest time to delay the release of a cache at an overloaded engine, which
 * should receive no calls meanwhile. Beyond it, the engine evicts the cache
 * itself.
 */
const MAX_RELEASE_DELAY_MILLISECONDS = 5_000;

/** Outcome of a handover. */
export type HandoverOutcome =
  | { readonly kind: "kept"; readonly kept: PrefilledPrompt }
  | {
    readonly kind: "refused";
    readonly reason:
      | AdmissionRefusal
      | "prompt_not_read"
      | "no_repeats_left"
      | "request_limit"
      | "crashes_endpoints"
      | "displaced"
      | "key_removed"
      | "stopping";
    /** Figures that led to the refusal, for the log. */
    readonly facts: AdmissionFacts;
  };

/** No engine became available before the caller's time ran out. */
const ENGINES_FULL: HandoverOutcome = {
  kind: "refused",
  reason: "engines_full",
  facts: {},
};

/** The request limits of the prefill engines are used up. */
export const AT_REQUEST_LIMIT: HandoverOutcome = {
  kind: "refused",
  reason: "request_limit",
  facts: {},
};

/** The caller's key was removed while its request was waiting. */
export const KEY_REMOVED = "key_removed";

/** The entry is stopping, and the response would not end in time. */
export const STOPPING = "stopping";

const STOPPING_OUTCOME: HandoverOutcome = {
  kind: "refused",
  reason: STOPPING,
  facts: {},
};

/** Endpoints crashed on the request while it was waiting. */
const CRASHES_ENDPOINTS: HandoverOutcome = {
  kind: "refused",
  reason: "crashes_endpoints",
  facts: {},
};

/** The prompt would need another prefill, and the retry budget is used up. */
const NO_RETRIES: HandoverOutcome = {
  kind: "refused",
  reason: "no_repeats_left",
  facts: {},
};

/**
 * Hands the KV cache of one prompt from the prefill engine to the decode
 * engine. The cache is released on every exit path.
 */
export class Handover {
  readonly #context: ForwardContext;
  readonly #onAttempt: (attempt: ForwardAttempt) => void;
  #kept: PrefilledPrompt | undefined;
  /** Prefills that failed at an engine. */
  #failedPrefills = 0;
  /** Prefills that could not connect to an engine. */
  #unreachableEngines = 0;
  #offers = 0;

  /** `onAttempt` receives each prefill attempt, so that it can be aborted. */
  constructor(
    context: ForwardContext,
    onAttempt: (attempt: ForwardAttempt) => void,
  ) {
    this.#context = context;
    this.#onAttempt = onAttempt;
  }

  /**
   * Prefills the prompt on a prefill engine, and on another one if the first
   * fails. A decode engine would interleave the prefill with its streams, which
   * would pause.
   */
  async prefill(prompt: Prompt): Promise<HandoverOutcome> {
    if (this.#kept !== undefined && !this.#isStale(this.#kept)) {
      return { kind: "kept", kept: this.#kept };
    }
    this.#kept = undefined;
    for (;;) {
      if (!this.#context.arrivals.reserve({ prefill: true })) return NO_RETRIES;
      const admitted = await admitPrompt(this.#context, prompt);
      if (this.#context.settled) return ENGINES_FULL;
      if (admitted.kind === "refused") return admitted;
      const late = admitted.kind === "held";
      const choice = late
        ? await this.#context.dependencies.held.enqueue(admitted.prompt)
        : admitted.choice;
      if (choice === undefined && late && !this.#context.settled) {
        return this.#droppedOutcome(admitted.reason);
      }
      if (choice === undefined || this.#context.settled) return ENGINES_FULL;
      if (this.#context.blockedMilliseconds > 0) return CRASHES_ENDPOINTS;
      const isGranted = await this.#context.takePermit(choice.endpoint);
      if (this.#context.settled) {
        if (isGranted) this.#context.releasePermit(choice.endpoint);
        return ENGINES_FULL;
      }
      if (!isGranted) {
        if (this.#context.endpoints().some(isPrefillEngine)) continue;
        return AT_REQUEST_LIMIT;
      }
      if (!this.#context.maySend("prefill")) {
        this.#context.releasePermit(choice.endpoint);
        return STOPPING_OUTCOME;
      }
      const outcome = await this.#sendPrefill(prompt, { choice, late });
      if (outcome.kind === "kept") return outcome;
      if (outcome.arrived) this.#failedPrefills += 1;
      else this.#unreachableEngines += 1;
      this.#context.noteRejection(outcome.engine);
      const mayRetry = !this.#context.settled &&
        this.#failedPrefills < MAX_PREFILL_ATTEMPTS &&
        this.#unreachableEngines <= MAX_UNREACHABLE_ENGINES &&
        this.#context.mayResend(`prefill ${outcome.reason}`, { prefill: true });
      if (!mayRetry) {
        const facts = {
          readings: this.#failedPrefills,
          unreached: this.#unreachableEngines,
        };
        return { kind: "refused", reason: "prompt_not_read", facts };
      }
    }
  }

  /** Why a prompt was dropped while it was held. */
  #droppedOutcome(reason: AdmissionRefusal): HandoverOutcome {
    const { isKeyRemoved, share } = this.#context;
    if (share === undefined) return ENGINES_FULL;
    if (isKeyRemoved) {
      return { kind: "refused", reason: KEY_REMOVED, facts: {} };
    }
    return {
      kind: "refused",
      reason: share.displacedBy === undefined ? reason : "displaced",
      facts: shareFacts(this.#context),
    };
  }

  /** True if the prompt needs another prefill before the next send. */
  get needsAnotherPrefill(): boolean {
    const kept = this.#kept;
    const isMissing = kept === undefined || this.#isStale(kept);
    return isMissing && this.#context.arrivals.hasPrefilled;
  }

  /** True if the engine has restarted since and lost the cache. */
  #isStale({ engine, engineStartedAt }: PrefilledPrompt): boolean {
    const current = this.#context.dependencies.registry.get(engine);
    return current !== undefined && current.startedAt !== engineStartedAt;
  }

  /** Records that an engine rejected the cache without running the request. */
  noteRejection(): void {
    this.#offers += 1;
    if (this.#offers >= MAX_DECODE_OFFERS) this.release();
  }

  /**
   * Records that a decode engine has taken over the cache and now keeps its
   * parts; `milliseconds` is the time from the send to its response head.
   */
  noteTransfer(
    { id, startedAt }: RegisteredEndpoint,
    milliseconds: number,
  ): void {
    if (this.#kept === undefined) return;
    this.#kept = undefined;
    const { dependencies, pool, request } = this.#context;
    if (request.prompt !== undefined) {
      dependencies.placement.recordHandover(request.prompt, pool, milliseconds);
    }
    dependencies.prefixes.recordCached({
      engine: id,
      engineStartedAt: startedAt,
      parts: request.prompt?.parts ?? [],
      memoryTokens: pool.engine?.memoryTokens ?? 0,
    });
  }

  /** Releases the cache, if there is one. */
  release(): void {
    const kept = this.#kept;
    this.#kept = undefined;
    if (kept === undefined) return;
    const { endpointClient, availability, timer } = this.#context.dependencies;
    const free = () => endpointClient.release(kept.address, kept.handle);
    const wait = availability.remainingOverloadMilliseconds(kept.engine);
    if (wait === 0) return free();
    if (wait <= MAX_RELEASE_DELAY_MILLISECONDS) timer.after(wait, free);
  }

  /**
   * A prompt that is rejected immediately carries no information on the speed
   * of the engine.
   */
  #recordSlowness(
    choice: PrefillChoice,
    { outcome, took }: {
      readonly outcome: PrefillOutcome;
      readonly took: number;
    },
  ): void {
    const { endpoint, predictedMilliseconds, slowdown } = choice;
    const predicted = predictedMilliseconds / slowdown;
    if (outcome.kind === "failed" && took < predicted) return;
    const { dependencies } = this.#context;
    if (!dependencies.registry.isSameRun(endpoint)) return;
    dependencies.slowness.record(endpoint.id, {
      milliseconds: took,
      predicted,
    });
  }

  /**
   * Only a prefill that did not queue or fetch a remote cache measures the
   * speed of the engines.
   */
  #recordPrefillSpeed(
    prompt: Prompt,
    choice: PrefillChoice,
    took: number,
  ): void {
    const { fetchFrom, keptTokens, openRequests } = choice;
    if (openRequests > 0 || fetchFrom !== undefined) return;
    const { dependencies, pool } = this.#context;
    dependencies.estimates.forPool(pool.name).prefill.record({
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
    const { arrivals, dependencies, rank, waitedMilliseconds } = this.#context;
    this.#context.report("placed", {
      step: "prefill",
      endpoint: choice.endpoint.id,
      softwareVersion: choice.endpoint.softwareVersion,
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
    this.#context.share?.admit();
    const sent = dependencies.timer.now();
    arrivals.prefillSent();
    this.#context.startTime("prefill");
    const outcome = await prefillPrompt(this.#context, {
      prompt,
      choice,
      priority: late ? LATE_PRIORITY : rank,
      deadlineMilliseconds: this.#context.remainingToFirstByteMilliseconds,
      onAttempt: this.#onAttempt,
    });
    const took = dependencies.timer.now() - sent;
    this.#recordSlowness(choice, { outcome, took });
    const accepted = outcome.kind === "kept";
    if (accepted || outcome.arrived) arrivals.prefillEnded({ accepted });
    else {
      arrivals.prefillNotSent();
      this.#context.releasePermit(choice.endpoint);
    }
    if (outcome.kind === "failed") {
      this.#context.cancelTime("prefill");
      return outcome;
    }
    this.#recordPrefillSpeed(prompt, choice, took);
    this.#kept = outcome.kept;
    this.#context.report("prompt_read", {
      endpoint: outcome.kept.engine,
      milliseconds: Math.round(took),
    });
    // The caller may have disconnected during the prefill; release the cache,
    // as no later step would.
    if (this.#context.settled) this.release();
    return outcome;
  }
}
