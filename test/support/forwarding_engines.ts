import type { ManualTimerService } from "../../src/core/time/mod.ts";
import type { SentAttempt } from "./forwarding_bench.ts";

/** Figures of the engines that the tests play. */
const DEFAULT_TOKENS_PER_MILLISECOND = 310;
const DECODE_MILLISECONDS = 50;
const URGENT_DECODE_MILLISECONDS = 2_000;
const DEFAULT_SLOTS = 32;

/** What attempts are sent to. */
export interface EnginesHost {
  readonly timer: ManualTimerService;
  onSend: ((attempt: SentAttempt) => void) | undefined;
}

export interface PlayedEnginesOptions {
  readonly tokensPerMillisecond?: number;
  /** Answers that an engine makes at once. */
  readonly slots?: number;
}

interface Reading {
  readonly attempt: SentAttempt;
  readonly priority: number;
}

/**
 * Engines as small as the decisions need them: one that reads takes prompts
 * one after another, the most urgent first, and reads kept parts for free; one
 * that decodes has slots and rejects what finds none.
 */
export class PlayedEngines {
  readonly #timer: ManualTimerService;
  readonly #tokensPerMillisecond: number;
  readonly #slots: number;
  readonly #queues = new Map<string, Reading[]>();
  readonly #busy = new Set<string>();
  readonly #kept = new Map<string, Set<string>>();
  readonly #running = new Map<string, number>();
  /** Attempts that an engine has taken and not ended. */
  readonly #open = new Map<string, Set<SentAttempt>>();
  readonly #down = new Set<string>();
  /** How often each request has begun to run, by its id. */
  readonly runs = new Map<string, number>();
  /** Most readings that stood at an engine at once, by engine. */
  readonly mostReadings = new Map<string, number>();
  readMilliseconds = 0;

  constructor(host: EnginesHost, options: PlayedEnginesOptions = {}) {
    this.#timer = host.timer;
    this.#tokensPerMillisecond = options.tokensPerMillisecond ??
      DEFAULT_TOKENS_PER_MILLISECOND;
    this.#slots = options.slots ?? DEFAULT_SLOTS;
    host.onSend = (attempt) => this.#take(attempt);
  }

  /** The engine dies: it takes no connection, and what it had open is lost. */
  kill(engine: string): void {
    this.#down.add(engine);
    for (const attempt of this.#open.get(engine) ?? []) {
      void attempt.fail("exchange_lost");
      void attempt.end("cut");
    }
    this.#open.delete(engine);
    this.#queues.delete(engine);
    this.#kept.delete(engine);
    this.#running.delete(engine);
  }

  #take(attempt: SentAttempt): void {
    const engine = String(attempt.options.endpoint);
    if (this.#down.has(engine)) {
      return void attempt.fail("exchange_not_sent");
    }
    const { prompt } = attempt.request;
    if (prompt === undefined) return;
    if (attempt.options.prefillOnly) this.#queue(attempt);
    else this.#decode(attempt, prompt.inputTokens < 1_000);
  }

  #queue(attempt: SentAttempt): void {
    const engine = String(attempt.options.endpoint);
    const queue = this.#queues.get(engine) ?? [];
    this.#queues.set(engine, queue);
    queue.push({
      attempt,
      priority: attempt.options.priority ?? 5,
    });
    this.#opened(engine, attempt);
    const most = this.mostReadings.get(engine) ?? 0;
    this.mostReadings.set(engine, Math.max(most, queue.length));
    this.#next(engine);
  }

  #next(engine: string): void {
    const queue = this.#queues.get(engine) ?? [];
    if (this.#busy.has(engine) || queue.length === 0) return;
    queue.sort((one, other) => one.priority - other.priority);
    const { attempt } = queue.shift() as Reading;
    if (attempt.aborted) return this.#next(engine);
    this.#busy.add(engine);
    const kept = this.#kept.get(engine) ?? new Set();
    this.#kept.set(engine, kept);
    const parts = attempt.request.prompt?.parts ?? [];
    let tokens = 0;
    for (const part of parts) {
      if (!kept.has(part.id)) tokens += part.tokens;
      kept.add(part.id);
    }
    const milliseconds = tokens / this.#tokensPerMillisecond;
    this.readMilliseconds += milliseconds;
    this.#timer.after(milliseconds, () => {
      this.#busy.delete(engine);
      if (!this.#closed(engine, attempt)) return;
      void attempt.answer("handle");
      this.#next(engine);
    });
  }

  #opened(engine: string, attempt: SentAttempt): void {
    const open = this.#open.get(engine) ?? new Set();
    this.#open.set(engine, open.add(attempt));
  }

  /** False where the engine has died meanwhile. */
  #closed(engine: string, attempt: SentAttempt): boolean {
    return this.#open.get(engine)?.delete(attempt) === true;
  }

  #decode(attempt: SentAttempt, isUrgent: boolean): void {
    const engine = String(attempt.options.endpoint);
    const running = this.#running.get(engine) ?? 0;
    if (running >= this.#slots) return void attempt.notRun();
    this.#running.set(engine, running + 1);
    this.#opened(engine, attempt);
    const { id } = attempt.request;
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    void attempt.head().then(() => attempt.piece("id: 1\ndata: x\n\n"));
    const milliseconds = isUrgent
      ? URGENT_DECODE_MILLISECONDS
      : DECODE_MILLISECONDS;
    this.#timer.after(milliseconds, () => {
      if (!this.#closed(engine, attempt)) return;
      this.#running.set(engine, (this.#running.get(engine) ?? 1) - 1);
      void attempt.end();
    });
  }
}
