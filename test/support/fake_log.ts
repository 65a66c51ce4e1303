import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { defineError, failure } from "../../src/core/errors/mod.ts";
import { numbered } from "../../src/core/identity/mod.ts";
import type { LogOffset } from "../../src/core/identity/mod.ts";
import type {
  LogFailure,
  LogItem,
  LogPage,
  LogReadOptions,
  LogService,
  StreamName,
} from "../../src/core/journal/mod.ts";
import type { TimerService } from "../../src/core/time/mod.ts";

const UNAVAILABLE = defineError<Record<never, never>>()({
  name: "log_unavailable",
  title: "Log unavailable",
  message: () => "Cannot reach the log service",
  hint: "Wait until the log service is back.",
});

const UNKNOWN = defineError<Record<never, never>>()({
  name: "log_unknown",
  title: "Answer lost",
  message: () => "The log service gave no answer",
  hint: "Read forward to see whether the append took effect.",
});

/** What goes wrong on one connection; a test changes it while it runs. */
export interface LogFaults {
  /** Calls fail at once without effect. */
  down: boolean;
  /** Calls never come back; appends have no effect. */
  silent: boolean;
  /** Added to every call's way there, milliseconds. */
  slowMilliseconds: number;
  /** Appends to come that take effect although their answer is lost. */
  lostAnswers: number;
  /** Appends to come that have no effect and no answer. */
  lostRequests: number;
  /** Appends to come whose answer is lost and that land later. */
  lateAppends: number;
  /** How much later such appends land, milliseconds. */
  lateMilliseconds: number;
  /** Records by which the answering replica is behind. */
  lagRecords: number;
}

export interface FakeLogOptions {
  readonly timer: TimerService;
  /** Time that an append or read takes, milliseconds. */
  readonly latencyMilliseconds?: number;
  /** Appends that the service takes in a second; further ones queue. */
  readonly appendsPerSecond?: number;
  /** Records that each stream keeps; older ones expire. */
  readonly keepRecords?: number;
}

interface StreamState {
  readonly items: LogItem[];
  oldest: number;
  readonly waiters: Set<() => void>;
}

const DEFAULT_LATENCY_MILLISECONDS = 5;

/**
 * The platform's log in memory, on the timer that it is given. Each process
 * of a test takes its own connection, whose faults are set on their own.
 */
export class FakeLog implements LogService {
  readonly #options: FakeLogOptions;
  readonly #streams = new Map<string, StreamState>();
  readonly #shared: LogService;
  /** Faults of the connection that `append` and `read` of this object use. */
  readonly faults: LogFaults = noFaults();
  /** Appends that took effect, by stream. */
  readonly appendCalls = new Map<string, number>();
  /** Calls that reached the service. */
  readCalls = 0;
  #appendsDoneAt = 0;

  constructor(options: FakeLogOptions) {
    this.#options = options;
    this.#shared = this.connect(this.faults);
  }

  /** A connection of one process; change `faults` while the test runs. */
  connect(faults: LogFaults = noFaults()): LogService {
    return {
      append: (stream, records) => this.#append(faults, { stream, records }),
      read: (stream, options) => this.#read(faults, { stream, options }),
    };
  }

  append(
    stream: StreamName,
    records: readonly unknown[],
  ): Promise<Result<LogOffset, LogFailure>> {
    return this.#shared.append(stream, records);
  }

  read(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<Result<LogPage, LogFailure>> {
    return this.#shared.read(stream, options);
  }

  /** Everything that the stream keeps, as a test looks at it. */
  records(stream: StreamName): readonly LogItem[] {
    return this.#stream(stream).items;
  }

  /** Offset behind the newest record. */
  head(stream: StreamName): number {
    const state = this.#stream(stream);
    return state.oldest + state.items.length;
  }

  /** Lets every record below `oldest` expire. */
  expire(stream: StreamName, oldest: number): void {
    const state = this.#stream(stream);
    const count = Math.min(oldest - state.oldest, state.items.length);
    if (count <= 0) return;
    state.items.splice(0, count);
    state.oldest += count;
  }

  /** Puts records on the stream at once, as another tool might. */
  put(stream: StreamName, records: readonly unknown[]): LogOffset {
    const state = this.#stream(stream);
    const first = state.oldest + state.items.length;
    records.forEach((value, index) => {
      state.items.push({ offset: numbered(first + index), value: copy(value) });
    });
    const keep = this.#options.keepRecords ?? Infinity;
    if (state.items.length > keep) {
      this.expire(stream, state.oldest + state.items.length - keep);
    }
    this.appendCalls.set(stream, (this.appendCalls.get(stream) ?? 0) + 1);
    for (const wake of [...state.waiters]) wake();
    return numbered(first);
  }

  async #append(
    faults: LogFaults,
    call: { stream: StreamName; records: readonly unknown[] },
  ): Promise<Result<LogOffset, LogFailure>> {
    if (faults.down) return err(failure(UNAVAILABLE, {}));
    if (faults.silent) return await never();
    const records = call.records.map(copy);
    await this.#pass(this.#latency / 2 + faults.slowMilliseconds);
    if (take(faults, "lostRequests")) return err(failure(UNKNOWN, {}));
    if (take(faults, "lateAppends")) {
      this.#options.timer.after(faults.lateMilliseconds, () => {
        this.put(call.stream, records);
      });
      return err(failure(UNKNOWN, {}));
    }
    await this.#takeTurn();
    const first = this.put(call.stream, records);
    await this.#pass(this.#latency / 2);
    if (take(faults, "lostAnswers")) return err(failure(UNKNOWN, {}));
    return ok(first);
  }

  async #read(
    faults: LogFaults,
    call: { stream: StreamName; options: LogReadOptions },
  ): Promise<Result<LogPage, LogFailure>> {
    if (faults.down) return err(failure(UNAVAILABLE, {}));
    if (faults.silent) return await never();
    this.readCalls += 1;
    await this.#pass(this.#latency / 2 + faults.slowMilliseconds);
    const state = this.#stream(call.stream);
    const deadline = this.#options.timer.now() + call.options.waitMilliseconds;
    for (;;) {
      if (faults.down) return err(failure(UNAVAILABLE, {}));
      const page = this.#page(state, { ...call.options, faults });
      const left = deadline - this.#options.timer.now();
      if (
        page.records.length > 0 || left <= 0 || page.oldest > call.options.from
      ) {
        await this.#pass(this.#latency / 2);
        return ok(page);
      }
      await this.#woken(state, left);
    }
  }

  #page(
    state: StreamState,
    options: LogReadOptions & { faults: LogFaults },
  ): LogPage {
    const head = Math.max(
      state.oldest,
      state.oldest + state.items.length - options.faults.lagRecords,
    );
    const start = options.from - state.oldest;
    const records = start < 0 ? [] : state.items.slice(
      start,
      Math.min(start + options.limit, head - state.oldest),
    );
    return {
      records,
      oldest: numbered(state.oldest),
      head: numbered(head),
    };
  }

  #woken(state: StreamState, mostMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        state.waiters.delete(wake);
        alarm.cancel();
        resolve();
      };
      const alarm = this.#options.timer.after(mostMilliseconds, wake);
      state.waiters.add(wake);
    });
  }

  /** Waits until the service has taken the appends before this one. */
  #takeTurn(): Promise<void> {
    const { appendsPerSecond, timer } = this.#options;
    if (appendsPerSecond === undefined) return Promise.resolve();
    const start = Math.max(timer.now(), this.#appendsDoneAt);
    this.#appendsDoneAt = start + 1_000 / appendsPerSecond;
    return this.#pass(this.#appendsDoneAt - timer.now());
  }

  get #latency(): number {
    return this.#options.latencyMilliseconds ?? DEFAULT_LATENCY_MILLISECONDS;
  }

  #pass(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.timer.after(milliseconds, resolve);
    });
  }

  #stream(name: StreamName): StreamState {
    const known = this.#streams.get(name);
    if (known !== undefined) return known;
    const state = { items: [], oldest: 0, waiters: new Set<() => void>() };
    this.#streams.set(name, state);
    return state;
  }
}

/** A connection on which nothing goes wrong. */
export function noFaults(): LogFaults {
  return {
    down: false,
    silent: false,
    slowMilliseconds: 0,
    lostAnswers: 0,
    lostRequests: 0,
    lateAppends: 0,
    lateMilliseconds: 0,
    lagRecords: 0,
  };
}

function take(
  faults: LogFaults,
  name: "lostAnswers" | "lostRequests" | "lateAppends",
): boolean {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
}

/** Records travel as JSON, so that no two processes share an object. */
function copy(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

function never(): Promise<never> {
  return new Promise(() => {});
}
