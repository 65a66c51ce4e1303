/** What is learned of engines from their answers. */
export {
  EngineEstimates,
  type PoolEstimates,
  type ToldSpeed,
} from "./pool_estimates.ts";
export { EngineSlowness } from "./engine_slowness.ts";
export { WorkRate } from "./work_rate.ts";
export {
  type ReadingCosts,
  type ReadingSample,
  ReadingSpeed,
} from "./reading_speed.ts";
