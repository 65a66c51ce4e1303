import type { ResponseHead } from "../../src/core/forwarding/mod.ts";
import type { ManualTimerService } from "../../src/core/time/mod.ts";
import type { SentAttempt } from "./forwarding_harness.ts";

const DEFAULT_TOKENS_PER_MILLISECOND = 310;
const DECODE_MILLISECONDS = 50;
const URGENT_DECODE_MILLISECONDS = 2_000;
const DEFAULT_SLOTS = 32;

/** Source of the attempts that the engines serve. */
export interface AttemptSource {
  readonly timer: ManualTimerService;
  onSend: ((attempt: SentAttempt) => void) | undefined;
}

export interface SimulatedEnginesOptions {
  readonly tokensPerMillisecond?: number;
  /** Number of answers that an engine decodes concurrently. */
  readonly slots?: number;
  /** Added to the head of each response, such as a load report. */
  readonly head?: Partial<ResponseHead>;
}

interface QueuedPrefill {
  readonly attempt: SentAttempt;
  readonly priority: number;
}

/**
 * Minimal simulated engines. A prefill engine processes one prompt at a time in
 * order of priority, and prompt parts in its cache cost no time. A decode
 * engine has a fixed number of slots and rejects attempts when all are in use.
 */
export class SimulatedEngines {
  readonly #timer: ManualTimerService;
  readonly #tokensPerMillisecond: number;
  readonly #slots: number;
  readonly #head: Partial<ResponseHead> | undefined;
  readonly #queues = new Map<string, QueuedPrefill[]>();
  readonly #prefilling = new Set<string>();
  readonly #cachedParts = new Map<string, Set<string>>();
  readonly #decoding = new Map<string, number>();
  /** Attempts accepted and not yet ended, by engine. */
  readonly #openAttempts = new Map<string, Set<SentAttempt>>();
  readonly #down = new Set<string>();
  /** Number of times that each request began to run, by request id. */
  readonly runs = new Map<string, number>();
  /** Longest prefill queue so far, by engine. */
  readonly maxPrefillQueue = new Map<string, number>();
  /** Total prefill time of all engines, milliseconds. */
  prefillMilliseconds = 0;

  constructor(source: AttemptSource, options: SimulatedEnginesOptions = {}) {
    this.#timer = source.timer;
    this.#tokensPerMillisecond = options.tokensPerMillisecond ??
      DEFAULT_TOKENS_PER_MILLISECOND;
    this.#slots = options.slots ?? DEFAULT_SLOTS;
    this.#head = options.head;
    source.onSend = (attempt) => this.#handleAttempt(attempt);
  }

  /**
   * Crashes an engine: it refuses connections, and its open attempts are lost.
   */
  kill(engine: string): void {
    this.#down.add(engine);
    for (const attempt of this.#openAttempts.get(engine) ?? []) {
      void attempt.fail("exchange_lost");
      void attempt.end("cut");
    }
    this.#openAttempts.delete(engine);
    this.#queues.delete(engine);
    this.#cachedParts.delete(engine);
    this.#decoding.delete(engine);
  }

  #handleAttempt(attempt: SentAttempt): void {
    const engine = String(attempt.options.endpoint);
    if (this.#down.has(engine)) {
      return void attempt.fail("exchange_not_sent");
    }
    const { prompt } = attempt.request;
    if (prompt === undefined) return;
    if (attempt.options.prefillOnly) this.#enqueuePrefill(attempt);
    else this.#decode(attempt, prompt.inputTokens < 1_000);
  }

  #enqueuePrefill(attempt: SentAttempt): void {
    const engine = String(attempt.options.endpoint);
    const queue = this.#queues.get(engine) ?? [];
    this.#queues.set(engine, queue);
    queue.push({
      attempt,
      priority: attempt.options.priority ?? 5,
    });
    this.#markOpen(engine, attempt);
    const longest = this.maxPrefillQueue.get(engine) ?? 0;
    this.maxPrefillQueue.set(engine, Math.max(longest, queue.length));
    this.#startNextPrefill(engine);
  }

  #startNextPrefill(engine: string): void {
    const queue = this.#queues.get(engine) ?? [];
    if (this.#prefilling.has(engine) || queue.length === 0) return;
    queue.sort((one, other) => one.priority - other.priority);
    const { attempt } = queue.shift() as QueuedPrefill;
    if (attempt.aborted) return this.#startNextPrefill(engine);
    this.#prefilling.add(engine);
    const cached = this.#cachedParts.get(engine) ?? new Set();
    this.#cachedParts.set(engine, cached);
    const parts = attempt.request.prompt?.parts ?? [];
    let tokens = 0;
    for (const part of parts) {
      if (!cached.has(part.id)) tokens += part.tokens;
      cached.add(part.id);
    }
    const milliseconds = tokens / this.#tokensPerMillisecond;
    this.prefillMilliseconds += milliseconds;
    this.#timer.after(milliseconds, () => {
      this.#prefilling.delete(engine);
      if (!this.#markClosed(engine, attempt)) return;
      void attempt.respond("handle", this.#head);
      this.#startNextPrefill(engine);
    });
  }

  #markOpen(engine: string, attempt: SentAttempt): void {
    const open = this.#openAttempts.get(engine) ?? new Set();
    this.#openAttempts.set(engine, open.add(attempt));
  }

  /** Ends an attempt; false if the engine has crashed in the meantime. */
  #markClosed(engine: string, attempt: SentAttempt): boolean {
    return this.#openAttempts.get(engine)?.delete(attempt) === true;
  }

  #decode(attempt: SentAttempt, isUrgent: boolean): void {
    const engine = String(attempt.options.endpoint);
    const running = this.#decoding.get(engine) ?? 0;
    if (running >= this.#slots) return void attempt.respondNotRun();
    this.#decoding.set(engine, running + 1);
    this.#markOpen(engine, attempt);
    const { id } = attempt.request;
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    void attempt.head(this.#head).then(() =>
      attempt.chunk("id: 1\ndata: x\n\n")
    );
    const milliseconds = isUrgent
      ? URGENT_DECODE_MILLISECONDS
      : DECODE_MILLISECONDS;
    this.#timer.after(milliseconds, () => {
      if (!this.#markClosed(engine, attempt)) return;
      this.#decoding.set(engine, (this.#decoding.get(engine) ?? 1) - 1);
      void attempt.end();
    });
  }
}
