import process from "node:process";
import type { CommandModule } from "yargs";

/** Arguments of `filbertshore status`. */
export interface StatusArguments {
  readonly settings: string;
  readonly json: boolean;
}

/** `filbertshore status`: shows the state of entries and endpoints. */
export const statusCommand: CommandModule<unknown, StatusArguments> = {
  command: "status",
  describe: "Show configuration versions, planner and endpoints",
  builder: (args) =>
    args
      .option("settings", {
        type: "string",
        demandOption: true,
        describe: "Settings file of the operator commands (TOML)",
      })
      .option("json", {
        type: "boolean",
        default: false,
        describe: "Print one JSON object instead of tables",
      })
      .epilogue(
        "Exit codes: 0 all entries responded, 1 some or all did not, 2 invalid settings",
      ),
  handler: async (args) => {
    const { runStatus } = await import("./run_status.ts");
    process.exitCode = await runStatus(args);
  },
};
