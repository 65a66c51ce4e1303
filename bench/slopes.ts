/**
 * Linear fits of how state, messages, CPU time and memory grow with each size:
 * messages and live heap of many nodes in one process, CPU time and resident
 * memory of the built binary. The last line is JSON with all fits.
 */
import process from "node:process";
import { measureBinary } from "./slopes_binary.ts";
import { measureFolds } from "./slopes_folds.ts";
import { measureInProcess } from "./slopes_in_process.ts";
import { reportSeries, type Series } from "./slope_fit.ts";

function report(part: string, series: readonly Series[]) {
  return series.map((singleSeries) => ({
    part,
    ...reportSeries(singleSeries),
  }));
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
// Engines in this process still generate tokens for aborted streams.
process.exit(0);
