import process from "node:process";
import { hideBin } from "yargs/helpers";
import yargs from "yargs";
import { stackOf } from "../core/errors/mod.ts";
import { EXIT_CODE_FAILURE, EXIT_CODE_INVALID_INPUT } from "./exit_codes.ts";
import { checkCommand } from "./check/command.ts";
import { entryCommand } from "./entry/command.ts";
import { publishCommand } from "./publish/command.ts";
import { sideCommand } from "./side/command.ts";
import { statusCommand } from "./status/command.ts";

const VERSION = "0.1.0";

/** Parses the arguments and runs the selected command. */
async function main(): Promise<void> {
  const parser = yargs(hideBin(process.argv)).scriptName("filbertshore")
    .usage("$0 <command>: distributes requests to language model endpoints")
    .version(VERSION)
    .command(entryCommand).command(sideCommand)
    .command(publishCommand).command(statusCommand).command(checkCommand)
    .demandCommand(1, "Specify a command").strict().help()
    .wrap(Math.min(100, process.stdout.columns ?? 100))
    .epilogue("Exit code 2: invalid arguments or files")
    .fail((message: string | null, error) => {
      // An error without a message is a fault of the program, not invalid
      // input.
      if (message === null) throw error;
      process.stderr.write(`${message}\nSee filbertshore --help\n`);
      process.exit(EXIT_CODE_INVALID_INPUT);
    });
  await parser.parseAsync();
}

main().catch((cause) => {
  process.stderr.write(`${stackOf(cause)}\n`);
  process.exit(EXIT_CODE_FAILURE);
});
