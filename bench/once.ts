/**
 * Added latency of at-most-once execution on virtual time: from the request's
 * arrival at an entry to its permit, with appends gathered for several delays
 * and with none, at several arrival rates, before a log that takes 400 calls
 * a second. Then the records a request would cost if ownership carried over
 * between the requests of a workspace. Ends with one line of JSON.
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

/** A customer of today, and a region of the size to come. */
const ENTRIES = [3, 40];
const RATES_PER_SECOND = [20, 100, 300, 800];
/** -1: every record is a call of its own. */
const DELAYS_MILLISECONDS = [-1, 0, 5, 20, 50, 100];
const RUN_MILLISECONDS = 3_000;
const LOG_CALLS_PER_SECOND = 400;
const LOG_LATENCY_MILLISECONDS = 4;
const KEY_BEGIN = "019b76da-a800-7000-8000-";

interface Point {
  readonly entries: number;
  readonly ratePerSecond: number;
  readonly delayMilliseconds: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
  /** Requests without a permit at the end: the log does not keep up. */
  readonly unserved: number;
  /** Calls that were sent, whether or not the log has come to them. */
  readonly appendCallsPerSecond: number;
}

function randomOf(name: string): Random {
  return seededRandom(hashToUnit(name) * 2 ** 32);
}

/** A log that takes its calls one after another, at a bounded rate. */
class BoundedLog {
  calls = 0;
  readonly #timer: ManualTimerService;
  #freeAt = 0;

  constructor(timer: ManualTimerService) {
    this.#timer = timer;
  }

  over(log: LogService, gathers: boolean): LogService {
    return {
      append: async (stream, records) => {
        if (gathers) return await this.#append(log, { stream, records });
        const answers = records.map((record) =>
          this.#append(log, { stream, records: [record] })
        );
        return (await Promise.all(answers))[0];
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
    await this.#pass(this.#freeAt - now);
    return await log.append(call.stream, call.records);
  }

  #pass(milliseconds: number): Promise<void> {
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
  const bounded = new BoundedLog(timer);
  const coordinators = Array.from({ length: entries }, (_, index) => {
    const { journal, fold } = makeJournal(new OnceFold(), {
      log,
      timer,
      name: `entry-${index}`,
      stream: identifier("once.klang-valley"),
      journal: {
        log: bounded.over(log.connect(), delayMilliseconds >= 0),
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
  const waits = await drive(coordinators, { timer, ratePerSecond });
  waits.served.sort((one, other) => one - other);
  const at = (share: number) =>
    round(waits.served[Math.floor(share * (waits.served.length - 1))] ?? NaN);
  return {
    entries,
    ratePerSecond,
    delayMilliseconds,
    medianMilliseconds: at(0.5),
    p99Milliseconds: at(0.99),
    unserved: waits.sent - waits.served.length,
    appendCallsPerSecond: round(bounded.calls / (RUN_MILLISECONDS / 1_000)),
  };
}

/** Requests come at random times, each with a key of its own. */
async function drive(
  coordinators: readonly OnceCoordinator[],
  options: { timer: ManualTimerService; ratePerSecond: number },
): Promise<{ served: number[]; sent: number }> {
  const { timer, ratePerSecond } = options;
  const random = randomOf(`arrivals ${ratePerSecond}`);
  const served: number[] = [];
  let sent = 0;
  const send = () => {
    const number = sent++;
    const began = timer.now();
    const key = KEY_BEGIN + String(number).padStart(12, "0");
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
      if (result.kind === "run") served.push(timer.now() - began);
    });
    const wait = -Math.log(1 - random()) * 1_000 / ratePerSecond;
    if (timer.now() + wait < RUN_MILLISECONDS) timer.after(wait, send);
  };
  timer.after(100, send);
  await timer.advance(RUN_MILLISECONDS + 200);
  return { served, sent };
}

interface CarryOver {
  readonly entries: number;
  /** Share of requests that the balancer sends to the workspace's last entry. */
  readonly sticky: number;
  readonly recordsPerRequest: number;
}

/**
 * Ownership of a workspace's calls stays at its entry until another entry
 * needs it: then the holder gives it up (one record) and the other takes it
 * (one record). Without carry-over each request costs one record.
 */
function carryOver(entries: number, sticky: number): CarryOver {
  const random = randomOf(`carry ${entries} ${sticky}`);
  const holders = new Map<number, number>();
  const requests = 20_000;
  const workspaces = 200;
  let records = 0;
  for (let request = 0; request < requests; request += 1) {
    const workspace = Math.floor(workspaces * random() ** 2);
    const holder = holders.get(workspace);
    const stays = holder !== undefined && random() < sticky;
    const entry = stays ? holder : Math.floor(random() * entries);
    if (entry === holder) continue;
    records += holder === undefined ? 1 : 2;
    holders.set(workspace, entry);
  }
  return { entries, sticky, recordsPerRequest: round(records / requests) };
}

const KEYS_HELD = 200_000;

/** Heap that each remembered key takes at an entry, bytes. */
function bytesPerKey(): number {
  const fold = new OnceFold();
  const before = process.memoryUsage().heapUsed;
  for (let number = 0; number < KEYS_HELD; number += 1) {
    const key = `crew-${number % 3_400}/${KEY_BEGIN}` +
      String(number).padStart(12, "0");
    // As a reader gets it: every text is a new one.
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
const loads = ENTRIES.flatMap((entries) =>
  RATES_PER_SECOND.map((ratePerSecond) => ({ entries, ratePerSecond }))
);
for (const load of loads) {
  for (const delay of DELAYS_MILLISECONDS) {
    const point = await measure(load, delay);
    points.push(point);
    const gathered = delay < 0 ? "each alone" : `gathered ${delay} ms`;
    console.log(
      `${load.entries} entries, ${load.ratePerSecond} a second, ${gathered}: median ${point.medianMilliseconds} ms, ` +
        `99 in 100 within ${point.p99Milliseconds} ms, ` +
        `${point.appendCallsPerSecond} calls a second, ` +
        `${point.unserved} unserved`,
    );
  }
}
const carried = ENTRIES.flatMap((entries) =>
  [0, 0.5, 0.9].map((sticky) => carryOver(entries, sticky))
);
for (const each of carried) console.log(JSON.stringify(each));
const memory = { keys: KEYS_HELD, bytesPerKey: bytesPerKey() };
console.log(JSON.stringify(memory));
console.log(
  JSON.stringify({ once: { points, carryOver: carried, memory } }),
);
process.exitCode = 0;
