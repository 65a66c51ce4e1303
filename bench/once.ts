/**
 * Latency that at-most-once execution adds, on virtual time: from a request's
 * arrival at an entry until it may run. Compares several batching delays with
 * unbatched appends at several arrival rates, against a log that handles 400
 * calls a second. Then estimates the log records per request if ownership
 * carried over between the requests of a workspace. The last line of the output
 * is JSON.
 */
import process from "node:process";
import { ok } from "neverthrow";
import { identifier, numbered } from "../src/core/identity/mod.ts";
import type { LogService } from "../src/core/journal/mod.ts";
import { hashToUnit } from "../src/core/membership/mod.ts";
import { OnceCoordinator, OnceFold, timeOfKey } from "../src/core/once/mod.ts";
import { type Random, seededRandom } from "../src/core/random/mod.ts";
import { ManualTimerService } from "../src/core/time/mod.ts";
import { makeJournal } from "../test/support/coordination.ts";
import { FakeLog } from "../test/support/fake_log.ts";

/** Numbers of entries of one current deployment and of a large region. */
const ENTRY_COUNTS = [3, 40];
const RATES_PER_SECOND = [20, 100, 300, 800];
/** With -1, every record is appended by a separate call. */
const APPEND_DELAYS_MILLISECONDS = [-1, 0, 5, 20, 50, 100];
const RUN_MILLISECONDS = 3_000;
const LOG_CALLS_PER_SECOND = 400;
const LOG_LATENCY_MILLISECONDS = 4;
const KEY_PREFIX = "019b76da-a800-7000-8000-";

interface Point {
  readonly entries: number;
  readonly ratePerSecond: number;
  readonly delayMilliseconds: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
  /** Requests not permitted to run by the end, because the log lags behind. */
  readonly unserved: number;
  /** Calls that were sent, whether or not the log has processed them. */
  readonly appendCallsPerSecond: number;
}

function randomFor(name: string): Random {
  return seededRandom(hashToUnit(name) * 2 ** 32);
}

/** Wraps a log so that appends are serialized at a limited rate. */
class RateLimitedLog {
  calls = 0;
  readonly #timer: ManualTimerService;
  #freeAt = 0;

  constructor(timer: ManualTimerService) {
    this.#timer = timer;
  }

  wrap(log: LogService, batches: boolean): LogService {
    return {
      append: async (stream, records) => {
        if (batches) return await this.#append(log, { stream, records });
        const results = records.map((record) =>
          this.#append(log, { stream, records: [record] })
        );
        return (await Promise.all(results))[0];
      },
      read: (stream, options) => log.read(stream, options),
    };
  }

  async #append(
    log: LogService,
    call: {
      stream: Parameters<LogService["append"]>[0];
      records: readonly unknown[];
    },
  ): ReturnType<LogService["append"]> {
    this.calls += 1;
    const now = this.#timer.now();
    this.#freeAt = Math.max(this.#freeAt, now) + 1_000 / LOG_CALLS_PER_SECOND;
    await this.#wait(this.#freeAt - now);
    return await log.append(call.stream, call.records);
  }

  #wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.#timer.after(milliseconds, resolve);
    });
  }
}

async function measure(
  load: { readonly entries: number; readonly ratePerSecond: number },
  delayMilliseconds: number,
): Promise<Point> {
  const { entries, ratePerSecond } = load;
  const timer = new ManualTimerService();
  const log = new FakeLog({
    timer,
    latencyMilliseconds: LOG_LATENCY_MILLISECONDS,
  });
  const rateLimitedLog = new RateLimitedLog(timer);
  const coordinators = Array.from({ length: entries }, (_, index) => {
    const { journal, fold } = makeJournal(new OnceFold(), {
      log,
      timer,
      name: `entry-${index}`,
      stream: identifier("once.klang-valley"),
      journal: {
        log: rateLimitedLog.wrap(log.connect(), delayMilliseconds >= 0),
        appendDelayMilliseconds: Math.max(0, delayMilliseconds),
        writesCheckpoints: false,
      },
    });
    journal.start();
    return new OnceCoordinator({
      fold,
      timer,
      append: (body) => journal.append(body),
      ask: () => new Promise(() => {}),
    });
  });
  const run = await runRequests(coordinators, { timer, ratePerSecond });
  run.latencies.sort((a, b) => a - b);
  const percentile = (share: number) =>
    round(run.latencies[Math.floor(share * (run.latencies.length - 1))] ?? NaN);
  return {
    entries,
    ratePerSecond,
    delayMilliseconds,
    medianMilliseconds: percentile(0.5),
    p99Milliseconds: percentile(0.99),
    unserved: run.sent - run.latencies.length,
    appendCallsPerSecond: round(
      rateLimitedLog.calls / (RUN_MILLISECONDS / 1_000),
    ),
  };
}

/** Sends requests with exponential interarrival times and distinct keys. */
async function runRequests(
  coordinators: readonly OnceCoordinator[],
  options: { timer: ManualTimerService; ratePerSecond: number },
): Promise<{ latencies: number[]; sent: number }> {
  const { timer, ratePerSecond } = options;
  const random = randomFor(`arrivals ${ratePerSecond}`);
  const latencies: number[] = [];
  let sent = 0;
  const send = () => {
    const number = sent++;
    const startedAt = timer.now();
    const key = KEY_PREFIX + String(number).padStart(12, "0");
    const entry = coordinators[Math.floor(random() * coordinators.length)];
    void entry.acquire({
      key,
      fingerprint: "f",
      deadline: Infinity,
      choose: () =>
        Promise.resolve(ok({
          endpoint: identifier("portal-0"),
          sideIncarnation: identifier("i"),
        })),
    }).then((result) => {
      if (result.kind === "run") latencies.push(timer.now() - startedAt);
    });
    const wait = -Math.log(1 - random()) * 1_000 / ratePerSecond;
    if (timer.now() + wait < RUN_MILLISECONDS) timer.after(wait, send);
  };
  timer.after(100, send);
  await timer.advance(RUN_MILLISECONDS + 200);
  return { latencies, sent };
}

interface CarryOver {
  readonly entries: number;
  /** Fraction of requests that the balancer routes to the holding entry. */
  readonly sticky: number;
  readonly recordsPerRequest: number;
}

/**
 * Simulates ownership that stays at a workspace's entry until another entry
 * needs it. A transfer then costs two records: the holder's release and the
 * other entry's acquisition. Without carry-over, each request costs one record.
 */
function simulateCarryOver(entries: number, sticky: number): CarryOver {
  const random = randomFor(`carry ${entries} ${sticky}`);
  const holders = new Map<number, number>();
  const requests = 20_000;
  const workspaces = 200;
  let records = 0;
  for (let request = 0; request < requests; request += 1) {
    const workspace = Math.floor(workspaces * random() ** 2);
    const holder = holders.get(workspace);
    const isSticky = holder !== undefined && random() < sticky;
    const entry = isSticky ? holder : Math.floor(random() * entries);
    if (entry === holder) continue;
    records += holder === undefined ? 1 : 2;
    holders.set(workspace, entry);
  }
  return { entries, sticky, recordsPerRequest: round(records / requests) };
}

const STORED_KEY_COUNT = 200_000;

/** Heap bytes per idempotency key that an entry stores. */
function bytesPerKey(): number {
  const fold = new OnceFold();
  const before = process.memoryUsage().heapUsed;
  for (let number = 0; number < STORED_KEY_COUNT; number += 1) {
    const key = `crew-${number % 3_400}/${KEY_PREFIX}` +
      String(number).padStart(12, "0");
    // Parsing allocates new strings, as reading the record from the log does.
    const body = JSON.parse(JSON.stringify({
      kind: "once",
      key,
      keyTime: timeOfKey(key),
      fingerprint: hashToUnit(key).toString(36),
      endpoint: `portal-${number % 100}`,
      sideIncarnation: `019b76da-a800-7000-8000-${number % 100}`,
      replaces: -1,
    }));
    fold.apply(numbered(number), body);
  }
  const bytes = (process.memoryUsage().heapUsed - before) / fold.size;
  return Math.round(bytes);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

const points: Point[] = [];
const loads = ENTRY_COUNTS.flatMap((entries) =>
  RATES_PER_SECOND.map((ratePerSecond) => ({ entries, ratePerSecond }))
);
for (const load of loads) {
  for (const delay of APPEND_DELAYS_MILLISECONDS) {
    const point = await measure(load, delay);
    points.push(point);
    const batching = delay < 0 ? "each alone" : `gathered ${delay} ms`;
    console.log(
      `${load.entries} entries, ${load.ratePerSecond} a second, ${batching}: median ${point.medianMilliseconds} ms, ` +
        `99 in 100 within ${point.p99Milliseconds} ms, ` +
        `${point.appendCallsPerSecond} calls a second, ` +
        `${point.unserved} unserved`,
    );
  }
}
const carried = ENTRY_COUNTS.flatMap((entries) =>
  [0, 0.5, 0.9].map((sticky) => simulateCarryOver(entries, sticky))
);
for (const result of carried) console.log(JSON.stringify(result));
const memory = { keys: STORED_KEY_COUNT, bytesPerKey: bytesPerKey() };
console.log(JSON.stringify(memory));
console.log(
  JSON.stringify({ once: { points, carryOver: carried, memory } }),
);
process.exitCode = 0;
