import process from "node:process";
import type { CommandModule } from "yargs";

/** Arguments of `filbertshore publish`. */
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

/**
 * `filbertshore publish`: publishes a configuration and waits for its rollout.
 */
export const publishCommand: CommandModule<unknown, PublishArguments> = {
  command: "publish",
  describe: "Publish inventory and rules and wait until they are in force",
  builder: (args) =>
    args
      .option("settings", {
        type: "string",
        demandOption: true,
        describe: "Settings file of the operator commands (TOML)",
      })
      .option("inventory", {
        type: "string",
        demandOption: true,
        describe: "Inventory file (TOML)",
      })
      .option("rules", {
        type: "string",
        demandOption: true,
        describe: "Rules file (TOML)",
      })
      .option("base", {
        type: "string",
        describe:
          "Version that the files are based on, or `latest` to replace the current version; required once a version exists",
      })
      .option("publication-id", {
        type: "string",
        describe:
          "Id of the publication; pass the same id again to get the outcome of a publication whose outcome is unknown",
      })
      .option("publisher", {
        type: "string",
        describe: "Name of the publisher, shown to other operators",
      })
      .option("wait-seconds", {
        type: "number",
        default: 30,
        describe:
          "Timeout for the outcome, and again for the rollout to all processes",
      })
      .option("json", {
        type: "boolean",
        default: false,
        describe: "Print one JSON object at the end instead of text",
      })
      .check(({ base }) => {
        if (base === undefined || /^(\d+|latest)$/.test(base)) return true;
        throw new Error("--base must be a version number or `latest`");
      })
      .epilogue(
        "Exit codes: 0 in force in all processes, 1 failed or rejected, 2 invalid files, 4 outcome unknown, 5 in force but not yet confirmed by all processes",
      ),
  handler: async (args) => {
    const { runPublish } = await import("./run_publish.ts");
    process.exitCode = await runPublish(args);
  },
};
