import {
  judgeAdmission,
  type KeptPrompt,
  type PrefillChoice,
  type Prompt,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import { type Attempt, HEAD_BYTES } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";
import { type PrefillOutcome, readPrompt } from "./prefill_step.ts";

/** Engines that are asked to read a request's prompt in one round. */
const MOST_PREFILLS = 2;
/**
 * Engines that a kept prompt is offered to. One that is full or has changed
 * its role leaves the cache where it is; where a second one turns it away too,
 * the cache itself is likely gone.
 */
const MOST_OFFERS = 2;
/** Priority of prompts that are read for late answers. */
const LATE_PRIORITY = 8;
/**
 * Share of the allowance that has to be left for a late prompt to be sent.
 * Harm prevented: those that are overtaken until their deadline are rejected,
 * each counts as a repeat, and nothing is left for requests whose engine
 * failed. Limit: 8 of the 27 repeats that an entry of five has on a calm day;
 * as a number it left an entry of 24 nothing for its first seconds.
 */
const LATE_ALLOWANCE_SHARE = 0.3;

/** A long prompt goes to the engine that reads and to the one that decodes. */
const SENDS_OF_A_PROMPT = 2;
/** The request's arrival and the head of either engine's answer. */
const LOOP_TURNS_OF_A_PROMPT = 3;

/**
 * Why a long prompt has no cache to go on from. `repeats_used_up`: it would
 * have been late, and a rejection could not be made up for.
 */
export type HandoverRefusal =
  | "engines_full"
  | "entry_full"
  | "repeats_used_up"
  | "prompt_not_read";

/** Where a prompt is to be read, or why nowhere. */
type Admitted =
  | { readonly choice: PrefillChoice; readonly late: boolean }
  | { readonly refused: HandoverRefusal };

/** What became of a hand-over. */
export type HandoverOutcome =
  | { readonly kind: "kept"; readonly kept: KeptPrompt }
  | { readonly kind: "refused"; readonly reason: HandoverRefusal };

/**
 * The cache of one request's prompt on its way from the engine that reads to
 * the one that decodes; it is freed on every way out.
 */
export class Handover {
  readonly #context: ForwardContext;
  readonly #onAttempt: (attempt: Attempt) => void;
  #kept: KeptPrompt | undefined;
  #prefills = 0;
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
   * Has a prefill engine read the prompt, a second one where the first fails.
   * Load: prefill engines that are full or failing. Harm prevented: engines
   * that decode would read the prompt between the tokens of their streams,
   * each of which then pauses for longer than callers bear.
   */
  async keep(
    prompt: Prompt,
    endpoints: readonly RegisteredEndpoint[],
  ): Promise<HandoverOutcome> {
    if (this.#kept !== undefined) return { kind: "kept", kept: this.#kept };
    const { allowance } = this.#context.parts;
    for (;;) {
      const admitted = this.#admit(prompt, endpoints);
      if ("refused" in admitted) {
        return { kind: "refused", reason: admitted.refused };
      }
      const outcome = await this.#read(prompt, admitted);
      if (outcome.kind === "kept") return outcome;
      this.#prefills += 1;
      this.#context.turnedAwayBy(outcome.engine);
      const mayRepeat = !this.#context.settled &&
        this.#prefills < MOST_PREFILLS &&
        allowance.left(this.#context.pool.name) >= 1 &&
        this.#context.mayResend(`prefill ${outcome.reason}`, { counts: false });
      if (!mayRepeat) return { kind: "refused", reason: "prompt_not_read" };
    }
  }

  /** An engine has turned the cache away without running the request. */
  turnedAway(): void {
    this.#offers += 1;
    if (this.#offers >= MOST_OFFERS) this.release();
  }

  /** An engine has taken the cache over, and keeps its parts as its own. */
  taken(engine: EndpointId): void {
    if (this.#kept === undefined) return;
    this.#kept = undefined;
    const { parts, pool, request } = this.#context;
    parts.prefixes.read({
      engine,
      parts: request.prompt?.parts ?? [],
      memoryTokens: pool.engine?.memoryTokens ?? 0,
    });
  }

  /** Frees the cache, if there is one. */
  release(): void {
    const kept = this.#kept;
    this.#kept = undefined;
    if (kept === undefined) return;
    this.#context.parts.door.release(kept.address, kept.handle);
  }

  async #read(
    prompt: Prompt,
    admitted: { readonly choice: PrefillChoice; readonly late: boolean },
  ): Promise<PrefillOutcome> {
    const { choice, late } = admitted;
    const { parts, pool, request, route, waitedMilliseconds } = this.#context;
    this.#context.tell("placed", {
      step: "prefill",
      endpoint: choice.endpoint.id,
      late,
      waitedMilliseconds: Math.round(waitedMilliseconds),
      leftMilliseconds: Math.round(this.#context.left),
      backlogMilliseconds: Math.round(choice.backlogMilliseconds),
      wholeBacklogMilliseconds: Math.round(choice.wholeBacklogMilliseconds),
      workMilliseconds: Math.round(choice.workMilliseconds),
      keptTokens: choice.keptTokens,
      fetchFrom: choice.fetchFrom?.id,
    });
    const sent = parts.timer.now();
    const outcome = await readPrompt(parts, {
      request,
      prompt,
      pool,
      choice,
      late,
      priority: late ? LATE_PRIORITY : route.rank,
      deadlineMilliseconds: this.#context.left,
      onAttempt: this.#onAttempt,
    });
    const took = parts.timer.now() - sent;
    const predicted = choice.wholeBacklogMilliseconds +
      choice.workMilliseconds;
    // An engine that turns a prompt away at once says nothing of its speed.
    const tells = outcome.kind === "kept" || took > predicted;
    if (late && tells) parts.lateOverrun.took(took, predicted);
    if (outcome.kind === "failed") {
      // Only a prompt's first accepted reading is free of the allowance.
      parts.allowance.note(pool.name);
      return outcome;
    }
    this.#kept = outcome.kept;
    this.#context.tell("prompt_read", {
      endpoint: outcome.kept.engine,
      milliseconds: Math.round(took),
    });
    // The caller may have gone meanwhile, and nobody would free the cache.
    if (this.#context.settled) this.release();
    return outcome;
  }

  #admit(
    prompt: Prompt,
    endpoints: readonly RegisteredEndpoint[],
  ): Admitted {
    const { parts, pool, route, waitedMilliseconds } = this.#context;
    const untried = this.#context.untried(endpoints);
    const among = { engines: untried, pool };
    const soonest = parts.placement.choosePrefill(prompt, among);
    const later = parts.placement.chooseLatePrefill(prompt, among);
    if (soonest === undefined) return { refused: "engines_full" };
    const admission = judgeAdmission({
      onTimeMilliseconds: soonest.backlogMilliseconds +
        soonest.workMilliseconds,
      lateMilliseconds: later === undefined
        ? Infinity
        : parts.lateOverrun.factor *
          (later.wholeBacklogMilliseconds + later.workMilliseconds),
      entryMilliseconds: this.#entryMilliseconds(),
      elapsedMilliseconds: waitedMilliseconds + this.#context.elapsed,
      targetMilliseconds: route.targetMilliseconds,
      leftMilliseconds: this.#context.left,
    });
    if (admission === "on_time") return { choice: soonest, late: false };
    if (admission === "entry_full") return { refused: "entry_full" };
    if (admission === "engines_full" || later === undefined) {
      return { refused: "engines_full" };
    }
    const left = parts.allowance.left(pool.name);
    const needed = LATE_ALLOWANCE_SHARE * parts.allowance.allowed(pool.name);
    return left >= Math.max(1, needed)
      ? { choice: later, late: true }
      : { refused: "repeats_used_up" };
  }

  /** Time that this entry's link and processor add to the answer. */
  #entryMilliseconds(): number {
    const { parts, request } = this.#context;
    const bytes = SENDS_OF_A_PROMPT * (request.body.length + HEAD_BYTES);
    return parts.link.waitMilliseconds + parts.link.carryMilliseconds(bytes) +
      LOOP_TURNS_OF_A_PROMPT * parts.loopDelay();
  }
}
