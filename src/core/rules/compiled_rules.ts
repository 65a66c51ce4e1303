import type { CallerRequest } from "../requests/mod.ts";
import type { ClassMatch, Rules, WorkClass } from "../../generated/rules.ts";

/** A combination of fields that matches of the rules compare. */
interface MatchShape {
  readonly workspace: boolean;
  readonly model: boolean;
  readonly route: boolean;
  readonly headerName?: string;
  readonly headerValue: boolean;
  /** Index of the first match in the rules for each combination of values. */
  readonly firstByValues: Map<string, number>;
}

const SEPARATOR = "\u0000";

/**
 * Rules indexed for lookup, so that the cost of classifying a request does not
 * grow with the number of matches; a fleet may have 3,400 workspaces with one
 * match each. Matches on the same combination of fields share one table, and
 * there are only as many tables as combinations in use.
 */
export class CompiledRules {
  readonly classes: ReadonlyMap<string, WorkClass>;
  readonly defaultClass: WorkClass;
  readonly #matches: readonly ClassMatch[];
  readonly #shapes: readonly MatchShape[];

  constructor(rules: Rules) {
    this.classes = new Map(rules.classes.map((each) => [each.name, each]));
    this.defaultClass = this.classes.get(rules.defaultClass) ??
      rules.classes[0];
    this.#matches = rules.matches ?? [];
    this.#shapes = shapesOf(this.#matches);
  }

  /** Class of the first match, or the default class if nothing matches. */
  classOf(request: CallerRequest): WorkClass {
    let first = Infinity;
    for (const shape of this.#shapes) {
      first = Math.min(first, firstMatch(shape, request));
    }
    if (first === Infinity) return this.defaultClass;
    return this.classes.get(this.#matches[first].class) ?? this.defaultClass;
  }
}

function shapesOf(matches: readonly ClassMatch[]): MatchShape[] {
  const shapes = new Map<string, MatchShape>();
  for (const [index, match] of matches.entries()) {
    const shape = shapeOf(match);
    const { firstByValues: _, ...fields } = shape;
    const key = JSON.stringify(fields);
    const existing = shapes.get(key) ?? shape;
    shapes.set(key, existing);
    const values = valuesOf(match);
    if (!existing.firstByValues.has(values)) {
      existing.firstByValues.set(values, index);
    }
  }
  return [...shapes.values()];
}

function shapeOf(match: ClassMatch): MatchShape {
  return {
    workspace: match.workspace !== undefined,
    model: match.model !== undefined,
    route: match.route !== undefined,
    headerName: match.headerName?.toLowerCase(),
    headerValue: match.headerValue !== undefined,
    firstByValues: new Map(),
  };
}

function valuesOf(match: ClassMatch): string {
  return [
    match.workspace ?? "",
    match.model ?? "",
    match.route === undefined ? "" : withoutTrailingSlash(match.route),
    match.headerValue ?? "",
  ].join(SEPARATOR);
}

function firstMatch(shape: MatchShape, request: CallerRequest): number {
  const { work } = request;
  if (shape.model && work.kind !== "generation") return Infinity;
  if (shape.route && work.kind !== "service") return Infinity;
  const header = headerValueFor(shape, request);
  if (header === undefined) return Infinity;
  const workspace = shape.workspace ? request.workspace : "";
  const model = shape.model && work.kind === "generation" ? work.model : "";
  const path = shape.route && work.kind === "service" ? work.path : "";
  let first = Infinity;
  for (const prefix of shape.route ? prefixesOf(path) : [""]) {
    const values = [workspace, model, prefix, header].join(SEPARATOR);
    first = Math.min(first, shape.firstByValues.get(values) ?? Infinity);
  }
  return first;
}

/** Header part of the key; undefined if the request lacks the header. */
function headerValueFor(
  shape: MatchShape,
  request: CallerRequest,
): string | undefined {
  if (shape.headerName === undefined) return "";
  const value = request.headers[shape.headerName];
  if (value === undefined) return undefined;
  return shape.headerValue ? value : "";
}

/** `/a/b?c` → `/a/b`, `/a`, and the empty prefix that matches all paths. */
function prefixesOf(path: string): string[] {
  let prefix = withoutTrailingSlash(path.split("?", 1)[0]);
  const prefixes = [prefix];
  while (prefix !== "") {
    prefix = prefix.slice(0, Math.max(0, prefix.lastIndexOf("/")));
    prefixes.push(prefix);
  }
  return prefixes;
}

function withoutTrailingSlash(path: string): string {
  return path.endsWith("/") ? path.slice(0, -1) : path;
}
