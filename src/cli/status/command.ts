import process from "node:process";
import type { CommandModule } from "yargs";

export interface StatusArguments {
  readonly settings: string;
  readonly json: boolean;
}

/** `filbertshore status`: what is in force where. */
export const statusCommand: CommandModule<unknown, StatusArguments> = {
  command: "status",
  describe: "Show what is in force where, the planner, and the endpoints",
  builder: (arguments_) =>
    arguments_
      .option("settings", {
        type: "string",
        demandOption: true,
        describe: "Settings of operators' commands (TOML)",
      })
      .option("json", {
        type: "boolean",
        default: false,
        describe: "One JSON object in place of tables",
      })
      .epilogue(
        "Exit codes: 0 every entry answered, 1 some or all did not, 2 bad settings",
      ),
  handler: async (arguments_) => {
    const { runStatus } = await import("./run_status.ts");
    process.exitCode = await runStatus(arguments_);
  },
};
