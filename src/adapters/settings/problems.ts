/** Turns a validator's findings into problems that an operator can mend. */
import type { ValidationProblem } from "../../generated/validators.js";
import type { FileProblem } from "./errors.ts";

/** The part of a JSON Schema that is looked at here. */
export interface SchemaNode {
  readonly $ref?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
  readonly description?: string;
}

/** A schema file with its definitions. */
export interface SchemaDocument extends SchemaNode {
  readonly definitions?: Readonly<Record<string, SchemaNode>>;
}

export interface ProblemContext {
  readonly file: string;
  readonly value: unknown;
  readonly document: SchemaDocument;
  /** Definition that the value has to fit; absent for the document itself. */
  readonly definition?: string;
}

/** Every problem, once, in the order in which the validator found it. */
export function describeProblems(
  findings: readonly ValidationProblem[],
  context: ProblemContext,
): FileProblem[] {
  const seen = new Set<string>();
  const problems: FileProblem[] = [];
  for (const finding of findings) {
    const problem = describeProblem(finding, context);
    const text = `${problem.path}\n${problem.found}\n${problem.expected}`;
    if (seen.has(text)) continue;
    seen.add(text);
    problems.push(problem);
  }
  return problems;
}

function describeProblem(
  finding: ValidationProblem,
  context: ProblemContext,
): FileProblem {
  const steps = finding.instancePath.split("/").slice(1).map(unescapeStep);
  const value = valueAt(context.value, steps);
  const { file } = context;
  if (finding.keyword === "additionalProperties") {
    const key = String(finding.params.additionalProperty);
    const known = Object.keys(schemaAt(context, steps)?.properties ?? {});
    return {
      file,
      path: formatPath([...steps, key]),
      found: "an unknown key",
      expected: `one of ${known.join(", ")}`,
    };
  }
  if (finding.keyword === "required") {
    const key = String(finding.params.missingProperty);
    return {
      file,
      path: formatPath([...steps, key]),
      found: "nothing",
      expected: "a value, as the key is required",
    };
  }
  return {
    file,
    path: formatPath(steps),
    found: formatValue(value),
    expected: expectation(finding),
  };
}

function expectation(finding: ValidationProblem): string {
  const { params } = finding;
  switch (finding.keyword) {
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
      return finding.message ?? finding.keyword;
  }
}

/** `pools[2].endpoints[0].side`, as an operator would write it. */
export function formatPath(steps: readonly string[]): string {
  return steps.map((step, index) => {
    if (/^\d+$/.test(step)) return `[${step}]`;
    return index === 0 ? step : `.${step}`;
  }).join("");
}

function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value) ?? String(value);
  return text.length > 80 ? `${text.slice(0, 80)}…` : text;
}

function valueAt(value: unknown, steps: readonly string[]): unknown {
  let current = value;
  for (const step of steps) {
    if (typeof current !== "object" || current === null) return undefined;
    current = (current as Record<string, unknown>)[step];
  }
  return current;
}

function schemaAt(
  context: ProblemContext,
  steps: readonly string[],
): SchemaNode | undefined {
  const { document, definition } = context;
  let node: SchemaNode | undefined = definition === undefined
    ? document
    : document.definitions?.[definition];
  for (const step of steps) {
    node = resolve(node, document);
    node = /^\d+$/.test(step) ? node?.items : node?.properties?.[step];
  }
  return resolve(node, document);
}

function resolve(
  node: SchemaNode | undefined,
  document: SchemaDocument,
): SchemaNode | undefined {
  const name = node?.$ref?.replace("#/definitions/", "");
  return name === undefined ? node : document.definitions?.[name];
}

function unescapeStep(step: string): string {
  return step.replaceAll("~1", "/").replaceAll("~0", "~");
}
