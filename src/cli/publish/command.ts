import process from "node:process";
import type { CommandModule } from "yargs";

export interface PublishArguments {
  readonly settings: string;
  readonly inventory: string;
  readonly rules: string;
  readonly base?: string;
  readonly "publication-id"?: string;
  readonly publisher?: string;
  readonly "wait-seconds": number;
  readonly json: boolean;
}

/** `filbertshore publish`: makes a change and waits until it is in force. */
export const publishCommand: CommandModule<unknown, PublishArguments> = {
  command: "publish",
  describe: "Publish inventory and rules and wait until they are in force",
  builder: (arguments_) =>
    arguments_
      .option("settings", {
        type: "string",
        demandOption: true,
        describe: "Settings of operators' commands (TOML)",
      })
      .option("inventory", {
        type: "string",
        demandOption: true,
        describe: "Inventory (TOML)",
      })
      .option("rules", {
        type: "string",
        demandOption: true,
        describe: "Rules (TOML)",
      })
      .option("base", {
        type: "string",
        describe:
          "Version that the files were made on, or `latest` to replace whatever is in force; needed once there is one",
      })
      .option("publication-id", {
        type: "string",
        describe:
          "Identity of the change; give it again to learn what became of a publication in doubt",
      })
      .option("publisher", {
        type: "string",
        describe: "Who publishes, as others shall see it",
      })
      .option("wait-seconds", {
        type: "number",
        default: 30,
        describe: "How long to wait for the verdict, and for all processes",
      })
      .option("json", {
        type: "boolean",
        default: false,
        describe: "One JSON object at the end in place of text",
      })
      .check(({ base }) => {
        if (base === undefined || /^(\d+|latest)$/.test(base)) return true;
        throw new Error("--base takes a version or `latest`");
      })
      .epilogue(
        "Exit codes: 0 in force everywhere, 1 not made or rejected, 2 files can't be used, 4 in doubt, 5 in force and not yet seen everywhere",
      ),
  handler: async (arguments_) => {
    const { runPublish } = await import("./run_publish.ts");
    process.exitCode = await runPublish(arguments_);
  },
};
