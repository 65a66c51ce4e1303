/** Reads the inventory and rules of operators. */
import { err, ok, type Result } from "../../core/errors/result.ts";
import {
  checkConfiguration,
  type ConfigurationContent,
  type ConfigurationProblem,
} from "../../core/configuration/mod.ts";
import type { Inventory } from "../../generated/inventory.ts";
import type { Rules } from "../../generated/rules.ts";
import {
  validateInventory,
  validateRules,
} from "../../generated/validators.js";
import inventorySchema from "../../schema/inventory.json" with { type: "json" };
import rulesSchema from "../../schema/rules.json" with { type: "json" };
import type { FileProblem } from "./errors.ts";
import { formatPath, type SchemaDocument } from "./problems.ts";
import { readTomlFile } from "./toml_file.ts";

/** Paths of the files that make up a configuration. */
export interface ConfigurationFiles {
  readonly inventory: string;
  readonly rules: string;
}

/** Reads inventory and rules; fails with all problems of both files. */
export function loadConfiguration(
  files: ConfigurationFiles,
): Result<ConfigurationContent, readonly FileProblem[]> {
  const inventory = readTomlFile(files.inventory, {
    validator: validateInventory,
    document: inventorySchema as SchemaDocument,
  });
  const rules = readTomlFile(files.rules, {
    validator: validateRules,
    document: rulesSchema as SchemaDocument,
  });
  if (inventory.isErr() || rules.isErr()) {
    return err(
      [inventory, rules].flatMap((each) =>
        each.isErr() ? each.error.problems : []
      ),
    );
  }
  const content = {
    inventory: inventory.value as Inventory,
    rules: rules.value as Rules,
  };
  const problems = checkConfiguration(content);
  if (problems.length === 0) return ok(content);
  return err(problems.map((problem) => toFileProblem(problem, files)));
}

/** Converts a path within the configuration to a file and a path in it. */
function toFileProblem(
  problem: ConfigurationProblem,
  files: ConfigurationFiles,
): FileProblem {
  const [, section, ...segments] = problem.path.split("/");
  const file = section === "rules" ? files.rules : files.inventory;
  const { found, expected } = problem;
  return { file, path: formatPath(segments), found, expected };
}
