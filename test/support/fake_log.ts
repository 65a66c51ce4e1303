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
  hint: "Wait until the log service is reachable.",
});

const UNKNOWN = defineError<Record<never, never>>()({
  name: "log_unknown",
  title: "Response lost",
  message: () => "The log service sent no response",
  hint: "Read forward to see whether the append took effect.",
});

/** Faults of one connection; a test may change them while it runs. */
export interface LogFaults {
  /** Calls fail immediately and have no effect. */
  down: boolean;
  /** Calls never settle; appends have no effect. */
  silent: boolean;
  /** Added to the request latency of every call, milliseconds. */
  addedLatencyMilliseconds: number;
  /** Number of next appends that take effect but whose response is lost. */
  lostAnswers: number;
  /** Number of next appends that are lost on the way to the service. */
  lostRequests: number;
  /** Number of next appends whose response is lost and which apply later. */
  lateAppends: number;
  /** Delay after which a late append applies, milliseconds. */
  lateMilliseconds: number;
  /** Number of records by which the replica that serves reads lags. */
  lagRecords: number;
}

export interface FakeLogOptions {
  readonly timer: TimerService;
  /** Round-trip time of an append or read, milliseconds. */
  readonly latencyMilliseconds?: number;
  /** Append throughput per second; further appends queue. */
  readonly appendsPerSecond?: number;
  /** Number of records retained in each stream; older ones expire. */
  readonly retainedRecords?: number;
}

interface StreamState {
  readonly items: LogItem[];
  oldest: number;
  readonly waiters: Set<() => void>;
}

const DEFAULT_LATENCY_MILLISECONDS = 5;

/**
 * In-memory log service on the given timer. Each process of a test opens its
 * own connection, whose faults are set independently.
 */
export class FakeLog implements LogService {
  readonly #options: FakeLogOptions;
  readonly #streams = new Map<string, StreamState>();
  readonly #defaultConnection: LogService;
  /**
   * Faults of the default connection, used by `append` and `read` of this
   * object.
   */
  readonly faults: LogFaults = noFaults();
  /** Number of appends that took effect, by stream. */
  readonly appendCalls = new Map<string, number>();
  /** Number of reads that reached the service. */
  readCalls = 0;
  #appendsBusyUntil = 0;

  constructor(options: FakeLogOptions) {
    this.#options = options;
    this.#defaultConnection = this.connect(this.faults);
  }

  /**
   * Opens a connection for one process; `faults` may change during the test.
   */
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
    return this.#defaultConnection.append(stream, records);
  }

  read(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<Result<LogPage, LogFailure>> {
    return this.#defaultConnection.read(stream, options);
  }

  /** All records retained in the stream. */
  records(stream: StreamName): readonly LogItem[] {
    return this.#stream(stream).items;
  }

  /** Offset after the newest record. */
  head(stream: StreamName): number {
    const state = this.#stream(stream);
    return state.oldest + state.items.length;
  }

  /** Expires every record below the offset `oldest`. */
  expire(stream: StreamName, oldest: number): void {
    const state = this.#stream(stream);
    const count = Math.min(oldest - state.oldest, state.items.length);
    if (count <= 0) return;
    state.items.splice(0, count);
    state.oldest += count;
  }

  /** Appends records immediately and without faults, as another tool might. */
  appendDirectly(stream: StreamName, records: readonly unknown[]): LogOffset {
    const state = this.#stream(stream);
    const first = state.oldest + state.items.length;
    records.forEach((value, index) => {
      state.items.push({
        offset: numbered(first + index),
        value: jsonCopy(value),
      });
    });
    const retained = this.#options.retainedRecords ?? Infinity;
    if (state.items.length > retained) {
      this.expire(stream, state.oldest + state.items.length - retained);
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
    const records = call.records.map(jsonCopy);
    await this.#sleep(this.#latency / 2 + faults.addedLatencyMilliseconds);
    if (consume(faults, "lostRequests")) return err(failure(UNKNOWN, {}));
    if (consume(faults, "lateAppends")) {
      this.#options.timer.after(faults.lateMilliseconds, () => {
        this.appendDirectly(call.stream, records);
      });
      return err(failure(UNKNOWN, {}));
    }
    await this.#waitForThroughput();
    const first = this.appendDirectly(call.stream, records);
    await this.#sleep(this.#latency / 2);
    if (consume(faults, "lostAnswers")) return err(failure(UNKNOWN, {}));
    return ok(first);
  }

  async #read(
    faults: LogFaults,
    call: { stream: StreamName; options: LogReadOptions },
  ): Promise<Result<LogPage, LogFailure>> {
    if (faults.down) return err(failure(UNAVAILABLE, {}));
    if (faults.silent) return await never();
    this.readCalls += 1;
    await this.#sleep(this.#latency / 2 + faults.addedLatencyMilliseconds);
    const state = this.#stream(call.stream);
    const deadline = this.#options.timer.now() + call.options.waitMilliseconds;
    for (;;) {
      if (faults.down) return err(failure(UNAVAILABLE, {}));
      const page = this.#page(state, { ...call.options, faults });
      const remainingMilliseconds = deadline - this.#options.timer.now();
      if (
        page.records.length > 0 || remainingMilliseconds <= 0 ||
        page.oldest > call.options.from
      ) {
        await this.#sleep(this.#latency / 2);
        return ok(page);
      }
      await this.#waitForAppend(state, remainingMilliseconds);
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

  #waitForAppend(state: StreamState, maxMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        state.waiters.delete(wake);
        timeout.cancel();
        resolve();
      };
      const timeout = this.#options.timer.after(maxMilliseconds, wake);
      state.waiters.add(wake);
    });
  }

  /** Waits until the service has processed the appends before this one. */
  #waitForThroughput(): Promise<void> {
    const { appendsPerSecond, timer } = this.#options;
    if (appendsPerSecond === undefined) return Promise.resolve();
    const start = Math.max(timer.now(), this.#appendsBusyUntil);
    this.#appendsBusyUntil = start + 1_000 / appendsPerSecond;
    return this.#sleep(this.#appendsBusyUntil - timer.now());
  }

  get #latency(): number {
    return this.#options.latencyMilliseconds ?? DEFAULT_LATENCY_MILLISECONDS;
  }

  #sleep(milliseconds: number): Promise<void> {
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

/** Settings of a connection without faults. */
export function noFaults(): LogFaults {
  return {
    down: false,
    silent: false,
    addedLatencyMilliseconds: 0,
    lostAnswers: 0,
    lostRequests: 0,
    lateAppends: 0,
    lateMilliseconds: 0,
    lagRecords: 0,
  };
}

function consume(
  faults: LogFaults,
  name: "lostAnswers" | "lostRequests" | "lateAppends",
): boolean {
  if (faults[name] === 0) return false;
  faults[name] -= 1;
  return true;
}

/** Copies a record through JSON, so that no two processes share an object. */
function jsonCopy(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

function never(): Promise<never> {
  return new Promise(() => {});
}
