import { jsonTextOf } from "../validation/mod.ts";

/** A reason that a configuration can't be accepted. */
export interface ConfigurationProblem {
  /** JSON pointer to the value, such as `/inventory/pools/0/endpoints/2/id`. */
  readonly path: string;
  readonly found: string;
  readonly expected: string;
}

/** Returns a problem for each value that repeats an earlier one. */
export function duplicates(
  values: readonly string[],
  options: { path: (index: number) => string; label: string },
): ConfigurationProblem[] {
  const seen = new Set<string>();
  const problems: ConfigurationProblem[] = [];
  values.forEach((value, index) => {
    if (seen.has(value)) {
      problems.push(problem(options.path(index), {
        found: value,
        expected: `a ${options.label} that is used once`,
      }));
    }
    seen.add(value);
  });
  return problems;
}

export function problem(
  path: string,
  options: { found: unknown; expected: string },
): ConfigurationProblem {
  return {
    path,
    found: formatValue(options.found),
    expected: options.expected,
  };
}

/** Formats a value as an operator would write it. */
export function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  if (typeof value === "string") return value;
  return jsonTextOf(value);
}
