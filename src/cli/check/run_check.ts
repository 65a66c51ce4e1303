import process from "node:process";
import {
  type FileProblem,
  formatProblem,
  loadConfiguration,
  loadSettings,
  type SettingsKind,
} from "../../adapters/settings/mod.ts";
import { SystemTimerService } from "../../adapters/time/mod.ts";
import { HttpWeightStore } from "../../adapters/weight_store/mod.ts";
import type { Inventory } from "../../generated/inventory.ts";
import { EXIT_CODE_INVALID_INPUT, EXIT_CODE_SUCCESS } from "../exit_codes.ts";
import type { CheckArguments } from "./command.ts";

/** Checks the files and prints all problems; returns the exit code. */
export async function runCheck(files: CheckArguments): Promise<number> {
  const problems = [
    ...findSettingsProblems(files.entry ?? [], "entry"),
    ...findSettingsProblems(files.side ?? [], "side"),
    ...findSettingsProblems(
      files.operator === undefined ? [] : [files.operator],
      "operator",
    ),
    ...await findConfigurationProblems(files),
  ];
  for (const problem of problems) {
    process.stdout.write(`${formatProblem(problem)}\n`);
  }
  const count = problems.length;
  process.stdout.write(
    count === 0
      ? "No problems\n"
      : `${count} problem${count === 1 ? "" : "s"}\n`,
  );
  return count === 0 ? EXIT_CODE_SUCCESS : EXIT_CODE_INVALID_INPUT;
}

function findSettingsProblems(
  files: readonly string[],
  kind: SettingsKind,
): FileProblem[] {
  return files.flatMap((file) => {
    const settings = loadSettings(file, kind);
    return settings.isErr() ? [...settings.error.problems] : [];
  });
}

async function findConfigurationProblems(
  files: CheckArguments,
): Promise<readonly FileProblem[]> {
  const { inventory, rules, operator } = files;
  if (inventory === undefined || rules === undefined) return [];
  const content = loadConfiguration({ inventory, rules });
  if (content.isErr()) return content.error;
  if (operator === undefined) return [];
  const settings = loadSettings(operator, "operator");
  const url = settings.isOk() ? settings.value.platform.weightStore : undefined;
  if (url === undefined) return [];
  return await findWeightProblems(inventory, {
    inventory: content.value.inventory,
    url,
  });
}

/**
 * Finds weights that the weight store does not have. Engines that are ordered
 * to load missing weights would go out of service one after the other.
 */
async function findWeightProblems(
  file: string,
  options: { inventory: Inventory; url: string },
): Promise<FileProblem[]> {
  const store = new HttpWeightStore(options.url, {
    timer: new SystemTimerService(),
  });
  const problems: FileProblem[] = [];
  for (const [index, pool] of options.inventory.pools.entries()) {
    if (pool.weights === undefined) continue;
    const path = `pools[${index}].weights`;
    const found = JSON.stringify(pool.weights);
    const versions = await store.versions(pool.name);
    if (versions.isErr()) {
      problems.push({ file, path, found, expected: versions.error.message });
    } else if (!versions.value.includes(pool.weights)) {
      const expected = `one of ${versions.value.join(", ")}`;
      problems.push({ file, path, found, expected });
    }
  }
  store.close();
  return problems;
}
