/** Admission control: predicts which requests can be answered on time. */
export { ClassShareLimiter } from "./class_share_limiter.ts";
export { DrainRateEstimator } from "./drain_rate_estimator.ts";
export { LoadShedder } from "./load_shedder.ts";
export { OutputLengthEstimator } from "./output_length_estimator.ts";
export { PredictionCorrection } from "./prediction_correction.ts";
export { refusal } from "./refusals.ts";
