/**
 * `npm run losses -- FILE`: says where requests were lost, from the log lines of
 * entries. The lines may carry other text before their JSON; lines of other
 * programs are passed over. Prints refusals and cuts by reason and second,
 * predicted against measured reading by route, and where first bytes took long.
 */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";

interface DecisionLine {
  readonly time: string;
  readonly decision: string;
  readonly requestId: string;
  readonly route: string;
  readonly reason?: string;
  readonly step?: string;
  readonly late?: boolean;
  readonly backlogMilliseconds?: number;
  readonly workMilliseconds?: number;
  readonly milliseconds?: number;
  readonly firstByteMilliseconds?: number;
}

/** One reading of a prompt: what was predicted and what it took. */
interface Reading {
  readonly predicted: number;
  readonly late: boolean;
  took?: number;
}

/** Time in which losses are counted together, seconds. */
const SPAN_SECONDS = 2;
const MILLISECONDS = 1_000;

class Losses {
  readonly #readings = new Map<string, Reading>();
  readonly #readingsOf = new Map<string, Reading[]>();
  readonly #firstBytes = new Map<string, number[]>();
  readonly #handovers = new Map<string, number[]>();
  readonly #lost = new Map<string, Map<number, number>>();
  #start: number | undefined;

  take(line: DecisionLine): void {
    const at = Date.parse(line.time);
    this.#start ??= at;
    const span = Math.floor((at - this.#start) / MILLISECONDS / SPAN_SECONDS);
    const { decision, requestId, route } = line;
    if (decision === "placed" && line.step === "prefill") this.#placed(line);
    if (decision === "prompt_read") this.#read(line);
    if (decision === "answered") {
      const first = line.firstByteMilliseconds ?? 0;
      listIn(this.#firstBytes, route).push(first);
      const took = this.#readings.get(requestId)?.took;
      if (took !== undefined) listIn(this.#handovers, route).push(first - took);
    }
    if (["refused", "cut", "caller_gone"].includes(decision)) {
      this.#lose(`${decision} ${line.reason ?? ""}`, span);
    }
  }

  #placed(line: DecisionLine): void {
    const reading: Reading = {
      predicted: (line.backlogMilliseconds ?? 0) +
        (line.workMilliseconds ?? 0),
      late: line.late === true,
    };
    this.#readings.set(line.requestId, reading);
    listIn(this.#readingsOf, line.route).push(reading);
  }

  #read(line: DecisionLine): void {
    const reading = this.#readings.get(line.requestId);
    if (reading !== undefined) reading.took = line.milliseconds;
  }

  #lose(reason: string, span: number): void {
    let spans = this.#lost.get(reason);
    if (spans === undefined) this.#lost.set(reason, spans = new Map());
    spans.set(span, (spans.get(span) ?? 0) + 1);
  }

  print(): void {
    console.log("Lost, by reason and seconds from the first line");
    for (const [reason, spans] of [...this.#lost].sort(byTotal)) {
      const cells = [...spans].sort(([one], [other]) => one - other)
        .map(([span, count]) => `${span * SPAN_SECONDS}s:${count}`);
      console.log(`  ${reason} (${total(spans)}): ${cells.join(" ")}`);
    }
    console.log("\nReading, ms: predicted; measured");
    for (const [route, readings] of this.#readingsOf) {
      for (const late of [false, true]) {
        const done = readings.filter((each) =>
          each.late === late && each.took !== undefined
        );
        if (done.length === 0) continue;
        console.log(
          `  ${route} ${late ? "late" : "on time"} (${done.length}): ` +
            `${quantiles(done.map((each) => each.predicted))}; ` +
            `${quantiles(done.map((each) => each.took ?? 0))}`,
        );
      }
    }
    printQuantiles("First byte, ms", this.#firstBytes);
    printQuantiles("First byte less reading, ms", this.#handovers);
  }
}

function printQuantiles(
  title: string,
  byRoute: ReadonlyMap<string, readonly number[]>,
): void {
  console.log(`\n${title}`);
  for (const [route, values] of byRoute) {
    console.log(`  ${route} (${values.length}): ${quantiles(values)}`);
  }
}

function quantiles(values: readonly number[]): string {
  const sorted = [...values].sort((one, other) => one - other);
  return [0.5, 0.9, 0.99].map((share) => {
    const index = Math.min(sorted.length - 1, share * sorted.length);
    return `p${share * 100} ${Math.round(sorted[Math.floor(index)] ?? 0)}`;
  }).join(" ");
}

function listIn<Value>(lists: Map<string, Value[]>, key: string): Value[] {
  const list = lists.get(key) ?? [];
  lists.set(key, list);
  return list;
}

type Spans = ReadonlyMap<number, number>;

function total(spans: Spans): number {
  return [...spans.values()].reduce((sum, count) => sum + count, 0);
}

function byTotal([, one]: [string, Spans], [, other]: [string, Spans]): number {
  return total(other) - total(one);
}

const [file] = process.argv.slice(2);
if (file === undefined) {
  console.error("Usage: npm run losses -- FILE");
  process.exit(2);
}
const losses = new Losses();
for await (const text of createInterface({ input: createReadStream(file) })) {
  const start = text.indexOf('{"level"');
  if (start < 0 || !text.includes('"decision"')) continue;
  try {
    losses.take(JSON.parse(text.slice(start)));
  } catch {
    console.error(`Not a whole line: ${text.slice(0, 80)}`);
  }
}
losses.print();
