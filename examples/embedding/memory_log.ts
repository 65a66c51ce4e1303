import {
  type LogItem,
  type LogOffset,
  type LogPage,
  type LogReadOptions,
  type LogService,
  numbered,
  ok,
  type StreamName,
  type TimerService,
} from "filbertshore";

/** In-memory log service with appends, reads by offset and long polling. */
export class MemoryLog implements LogService {
  readonly #timer: TimerService;
  readonly #streams = new Map<StreamName, LogItem[]>();
  readonly #waiters = new Set<() => void>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  append(stream: StreamName, records: readonly unknown[]) {
    const items = this.#items(stream);
    const first = numbered<LogOffset>(items.length);
    for (const value of records) {
      const text = JSON.stringify(value);
      items.push({ offset: numbered(items.length), value: JSON.parse(text) });
    }
    for (const wake of [...this.#waiters]) wake();
    return Promise.resolve(ok(first));
  }

  async read(stream: StreamName, options: LogReadOptions) {
    const items = this.#items(stream);
    if (items.length <= options.from) {
      await this.#waitForRecord(options.waitMilliseconds);
    }
    const page: LogPage = {
      records: items.slice(options.from, options.from + options.limit),
      oldest: numbered(0),
      head: numbered(items.length),
    };
    return ok(page);
  }

  #items(stream: StreamName): LogItem[] {
    let items = this.#streams.get(stream);
    if (items === undefined) {
      items = [];
      this.#streams.set(stream, items);
    }
    return items;
  }

  #waitForRecord(timeoutMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        this.#waiters.delete(finish);
        timeout.cancel();
        resolve();
      };
      const timeout = this.#timer.after(timeoutMilliseconds, finish);
      this.#waiters.add(finish);
    });
  }
}
