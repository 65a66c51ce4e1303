import process from "node:process";
import type { CommandModule } from "yargs";

/** Files to check, by their kind. */
export interface CheckArguments {
  readonly inventory?: string;
  readonly rules?: string;
  readonly entry?: string[];
  readonly side?: string[];
  readonly operator?: string;
}

/** `filbertshore check`: looks at files before they are used. */
export const checkCommand: CommandModule<unknown, CheckArguments> = {
  command: "check",
  describe: "Check files; tells every problem at once",
  builder: (arguments_) =>
    arguments_
      .option("inventory", {
        type: "string",
        implies: "rules",
        describe: "Inventory to be published (TOML)",
      })
      .option("rules", {
        type: "string",
        implies: "inventory",
        describe: "Rules to be published (TOML)",
      })
      .option("entry", {
        type: "string",
        array: true,
        describe: "Settings of entries",
      })
      .option("side", {
        type: "string",
        array: true,
        describe: "Settings of sides",
      })
      .option("operator", {
        type: "string",
        describe:
          "Settings of operators' commands; where they name a weight store, it is asked for the inventory's weights",
      })
      .check((given) => {
        const kinds = ["inventory", "rules", "entry", "side", "operator"];
        if (kinds.some((kind) => given[kind] !== undefined)) return true;
        throw new Error("Name at least one file to check");
      })
      .epilogue("Exit codes: 0 no problem, 2 problems, all of them listed"),
  handler: async (arguments_) => {
    const { runCheck } = await import("./run_check.ts");
    process.exitCode = await runCheck(arguments_);
  },
};
