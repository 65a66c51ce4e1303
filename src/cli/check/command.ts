import process from "node:process";
import type { CommandModule } from "yargs";

/** Files to check, by kind. */
export interface CheckArguments {
  readonly inventory?: string;
  readonly rules?: string;
  readonly entry?: string[];
  readonly side?: string[];
  readonly operator?: string;
}

/** `filbertshore check`: validates files before they are used. */
export const checkCommand: CommandModule<unknown, CheckArguments> = {
  command: "check",
  describe: "Validate files and report all problems",
  builder: (args) =>
    args
      .option("inventory", {
        type: "string",
        implies: "rules",
        describe: "Inventory file to publish (TOML)",
      })
      .option("rules", {
        type: "string",
        implies: "inventory",
        describe: "Rules file to publish (TOML)",
      })
      .option("entry", {
        type: "string",
        array: true,
        describe: "Settings files of entries (TOML)",
      })
      .option("side", {
        type: "string",
        array: true,
        describe: "Settings files of sides (TOML)",
      })
      .option("operator", {
        type: "string",
        describe:
          "Settings file of the operator commands (TOML); if it sets a weight store, the inventory's weights are checked against it",
      })
      .check((given) => {
        const kinds = ["inventory", "rules", "entry", "side", "operator"];
        if (kinds.some((kind) => given[kind] !== undefined)) return true;
        throw new Error("Specify at least one file to check");
      })
      .epilogue("Exit codes: 0 no problems, 2 problems found"),
  handler: async (args) => {
    const { runCheck } = await import("./run_check.ts");
    process.exitCode = await runCheck(args);
  },
};
