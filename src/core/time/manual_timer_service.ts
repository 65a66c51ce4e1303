import { type OnThrow, rethrow, runStep } from "./run_step.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

interface ScheduledTimer {
  readonly dueAt: number;
  readonly sequence: number;
  readonly listener: () => unknown;
  cancelled: boolean;
}

/**
 * Virtual clock for tests and embedders; time only moves on `advance`. Timers
 * fire in the order of their due times, and in the order of their creation if
 * these are equal, so a run with the same seed is deterministic.
 */
export class ManualTimerService implements TimerService {
  readonly #wallClockStart: number;
  readonly #onThrow: OnThrow;
  readonly #heap: ScheduledTimer[] = [];
  #now = 0;
  #nextSequence = 0;

  /**
   * `wallClockStart` is the wall clock at virtual time 0, in milliseconds since
   * 1970. Without an owner of what listeners throw, `advance` throws it.
   */
  constructor(
    wallClockStart = Date.UTC(2026, 0, 1),
    { onThrow = rethrow }: { readonly onThrow?: OnThrow } = {},
  ) {
    this.#wallClockStart = wallClockStart;
    this.#onThrow = onThrow;
  }

  now(): number {
    return this.#now;
  }

  wallClock(): number {
    return this.#wallClockStart + this.#now;
  }

  after(delayMilliseconds: number, listener: () => unknown): Subscription {
    const timer: ScheduledTimer = {
      dueAt: this.#now + Math.max(0, delayMilliseconds),
      sequence: this.#nextSequence++,
      listener,
      cancelled: false,
    };
    this.#push(timer);
    return {
      cancel() {
        timer.cancelled = true;
      },
    };
  }

  every(periodMilliseconds: number, listener: () => unknown): Subscription {
    let cancelled = false;
    let current: Subscription;
    const fire = () => {
      if (cancelled) return;
      current = this.after(periodMilliseconds, fire);
      return listener();
    };
    current = this.after(periodMilliseconds, fire);
    return {
      cancel() {
        cancelled = true;
        current.cancel();
      },
    };
  }

  run(listener: () => unknown): void {
    runStep(listener, this.#onThrow);
  }

  /**
   * Advances the clock by `milliseconds` and fires all timers that fall due.
   * Promise callbacks that one timer triggers run before the next timer fires.
   */
  async advance(milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds;
    await flushPromises();
    for (;;) {
      const timer = this.#heap[0];
      if (timer === undefined || timer.dueAt > end) break;
      this.#pop();
      if (timer.cancelled) continue;
      this.#now = Math.max(this.#now, timer.dueAt);
      runStep(timer.listener, this.#onThrow);
      await flushPromises();
    }
    this.#now = end;
  }

  #push(timer: ScheduledTimer): void {
    const heap = this.#heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index], heap[parent])) return;
      swap(heap, index, parent);
      index = parent;
    }
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop() as ScheduledTimer;
    if (heap.length === 0) return;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let smallest = index;
      if (left < heap.length && isBefore(heap[left], heap[smallest])) {
        smallest = left;
      }
      if (right < heap.length && isBefore(heap[right], heap[smallest])) {
        smallest = right;
      }
      if (smallest === index) return;
      swap(heap, index, smallest);
      index = smallest;
    }
  }
}

function isBefore(left: ScheduledTimer, right: ScheduledTimer): boolean {
  return left.dueAt < right.dueAt ||
    (left.dueAt === right.dueAt && left.sequence < right.sequence);
}

function swap(heap: ScheduledTimer[], first: number, second: number): void {
  const previous = heap[first];
  heap[first] = heap[second];
  heap[second] = previous;
}

/**
 * Resolves after one turn of the event loop, in which all pending promise
 * callbacks run.
 */
function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
