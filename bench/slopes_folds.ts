/** Live memory of what an entry holds of the streams `once` and `orders`. */
import { OnceFold, OrdersFold, type RecordBody } from "../src/mod.ts";
import { numbered } from "../src/core/identity/mod.ts";
import { uuidv7 } from "../test/support/uuid.ts";
import { liveHeapBytes } from "./process_figures.ts";
import type { Point, Series } from "./slope_fit.ts";

const START = Date.UTC(2026, 0, 1);

/** Records of keys from within one window, each with an owner of its own. */
function keyRecord(index: number): RecordBody {
  const keyTime = START + index;
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

/** Memory of one fold by the number of records that it holds. */
async function heapOf(
  sizes: readonly number[],
  fill: (count: number) => object,
): Promise<Point[]> {
  const points: Point[] = [];
  for (const x of sizes) {
    const before = await liveHeapBytes();
    const held = fill(x);
    points.push({ x, y: await liveHeapBytes() - before });
    if (held === undefined) throw new Error("The fold is gone");
  }
  return points;
}

function fillOnce(count: number): OnceFold {
  const fold = new OnceFold();
  for (let index = 0; index < count; index += 1) {
    fold.apply(numbered(index), keyRecord(index));
  }
  if (fold.size !== count) throw new Error("Keys were not taken");
  return fold;
}

function fillOrders(count: number): OrdersFold {
  const fold = new OrdersFold();
  fold.apply(numbered(0), { kind: "claim", holder: "entry-0", replaces: -1 });
  for (let index = 1; index <= count; index += 1) {
    fold.apply(numbered(index), orderRecord(index));
  }
  if (fold.standingOrder(`engine-${count}`) === undefined) {
    throw new Error("Orders were not taken");
  }
  return fold;
}

export async function measureFolds(): Promise<Series[]> {
  return [
    {
      value: "heap of the once fold",
      variable: "live keys",
      unit: "B",
      points: await heapOf([2_000, 10_000, 20_000, 40_000], fillOnce),
    },
    {
      value: "heap of the orders fold",
      variable: "ordered endpoints",
      unit: "B",
      points: await heapOf([500, 1_000, 2_000, 4_000], fillOrders),
    },
  ];
}
