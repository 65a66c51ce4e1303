import type { Inventory } from "../../generated/inventory.ts";
import type { Rules } from "../../generated/rules.ts";
import {
  validateInventory,
  validateRules,
  type ValidationProblem,
  type Validator,
} from "../../generated/validators.js";
import { checkInventory } from "./check_inventory.ts";
import { checkRules } from "./check_rules.ts";
import { type ConfigurationProblem, formatValue, problem } from "./problem.ts";

/** Content of a configuration that operators publish. */
export interface ConfigurationContent {
  readonly inventory: Inventory;
  readonly rules: Rules;
}

/** Validates content of any type; returns every problem found. */
export function checkConfiguration(
  content: unknown,
): readonly ConfigurationProblem[] {
  const { inventory, rules } = (content ?? {}) as Record<string, unknown>;
  const shapeProblems = [
    ...checkShape(inventory, {
      path: "/inventory",
      validate: validateInventory,
    }),
    ...checkShape(rules, { path: "/rules", validate: validateRules }),
  ];
  if (shapeProblems.length > 0) return shapeProblems;
  const checked = { inventory, rules } as ConfigurationContent;
  return [
    ...checkInventory(checked.inventory),
    ...checkRules(checked.rules, checked.inventory),
  ];
}

function checkShape(
  value: unknown,
  options: { path: string; validate: Validator },
): ConfigurationProblem[] {
  if (value === undefined) {
    return [problem(options.path, { found: undefined, expected: "a table" })];
  }
  if (options.validate(value)) return [];
  return (options.validate.errors ?? []).map((error) => ({
    path: options.path + error.instancePath,
    found: formatValue(valueAt(value, error.instancePath)),
    expected: expectedValue(error),
  }));
}

function expectedValue(error: ValidationProblem): string {
  const extra = error.params.additionalProperty ?? error.params.allowedValues;
  const message = error.message ?? error.keyword;
  return extra === undefined ? message : `${message}: ${formatValue(extra)}`;
}

function valueAt(value: unknown, path: string): unknown {
  let current = value;
  for (const part of path.split("/").slice(1)) {
    if (typeof current !== "object" || current === null) return undefined;
    const name = part.replaceAll("~1", "/").replaceAll("~0", "~");
    current = (current as Record<string, unknown>)[name];
  }
  return current;
}
