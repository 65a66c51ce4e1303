import type { ManualTimerService } from "../../src/core/time/mod.ts";
import type { SentAttempt } from "./forwarding_harness.ts";
import type { AttemptSource } from "./simulated_engines.ts";

/** Step of a decode engine; 78 ms with 25 requests and 330,000 tokens. */
const STEP_MILLISECONDS = 12;
const STEP_MILLISECONDS_PER_REQUEST = 0.6;
const STEP_MILLISECONDS_PER_TOKEN = 0.155e-3;
/** Longest part of an inline prefill that runs within one step. */
const MAX_CHUNK_MILLISECONDS = 25;

export interface PacedEnginesOptions {
  /** Rate of prefill engines; decode engines prefill at half of it. */
  readonly tokensPerMillisecond: number;
  /** Reported work factor; none if absent. */
  readonly workFactor?: number;
}

interface Work {
  readonly attempt: SentAttempt;
  prefillMilliseconds: number;
  tokensLeft: number;
}

/**
 * Simulated engines. A prefill engine processes one prompt at a time. The step
 * of a decode engine, in which each stream gets an event, takes longer with
 * open requests, their context and inline prefills.
 */
export class PacedEngines {
  readonly #timer: ManualTimerService;
  readonly #work = new Map<string, Set<Work>>();
  readonly #busy = new Set<string>();
  /** Factor on the time that an engine takes for all work; 1 if absent. */
  readonly slowdowns = new Map<string, number>();
  readonly #options: PacedEnginesOptions;

  constructor(source: AttemptSource, options: PacedEnginesOptions) {
    this.#timer = source.timer;
    this.#options = options;
    source.onSend = (attempt) => this.#handle(attempt);
  }

  #handle(attempt: SentAttempt): void {
    const { endpoint, prefillOnly, prefilledPrompt } = attempt.options;
    const { prompt } = attempt.request;
    if (prompt === undefined) return;
    const rate = (prefillOnly ? 1 : 0.5) * this.#options.tokensPerMillisecond;
    const all = this.#work.get(endpoint) ?? new Set();
    this.#work.set(endpoint, all);
    all.add({
      attempt,
      prefillMilliseconds: prefilledPrompt ? 0 : prompt.inputTokens / rate,
      tokensLeft: prompt.mostOutputTokens,
    });
    if (!this.#busy.has(endpoint)) this.#step(endpoint);
  }

  #step(engine: string): void {
    const all = [...this.#work.get(engine) ?? []]
      .filter((each) => !each.attempt.aborted);
    this.#work.set(engine, new Set(all));
    if (all.length === 0) return void this.#busy.delete(engine);
    this.#busy.add(engine);
    const prefills = all.filter((each) => each.prefillMilliseconds > 0);
    const isPrefillEngine = prefills[0]?.attempt.options.prefillOnly === true;
    const decoding = all.filter((each) => each.prefillMilliseconds <= 0);
    const tokens = decoding.reduce(
      (sum, { attempt }) => sum + (attempt.request.prompt?.inputTokens ?? 0),
      0,
    );
    const step = decoding.length === 0
      ? 0
      : STEP_MILLISECONDS + STEP_MILLISECONDS_PER_REQUEST * decoding.length +
        STEP_MILLISECONDS_PER_TOKEN * tokens;
    const chunks = isPrefillEngine
      ? prefills[0].prefillMilliseconds
      : this.#prefillChunks(prefills);
    const slowdown = this.slowdowns.get(engine) ?? 1;
    this.#timer.after(slowdown * (step + chunks), () => {
      if (isPrefillEngine) this.#endPrefill(prefills[0]);
      for (const each of decoding) void this.#emit(each);
      this.#step(engine);
    });
  }

  /** Advances inline prefills in order; returns the time that they take. */
  #prefillChunks(prefills: readonly Work[]): number {
    let left = MAX_CHUNK_MILLISECONDS;
    for (const work of prefills) {
      const chunk = Math.min(left, work.prefillMilliseconds);
      work.prefillMilliseconds -= chunk;
      left -= chunk;
    }
    return MAX_CHUNK_MILLISECONDS - left;
  }

  #endPrefill(work: Work): void {
    this.#work.get(work.attempt.options.endpoint)?.delete(work);
    void work.attempt.respond("handle", this.#head);
  }

  async #emit(work: Work): Promise<void> {
    const { attempt } = work;
    const isFirst = work.tokensLeft === attempt.request.prompt
      ?.mostOutputTokens;
    work.tokensLeft -= 1;
    const isLast = work.tokensLeft === 0;
    if (isLast) this.#work.get(attempt.options.endpoint)?.delete(work);
    if (isFirst) await attempt.head(this.#head);
    await attempt.chunk("data: x\n\n");
    if (isLast) await attempt.end();
  }

  get #head() {
    const { workFactor } = this.#options;
    return { load: { running: 1, waiting: 0, slots: 64, workFactor } };
  }
}
