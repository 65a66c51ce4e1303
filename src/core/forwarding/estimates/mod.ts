/** Estimates of engines' speed, learned from their responses. */
export {
  EngineEstimates,
  isPrefillSpeedReport,
  type PoolEstimates,
  type PrefillSpeedReport,
} from "./pool_estimates.ts";
export {
  DecodePace,
  type PauseSample,
  type PauseTotals,
} from "./decode_pace.ts";
export { StreamPauses } from "./stream_pauses.ts";
export { EngineSlowness } from "./engine_slowness.ts";
export { WorkRate } from "./work_rate.ts";
export {
  type PrefillCosts,
  type PrefillSample,
  PrefillSpeed,
} from "./prefill_speed.ts";
export { type CompletedService, ServiceTimes } from "./service_time.ts";
