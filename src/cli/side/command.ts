import process from "node:process";
import type { CommandModule } from "yargs";

/** `filbertshore side`: the process beside an endpoint. */
export const sideCommand: CommandModule<unknown, { settings: string }> = {
  command: "side",
  describe: "Run a side: the only door to one endpoint",
  builder: (arguments_) =>
    arguments_.option("settings", {
      type: "string",
      demandOption: true,
      describe: "Settings file of the side (TOML)",
    }).epilogue(
      "Exit codes: 0 stopped as asked, 2 bad settings, 3 an address is taken",
    ),
  handler: async (arguments_) => {
    const { runSide } = await import("./run_side.ts");
    process.exitCode = await runSide(arguments_.settings);
  },
};
