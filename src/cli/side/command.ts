import process from "node:process";
import type { CommandModule } from "yargs";

/** `filbertshore side`: the side process of an endpoint. */
export const sideCommand: CommandModule<unknown, { settings: string }> = {
  command: "side",
  describe:
    "Run a side, the sidecar process through which all requests to one endpoint pass",
  builder: (args) =>
    args.option("settings", {
      type: "string",
      demandOption: true,
      describe: "Settings file of the side (TOML)",
    }).epilogue(
      "Exit codes: 0 stopped by a signal, 2 invalid settings, 3 an address cannot be bound",
    ),
  handler: async (args) => {
    const { runSide } = await import("./run_side.ts");
    process.exitCode = await runSide(args.settings);
  },
};
