/** Admission control: predicts which requests can be answered on time. */
export { ClassThinning } from "./class_thinning.ts";
export { DrainMeter } from "./drain_meter.ts";
export { LoopGuard } from "./loop_guard.ts";
export { OutputLengths } from "./output_lengths.ts";
export { PredictionError } from "./prediction_error.ts";
export { refusal } from "./refusals.ts";
