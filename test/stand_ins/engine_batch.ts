/**
 * Continuous batching of the stand-in engine: slots, prefill, decode,
 * priorities.
 */
import type { Answer } from "./engine_answers.ts";

/** A waiting or running generation. */
export interface Sequence {
  /** Smaller numbers run first. */
  readonly priority: number;
  /** Order of arrival, which decides between equal priorities. */
  readonly arrival: number;
  readonly answer: Answer;
  /** Prompt tokens not yet prefilled. */
  prefillLeft: number;
  /** Index of the next token of the answer. */
  next: number;
  /** Called with each token of the answer. */
  onToken(text: string): void;
  onEnd(reason: "stop" | "length"): void;
  /** Whether the caller's connection applies backpressure. */
  blocked(): boolean;
}

export interface BatchOptions {
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  readonly millisecondsBetweenTokens: number;
}

/**
 * Batches sequences on one timer. At each step, waiting sequences fill the free
 * slots in order of priority, pending prefills share the prefill rate, and each
 * prefilled sequence emits one token.
 */
export class EngineBatch {
  readonly options: BatchOptions;
  /** Factor by which the engine is slower than configured; 1 is normal. */
  slowFactor = 1;
  readonly waiting: Sequence[] = [];
  readonly running = new Set<Sequence>();
  #timer: NodeJS.Timeout | undefined;
  #steppedAt = 0;

  constructor(options: BatchOptions) {
    this.options = options;
  }

  add(sequence: Sequence): void {
    let index = this.waiting.length;
    while (index > 0 && hasPrecedence(sequence, this.waiting[index - 1])) {
      index--;
    }
    this.waiting.splice(index, 0, sequence);
    this.#fillSlots();
    this.#startTimer();
  }

  remove(sequence: Sequence): boolean {
    const index = this.waiting.indexOf(sequence);
    if (index >= 0) this.waiting.splice(index, 1);
    const removed = this.running.delete(sequence) || index >= 0;
    this.#fillSlots();
    return removed;
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.waiting.length = 0;
    this.running.clear();
  }

  #fillSlots(): void {
    while (
      this.running.size < this.options.slots && this.waiting.length > 0
    ) {
      this.running.add(this.waiting.shift() as Sequence);
    }
  }

  #startTimer(): void {
    if (this.#timer !== undefined) return;
    this.#steppedAt = performance.now();
    const period = Math.max(1, this.options.millisecondsBetweenTokens);
    this.#timer = setInterval(() => this.#onTimer(), period);
  }

  #onTimer(): void {
    const step = this.options.millisecondsBetweenTokens * this.slowFactor;
    const now = performance.now();
    // Limits the catch-up after a pause of the process to 20 steps.
    this.#steppedAt = Math.max(this.#steppedAt, now - 20 * step);
    while (this.#steppedAt + step <= now) {
      this.#steppedAt += step;
      this.#step(step);
    }
    if (this.running.size === 0 && this.waiting.length === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }

  #step(milliseconds: number): void {
    let budget = this.options.prefillTokensPerSecond * milliseconds / 1000 /
      this.slowFactor;
    for (const sequence of [...this.running]) {
      if (sequence.prefillLeft > 0) {
        const done = Math.min(budget, sequence.prefillLeft);
        sequence.prefillLeft -= done;
        budget -= done;
        if (sequence.prefillLeft > 0) continue;
      }
      if (!sequence.blocked()) this.#emit(sequence);
    }
    this.#fillSlots();
  }

  #emit(sequence: Sequence): void {
    if (sequence.next < sequence.answer.length) {
      sequence.onToken(sequence.answer.token(sequence.next));
      sequence.next += 1;
    }
    if (sequence.next < sequence.answer.length) return;
    this.running.delete(sequence);
    sequence.onEnd(sequence.answer.reason);
  }
}

function hasPrecedence(one: Sequence, other: Sequence): boolean {
  return one.priority < other.priority ||
    (one.priority === other.priority && one.arrival < other.arrival);
}
