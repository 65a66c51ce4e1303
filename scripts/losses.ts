/**
 * `npm run losses -- FILE`: shows where requests were lost, from the logs of
 * entries. Text before the JSON of a line is ignored, and so are lines of other
 * programs. Prints refusals and cuts by reason and time, predicted and measured
 * prefill times by route, and quantiles of the time to the first byte.
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

/** Predicted and measured duration of one prefill. */
interface Prefill {
  readonly predictedMilliseconds: number;
  readonly late: boolean;
  measuredMilliseconds?: number;
}

/** Width of the windows by which losses are counted. */
const WINDOW_SECONDS = 2;
const MILLISECONDS_PER_SECOND = 1_000;

class Losses {
  readonly #prefills = new Map<string, Prefill>();
  readonly #prefillsByRoute = new Map<string, Prefill[]>();
  readonly #firstBytesByRoute = new Map<string, number[]>();
  readonly #handovers = new Map<string, number[]>();
  readonly #losses = new Map<string, Map<number, number>>();
  #startMilliseconds: number | undefined;

  add(line: DecisionLine): void {
    const at = Date.parse(line.time);
    this.#startMilliseconds ??= at;
    const window = Math.floor(
      (at - this.#startMilliseconds) / MILLISECONDS_PER_SECOND / WINDOW_SECONDS,
    );
    const { decision, requestId, route } = line;
    if (decision === "placed" && line.step === "prefill") this.#onPlaced(line);
    if (decision === "prompt_read") this.#onPrefilled(line);
    if (decision === "answered") {
      const first = line.firstByteMilliseconds ?? 0;
      listIn(this.#firstBytesByRoute, route).push(first);
      const took = this.#prefills.get(requestId)?.measuredMilliseconds;
      if (took !== undefined) listIn(this.#handovers, route).push(first - took);
    }
    if (["refused", "cut", "caller_gone"].includes(decision)) {
      this.#countLoss(`${decision} ${line.reason ?? ""}`, window);
    }
  }

  #onPlaced(line: DecisionLine): void {
    const prefill: Prefill = {
      predictedMilliseconds: (line.backlogMilliseconds ?? 0) +
        (line.workMilliseconds ?? 0),
      late: line.late === true,
    };
    this.#prefills.set(line.requestId, prefill);
    listIn(this.#prefillsByRoute, line.route).push(prefill);
  }

  #onPrefilled(line: DecisionLine): void {
    const prefill = this.#prefills.get(line.requestId);
    if (prefill !== undefined) prefill.measuredMilliseconds = line.milliseconds;
  }

  #countLoss(reason: string, window: number): void {
    let windows = this.#losses.get(reason);
    if (windows === undefined) this.#losses.set(reason, windows = new Map());
    windows.set(window, (windows.get(window) ?? 0) + 1);
  }

  print(): void {
    console.log("Losses by reason and seconds since the first line");
    for (const [reason, windows] of [...this.#losses].sort(byTotal)) {
      const cells = [...windows].sort(([one], [other]) => one - other)
        .map(([window, count]) => `${window * WINDOW_SECONDS}s:${count}`);
      console.log(`  ${reason} (${total(windows)}): ${cells.join(" ")}`);
    }
    console.log("\nPrefill, ms: predicted; measured");
    for (const [route, prefills] of this.#prefillsByRoute) {
      for (const late of [false, true]) {
        const measured = prefills.filter((each) =>
          each.late === late && each.measuredMilliseconds !== undefined
        );
        if (measured.length === 0) continue;
        console.log(
          `  ${route} ${late ? "late" : "on time"} (${measured.length}): ` +
            `${
              quantiles(measured.map((each) => each.predictedMilliseconds))
            }; ` +
            `${
              quantiles(measured.map((each) => each.measuredMilliseconds ?? 0))
            }`,
        );
      }
    }
    printQuantiles("First byte, ms", this.#firstBytesByRoute);
    printQuantiles("First byte minus prefill, ms", this.#handovers);
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

type WindowCounts = ReadonlyMap<number, number>;

function total(windows: WindowCounts): number {
  return [...windows.values()].reduce((sum, count) => sum + count, 0);
}

function byTotal(
  [, one]: [string, WindowCounts],
  [, other]: [string, WindowCounts],
): number {
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
    losses.add(JSON.parse(text.slice(start)));
  } catch {
    console.error(`Cannot parse the line: ${text.slice(0, 80)}`);
  }
}
losses.print();
