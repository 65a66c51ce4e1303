/** Live heap of an entry's folds of the streams `once` and `orders`. */
import { OnceFold, OrdersFold, type RecordBody } from "../src/mod.ts";
import { numbered } from "../src/core/identity/mod.ts";
import { uuidv7 } from "../test/support/uuid.ts";
import { liveHeapBytes } from "./process_stats.ts";
import type { Point, Series } from "./slope_fit.ts";

const FIRST_KEY_TIME = Date.UTC(2026, 0, 1);

/** Makes the record of a key; all key times are within one key window. */
function keyRecord(index: number): RecordBody {
  const keyTime = FIRST_KEY_TIME + index;
  return {
    kind: "once",
    key: `workspace-${index % 3_400}/${uuidv7({ msecs: keyTime })}`,
    keyTime,
    fingerprint: (index * 7919).toString(16).padStart(16, "0"),
    endpoint: `member-portal-${index % 40}`,
    sideIncarnation: `run-of-member-portal-${index % 40}`,
    replaces: -1,
  };
}

function orderRecord(index: number): RecordBody {
  return {
    kind: "order",
    claim: 0,
    number: index,
    endpoint: `engine-${index}`,
    target: { role: "decode", models: ["triage-llm"], weights: "v7" },
  };
}

/** Measures the live heap of one fold at several numbers of records. */
async function measureHeap(
  sizes: readonly number[],
  fill: (count: number) => object,
): Promise<Point[]> {
  const points: Point[] = [];
  for (const x of sizes) {
    const before = await liveHeapBytes();
    const fold = fill(x);
    points.push({ x, y: await liveHeapBytes() - before });
    if (fold === undefined) throw new Error("The fold was not retained");
  }
  return points;
}

function fillOnce(count: number): OnceFold {
  const fold = new OnceFold();
  for (let index = 0; index < count; index += 1) {
    fold.apply(numbered(index), keyRecord(index));
  }
  if (fold.size !== count) throw new Error("The fold is missing keys");
  return fold;
}

function fillOrders(count: number): OrdersFold {
  const fold = new OrdersFold();
  fold.apply(numbered(0), { kind: "claim", holder: "entry-0", replaces: -1 });
  for (let index = 1; index <= count; index += 1) {
    fold.apply(numbered(index), orderRecord(index));
  }
  if (fold.standingOrder(`engine-${count}`) === undefined) {
    throw new Error("The fold did not apply the orders");
  }
  return fold;
}

export async function measureFolds(): Promise<Series[]> {
  return [
    {
      value: "heap of the once fold",
      variable: "live keys",
      unit: "B",
      points: await measureHeap([2_000, 10_000, 20_000, 40_000], fillOnce),
    },
    {
      value: "heap of the orders fold",
      variable: "ordered endpoints",
      unit: "B",
      points: await measureHeap([500, 1_000, 2_000, 4_000], fillOrders),
    },
  ];
}
