import type { Subscription, TimerService } from "./timer_service.ts";

interface Alarm {
  readonly due: number;
  readonly order: number;
  readonly listener: () => void;
  cancelled: boolean;
}

/**
 * Virtual time for tests and embedders: time stands still until `advance`.
 * Alarms fire in the order of their due times, equal times in the order of
 * subscription, so a run with the same seed repeats exactly.
 */
export class ManualTimerService implements TimerService {
  readonly #wallClockStart: number;
  readonly #heap: Alarm[] = [];
  #now = 0;
  #order = 0;

  /** `wallClockStart` is the time of day at virtual time 0, in milliseconds. */
  constructor(wallClockStart = Date.UTC(2026, 0, 1)) {
    this.#wallClockStart = wallClockStart;
  }

  now(): number {
    return this.#now;
  }

  wallClock(): number {
    return this.#wallClockStart + this.#now;
  }

  after(delayMilliseconds: number, listener: () => void): Subscription {
    const alarm: Alarm = {
      due: this.#now + Math.max(0, delayMilliseconds),
      order: this.#order++,
      listener,
      cancelled: false,
    };
    this.#push(alarm);
    return {
      cancel() {
        alarm.cancelled = true;
      },
    };
  }

  every(periodMilliseconds: number, listener: () => void): Subscription {
    let cancelled = false;
    let current: Subscription;
    const fire = () => {
      if (cancelled) return;
      current = this.after(periodMilliseconds, fire);
      listener();
    };
    current = this.after(periodMilliseconds, fire);
    return {
      cancel() {
        cancelled = true;
        current.cancel();
      },
    };
  }

  /**
   * Moves time on by `milliseconds`, firing what falls due. Promises settled
   * by one alarm run before the next alarm fires.
   */
  async advance(milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds;
    await settlePromises();
    for (;;) {
      const alarm = this.#heap[0];
      if (alarm === undefined || alarm.due > end) break;
      this.#pop();
      if (alarm.cancelled) continue;
      this.#now = Math.max(this.#now, alarm.due);
      alarm.listener();
      await settlePromises();
    }
    this.#now = end;
  }

  #push(alarm: Alarm): void {
    const heap = this.#heap;
    let index = heap.push(alarm) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index], heap[parent])) return;
      swap(heap, index, parent);
      index = parent;
    }
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop() as Alarm;
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

function isBefore(one: Alarm, other: Alarm): boolean {
  return one.due < other.due ||
    (one.due === other.due && one.order < other.order);
}

function swap(heap: Alarm[], one: number, other: number): void {
  const kept = heap[one];
  heap[one] = heap[other];
  heap[other] = kept;
}

/** A turn of the event loop runs every promise callback that is ready. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
