/** Parts of a value that are nested deeper than this are left out. */
const MAX_DEPTH = 16;
const OMITTED = "…";

/**
 * JSON text of a value from outside. Node's encoder calls itself for each level
 * and throws where a value is nested too deep, so deeper parts are left out.
 */
export function jsonTextOf(value: unknown): string {
  return JSON.stringify(limitDepth(value, MAX_DEPTH)) ?? "undefined";
}

/** Whether parts of the value are nested in more than `depth` levels. */
export function isNestedDeeper(value: unknown, depth: number): boolean {
  if (typeof value !== "object" || value === null) return false;
  if (depth === 0) return true;
  return Object.values(value).some((each) => isNestedDeeper(each, depth - 1));
}

function limitDepth(value: unknown, depth: number): unknown {
  if (typeof value !== "object" || value === null) return value;
  if (depth === 0) return OMITTED;
  if (Array.isArray(value)) {
    return value.map((each) => limitDepth(each, depth - 1));
  }
  return Object.fromEntries(
    Object.entries(value).map(([key, each]) => [
      key,
      limitDepth(each, depth - 1),
    ]),
  );
}
