/** Which class of work a request belongs to, by the operators' rules. */
import type { CallerRequest } from "../requests/mod.ts";
import type { Rules, WorkClass } from "../../generated/rules.ts";
import { CompiledRules } from "./compiled_rules.ts";

export { CompiledRules };

export interface ClassifyOptions {
  /** The same rules, compiled; without it they are compiled for this call. */
  readonly compiled?: CompiledRules;
}

/**
 * Class of a request: the first match of the rules, else the default class.
 * A caller may ask for a less urgent class than the rules give it, never for a
 * more urgent one: otherwise every caller would call itself urgent, and the
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
