/**
 * Latency that batching records adds and appends that it saves, on virtual
 * time: `npx tsx bench/append.ts`. The entries of one region append idempotency
 * records at a given total rate; the log handles a limited number of appends
 * per second. "delay" is group commit with that delay, "each alone" appends
 * every record separately, and with "owners" a few entries batch for all.
 */
import { identifier } from "../src/core/identity/mod.ts";
import type { StreamFold, StreamName } from "../src/core/journal/mod.ts";
import { seededRandom } from "../src/core/random/mod.ts";
import { ManualTimerService, sleep } from "../src/core/time/mod.ts";
import type { RecordBody } from "../src/generated/log_records.ts";
import { makeJournal } from "../test/support/coordination.ts";
import { FakeLog } from "../test/support/fake_log.ts";

const ENTRIES = 37;
const APPENDS_PER_SECOND = 300;
const LOG_LATENCY_MILLISECONDS = 20;
/** Round trip to the owner within a zone. */
const OWNER_ROUND_TRIP_MILLISECONDS = 3;
const RUN_MILLISECONDS = 10_000;
const DRAIN_MILLISECONDS = 10_000;
const RECORD_RATES = [30, 100, 300, 1_000];
const STREAM: StreamName = identifier("once.klang-valley");

interface Variant {
  readonly name: string;
  readonly writers: number;
  readonly delayMilliseconds: number;
  readonly unbatched?: boolean;
  readonly roundTripMilliseconds?: number;
}

const VARIANTS: readonly Variant[] = [
  {
    name: "each alone",
    writers: ENTRIES,
    delayMilliseconds: 0,
    unbatched: true,
  },
  { name: "delay 0 ms", writers: ENTRIES, delayMilliseconds: 0 },
  { name: "delay 5 ms", writers: ENTRIES, delayMilliseconds: 5 },
  { name: "delay 20 ms", writers: ENTRIES, delayMilliseconds: 20 },
  {
    name: "3 owners, 0 ms",
    writers: 3,
    delayMilliseconds: 0,
    roundTripMilliseconds: OWNER_ROUND_TRIP_MILLISECONDS,
  },
  {
    name: "3 owners, 5 ms",
    writers: 3,
    delayMilliseconds: 5,
    roundTripMilliseconds: OWNER_ROUND_TRIP_MILLISECONDS,
  },
];

class EmptyFold implements StreamFold {
  apply(): void {}
  save(): Record<string, unknown> {
    return {};
  }
  load(): void {}
}

type Append = (body: RecordBody) => Promise<boolean>;

function makeWriter(
  index: number,
  options: { log: FakeLog; timer: ManualTimerService; variant: Variant },
): Append {
  const { log, timer, variant } = options;
  const name = `writer-${index}`;
  if (variant.unbatched) {
    let sequence = 0;
    return async (body) => {
      const record = { writer: name, incarnation: name, body };
      const result = await log.append(STREAM, [
        { ...record, sequence: sequence++ },
      ]);
      return result.isOk();
    };
  }
  const { journal } = makeJournal(new EmptyFold(), {
    log,
    timer,
    name,
    stream: STREAM,
    journal: {
      appendDelayMilliseconds: variant.delayMilliseconds,
      writesCheckpoints: false,
    },
  });
  journal.start();
  return async (body) => (await journal.append(body)).isOk();
}

async function measure(variant: Variant, rate: number) {
  const timer = new ManualTimerService();
  const log = new FakeLog({
    timer,
    latencyMilliseconds: LOG_LATENCY_MILLISECONDS,
    appendsPerSecond: APPENDS_PER_SECOND,
  });
  const writers = Array.from(
    { length: variant.writers },
    (_, index) => makeWriter(index, { log, timer, variant }),
  );
  await timer.advance(1_000);
  const random = seededRandom(rate);
  const end = timer.now() + RUN_MILLISECONDS;
  const latencies: number[] = [];
  let failed = 0;
  const appendRecord = async () => {
    const started = timer.now();
    await sleep(timer, (variant.roundTripMilliseconds ?? 0) / 2);
    const writer = writers[Math.floor(random() * writers.length)];
    const appended = await writer({ kind: "renewal", claim: 0 });
    await sleep(timer, (variant.roundTripMilliseconds ?? 0) / 2);
    if (appended) latencies.push(timer.now() - started);
    else failed += 1;
  };
  const scheduleNext = () => {
    if (timer.now() >= end) return;
    void appendRecord();
    timer.after(-Math.log(1 - random()) * 1_000 / rate, scheduleNext);
  };
  scheduleNext();
  await timer.advance(RUN_MILLISECONDS + DRAIN_MILLISECONDS);
  latencies.sort((a, b) => a - b);
  const percentile = (share: number) =>
    Math.round(latencies[Math.floor(latencies.length * share)] * 10) / 10;
  const appends = log.appendCalls.get(STREAM) ?? 0;
  return {
    variant: variant.name,
    recordsPerSecond: rate,
    medianMilliseconds: percentile(0.5),
    highMilliseconds: percentile(0.99),
    recordsInAppend: Math.round(
      (latencies.length + failed) * 10 / appends,
    ) / 10,
    failed,
  };
}

const results = [];
for (const rate of RECORD_RATES) {
  for (const variant of VARIANTS) results.push(await measure(variant, rate));
}
console.table(results);
console.log(JSON.stringify({ append: results }));
