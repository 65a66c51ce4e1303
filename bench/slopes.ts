/**
 * How state, messages, processor time and memory grow with each size, as
 * straight lines: messages and live memory of many nodes in one process,
 * processor time and resident memory of the built binary. The last line is
 * JSON with every line's figures.
 */
import process from "node:process";
import { measureBinary } from "./slopes_binary.ts";
import { measureFolds } from "./slopes_folds.ts";
import { measureInProcess } from "./slopes_in_process.ts";
import { reportSeries, type Series } from "./slope_fit.ts";

function report(part: string, series: readonly Series[]) {
  return series.map((each) => ({ part, ...reportSeries(each) }));
}

const start = performance.now();
console.log("In one process, on virtual time:");
const inProcess = report("in process", [
  ...await measureInProcess(),
  ...await measureFolds(),
]);
console.log("The binary, as processes:");
const binary = report("binary", await measureBinary());
const seconds = Math.round((performance.now() - start) / 1000);
console.log(JSON.stringify({ slopes: [...inProcess, ...binary], seconds }));
// Engines of this process still make tokens for streams that were cut off.
process.exit(0);
