import process from "node:process";
import type { CommandModule } from "yargs";

/** `filbertshore entry`: the process of an entry VM. */
export const entryCommand: CommandModule<unknown, { settings: string }> = {
  command: "entry",
  describe:
    "Run an entry, which accepts requests of callers and schedules them on endpoints",
  builder: (args) =>
    args.option("settings", {
      type: "string",
      demandOption: true,
      describe: "Settings file of the entry (TOML)",
    }).epilogue(
      "Exit codes: 0 stopped by a signal, 2 invalid settings, 3 an address cannot be bound",
    ),
  handler: async (args) => {
    const { runEntry } = await import("./run_entry.ts");
    process.exitCode = await runEntry(args.settings);
  },
};
