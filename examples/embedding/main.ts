/** Runs the example and prints what the callers got: `node main.ts [seed]`. */
import process from "node:process";
import { runExample } from "./run.ts";

const seed = Number(process.argv[2] ?? 1);
const { outcomes, history, configurationVersions } = await runExample(seed);
const answered = outcomes.filter((each) => each.kind === "answered").length;
console.log(JSON.stringify({
  seed,
  answered,
  requests: outcomes.length,
  events: history.length,
  configurationVersions,
}));
