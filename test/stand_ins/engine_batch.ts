/** The stand-in engine's batch: slots, prefill, decode, priorities. */
import type { Answer } from "./engine_answers.ts";

/** One generation that waits or runs. */
export interface Sequence {
  readonly priority: number;
  readonly arrival: number;
  readonly answer: Answer;
  /** Prompt tokens that are still to be computed. */
  prefillLeft: number;
  /** Index of the next token of the answer. */
  next: number;
  /** Takes a token; false while the caller reads slowly. */
  onToken(text: string): void;
  onEnd(reason: "stop" | "length"): void;
  /** True while the caller's connection takes no more. */
  blocked(): boolean;
}

export interface BatchOptions {
  readonly slots: number;
  readonly prefillTokensPerSecond: number;
  readonly millisecondsBetweenTokens: number;
}

/**
 * Continuous batching on one timer: at each step the waiting sequences of the
 * smallest priority number take free slots, prefill gets its share of the
 * step, and each running sequence gives one token.
 */
export class EngineBatch {
  readonly options: BatchOptions;
  /** Above 1: the engine is slower by this factor. */
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
    // A process that was paused does not make up for it in one burst.
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
