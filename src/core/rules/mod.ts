/** Assigns requests to classes of work by the operators' rules. */
import type { CallerRequest } from "../requests/mod.ts";
import type { Rules, WorkClass } from "../../generated/rules.ts";
import { CompiledRules } from "./compiled_rules.ts";

export { CompiledRules };

export interface ClassifyOptions {
  /** The same rules, compiled; if absent, they are compiled for this call. */
  readonly compiled?: CompiledRules;
}

/**
 * Class of a request: that of the first match, or the default class. A caller
 * may request a less urgent class than the rules assign, but not a more urgent
 * one; otherwise every caller would request the most urgent class, and the
 * alerts would wait behind them.
 */
export function classify(
  request: CallerRequest,
  rules: Rules,
  options: ClassifyOptions = {},
): WorkClass {
  const compiled = options.compiled ?? new CompiledRules(rules);
  const given = compiled.classOf(request);
  if (request.className === undefined) return given;
  const wanted = compiled.classes.get(request.className);
  if (wanted === undefined || wanted.priority < given.priority) return given;
  return wanted;
}
