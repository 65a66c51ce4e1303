import process from "node:process";
import { hideBin } from "yargs/helpers";
import yargs from "yargs";

const VERSION = "0.1.0";

/** Runs the command that the arguments name. */
function main(): Promise<unknown> {
  return Promise.resolve(
    yargs(hideBin(process.argv)).scriptName("filbertshore").version(VERSION)
      .demandCommand(1).strict().help().parse(),
  );
}

void main();
