/** Converts validation errors into problems that operators can fix. */
import type { ValidationProblem } from "../../generated/validators.js";
import type { FileProblem } from "./errors.ts";

/** The JSON Schema keywords used here. */
export interface SchemaNode {
  readonly $ref?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
  readonly description?: string;
}

/** A JSON Schema document with its definitions. */
export interface SchemaDocument extends SchemaNode {
  readonly definitions?: Readonly<Record<string, SchemaNode>>;
}

/** The validated value and its schema. */
export interface ProblemContext {
  readonly file: string;
  readonly value: unknown;
  readonly document: SchemaDocument;
  /** Definition that applies to the value; absent: the document itself. */
  readonly definition?: string;
}

/** Returns the problems without duplicates, in the validator's order. */
export function describeProblems(
  errors: readonly ValidationProblem[],
  context: ProblemContext,
): FileProblem[] {
  const seen = new Set<string>();
  const problems: FileProblem[] = [];
  for (const error of errors) {
    const problem = describeProblem(error, context);
    const text = `${problem.path}\n${problem.found}\n${problem.expected}`;
    if (seen.has(text)) continue;
    seen.add(text);
    problems.push(problem);
  }
  return problems;
}

function describeProblem(
  error: ValidationProblem,
  context: ProblemContext,
): FileProblem {
  const segments = error.instancePath.split("/").slice(1).map(
    unescapePointerSegment,
  );
  const value = valueAt(context.value, segments);
  const { file } = context;
  if (error.keyword === "additionalProperties") {
    const key = String(error.params.additionalProperty);
    const knownKeys = Object.keys(
      schemaAt(context, segments)?.properties ?? {},
    );
    return {
      file,
      path: formatPath([...segments, key]),
      found: "an unknown key",
      expected: `one of ${knownKeys.join(", ")}`,
    };
  }
  if (error.keyword === "required") {
    const key = String(error.params.missingProperty);
    return {
      file,
      path: formatPath([...segments, key]),
      found: "nothing",
      expected: "a value, as the key is required",
    };
  }
  return {
    file,
    path: formatPath(segments),
    found: formatValue(value),
    expected: describeExpectation(error),
  };
}

function describeExpectation(error: ValidationProblem): string {
  const { params } = error;
  switch (error.keyword) {
    case "type":
      return `a value of type ${params.type}`;
    case "enum":
      return `one of ${(params.allowedValues as unknown[]).join(", ")}`;
    case "pattern":
      return `text that fits ${params.pattern}`;
    case "minimum":
    case "maximum":
    case "exclusiveMinimum":
    case "exclusiveMaximum":
      return `a number ${params.comparison} ${params.limit}`;
    case "minItems":
      return `at least ${params.limit} entries`;
    case "maxItems":
      return `at most ${params.limit} entries`;
    default:
      return error.message ?? error.keyword;
  }
}

/** Formats a path such as `pools[2].endpoints[0].side`. */
export function formatPath(segments: readonly string[]): string {
  return segments.map((segment, index) => {
    if (/^\d+$/.test(segment)) return `[${segment}]`;
    return index === 0 ? segment : `.${segment}`;
  }).join("");
}

function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value) ?? String(value);
  return text.length > 80 ? `${text.slice(0, 80)}…` : text;
}

function valueAt(value: unknown, segments: readonly string[]): unknown {
  let current = value;
  for (const segment of segments) {
    if (typeof current !== "object" || current === null) return undefined;
    current = (current as Record<string, unknown>)[segment];
  }
  return current;
}

function schemaAt(
  context: ProblemContext,
  segments: readonly string[],
): SchemaNode | undefined {
  const { document, definition } = context;
  let node: SchemaNode | undefined = definition === undefined
    ? document
    : document.definitions?.[definition];
  for (const segment of segments) {
    node = resolveReference(node, document);
    node = /^\d+$/.test(segment) ? node?.items : node?.properties?.[segment];
  }
  return resolveReference(node, document);
}

function resolveReference(
  node: SchemaNode | undefined,
  document: SchemaDocument,
): SchemaNode | undefined {
  const name = node?.$ref?.replace("#/definitions/", "");
  return name === undefined ? node : document.definitions?.[name];
}

function unescapePointerSegment(segment: string): string {
  return segment.replaceAll("~1", "/").replaceAll("~0", "~");
}
