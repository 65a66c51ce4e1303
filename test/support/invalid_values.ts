/** Seeded changes of valid messages, for tests of what reads them. */
import type { Random } from "../../src/core/random/mod.ts";

/** JSON texts that take the place of a value. */
const REPLACEMENTS: readonly string[] = [
  "null",
  "true",
  "0",
  "-1",
  "0.5",
  "1e15",
  "-1e308",
  // Parsed as Infinity.
  "1e999",
  '""',
  '"a"',
  '"a\\u0000\\r\\nb"',
  '"constructor"',
  "[]",
  "[null]",
  "[[]]",
  "{}",
  '{"length":3}',
];
const MAX_CHANGES = 3;
/** Marks an infinite number, for which JSON has no value. */
const INFINITY_MARK = "infinite number";

/** Position of a value in the object or array that holds it. */
interface Slot {
  readonly holder: Record<string, unknown>;
  readonly key: string;
}

type Change = (slot: Slot, random: Random) => void;

/** Changes that leave valid JSON. */
const CHANGES: readonly Change[] = [
  ({ holder, key }, random) => {
    holder[key] = JSON.parse(pick(REPLACEMENTS, random));
  },
  ({ holder, key }) => {
    if (Array.isArray(holder)) holder.splice(Number(key), 1);
    else delete holder[key];
  },
  ({ holder, key }) => {
    holder[key] = [holder[key]];
  },
  ({ holder, key }) => {
    holder[key] = { [key]: holder[key] };
  },
  ({ holder, key }) => {
    if (Array.isArray(holder)) holder.push(holder[Number(key)]);
    else holder[`${key}Again`] = holder[key];
  },
];

/** A copy of a JSON value with up to three of its parts changed. */
export function changeValue(value: unknown, random: Random): unknown {
  const root = { value: structuredClone(value) };
  const changes = 1 + Math.floor(random() * MAX_CHANGES);
  for (let index = 0; index < changes; index++) {
    const slots = slotsOf(root);
    if (slots.length === 0) break;
    pick(CHANGES, random)(pick(slots, random), random);
  }
  return root.value;
}

/** A copy of the bytes with some replaced, removed, doubled or inserted. */
export function changeBytes(bytes: Buffer, random: Random): Buffer {
  const at = Math.floor(random() * bytes.length);
  const length = 1 + Math.floor(random() * 4);
  const [before, part, after] = [
    bytes.subarray(0, at),
    bytes.subarray(at, at + length),
    bytes.subarray(at + length),
  ];
  const noise = Buffer.from(
    Array.from({ length }, () => Math.floor(random() * 256)),
  );
  const digits = Buffer.from(
    part.toString("latin1").replace(
      /\d/g,
      () => String(Math.floor(random() * 10)),
    ),
    "latin1",
  );
  return pick([
    Buffer.concat([before, noise, after]),
    Buffer.concat([before, after]),
    Buffer.concat([before, part, part, after]),
    Buffer.concat([before, noise, part, after]),
    Buffer.concat([before, digits, after]),
    before,
  ], random);
}

export function pick<Value>(values: readonly Value[], random: Random): Value {
  return values[Math.floor(random() * values.length)];
}

function slotsOf(holder: object): Slot[] {
  return Object.entries(holder).flatMap(([key, value]) => {
    const own = { holder: holder as Record<string, unknown>, key };
    const isHolder = typeof value === "object" && value !== null;
    return isHolder ? [own, ...slotsOf(value)] : [own];
  });
}

/** JSON in which an infinite number is written as one that is too large. */
export function encodeInvalid(value: unknown): string {
  const text: string | undefined = JSON.stringify(
    value,
    (_, each) => each === Infinity ? INFINITY_MARK : each,
  );
  return (text ?? "null").replaceAll(`"${INFINITY_MARK}"`, "1e999");
}
