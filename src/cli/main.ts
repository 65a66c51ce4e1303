import process from "node:process";
import { hideBin } from "yargs/helpers";
import yargs from "yargs";
import { entryCommand } from "./entry/command.ts";
import { sideCommand } from "./side/command.ts";

const VERSION = "0.1.0";

/** Runs the command that the arguments name. */
function main(): Promise<unknown> {
  return Promise.resolve(
    yargs(hideBin(process.argv)).scriptName("filbertshore").version(VERSION)
      .command(entryCommand).command(sideCommand).demandCommand(1).strict()
      .help().parse(),
  );
}

void main();
