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
import { type ConfigurationProblem, describe, problem } from "./problem.ts";

/** What operators publish. */
export interface ConfigurationContent {
  readonly inventory: Inventory;
  readonly rules: Rules;
}

/** Reads content that may be anything; gives every problem that it finds. */
export function checkConfiguration(
  content: unknown,
): readonly ConfigurationProblem[] {
  const { inventory, rules } = (content ?? {}) as Record<string, unknown>;
  const shape = [
    ...checkShape(inventory, {
      path: "/inventory",
      validate: validateInventory,
    }),
    ...checkShape(rules, { path: "/rules", validate: validateRules }),
  ];
  if (shape.length > 0) return shape;
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
    found: describe(valueAt(value, error.instancePath)),
    expected: expectation(error),
  }));
}

function expectation(error: ValidationProblem): string {
  const extra = error.params.additionalProperty ?? error.params.allowedValues;
  const message = error.message ?? error.keyword;
  return extra === undefined ? message : `${message}: ${describe(extra)}`;
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
