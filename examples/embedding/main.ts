/** Runs the example and prints a summary: `node main.ts [seed]`. */
import process from "node:process";
import { runExample } from "./run.ts";

const seed = Number(process.argv[2] ?? 1);
const { outcomes, history, configurationVersions } = await runExample(seed);
const answered =
  outcomes.filter((outcome) => outcome.kind === "answered").length;
console.log(JSON.stringify({
  seed,
  answered,
  requests: outcomes.length,
  events: history.length,
  configurationVersions,
}));
