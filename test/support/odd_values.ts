/** JSON texts of values that a sound writer never writes. */

const DEPTH = 10_000;
const DIGITS = 10_000;
/** Stands for the odd text where JSON is encoded. */
const MARK = "the odd value";

function nest(open: string, close: string): string {
  return `${open.repeat(DEPTH)}1${close.repeat(DEPTH)}`;
}

export const ODD_TEXTS: Readonly<Record<string, string>> = {
  "nested lists": nest("[", "]"),
  "nested objects": nest('{"a":', "}"),
  "an infinite number": "1e400",
  "a negative infinite number": "-1e400",
  "the largest number": "1e308",
  "an integer without neighbours": "9007199254740993",
  "a number of many digits": "9".repeat(DIGITS),
  "a negative number": "-5",
  "zero": "0",
  "a fraction": "0.5",
  "a port out of range": '"127.0.0.1:70000"',
  "a negative port": '"127.0.0.1:-1"',
  "port zero": '"127.0.0.1:0"',
  "a port of many digits": `"127.0.0.1:${"9".repeat(DIGITS)}"`,
  "a lone surrogate": '"\\ud800"',
  "a prototype's name": '"__proto__"',
  "a prototype": '{"__proto__":{"length":1}}',
  "a long text": `"${"a".repeat(DIGITS)}"`,
  "null": "null",
  "a list of null": "[null]",
};

/** JSON texts of the value, each with one part replaced by the odd text. */
export function* replaceEachPart(
  value: unknown,
  odd: string,
): Generator<string> {
  yield odd;
  for (const path of pathsOf(value)) {
    const copy = structuredClone(value);
    const last = path[path.length - 1];
    const holder = path.slice(0, -1).reduce(
      (each, key) => each[key] as Record<string, unknown>,
      copy as Record<string, unknown>,
    );
    holder[last] = MARK;
    yield JSON.stringify(copy).replace(`"${MARK}"`, () => odd);
  }
}

function* pathsOf(value: unknown): Generator<string[]> {
  if (typeof value !== "object" || value === null) return;
  for (const [key, each] of Object.entries(value)) {
    yield [key];
    for (const path of pathsOf(each)) yield [key, ...path];
  }
}
