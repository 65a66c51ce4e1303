/** Execution of orders at an engine, by its side process. */
export {
  isSameTarget,
  isTargetReached,
  needsLoading,
  serializeTarget,
} from "./engine_state.ts";
export { OrderExecutor } from "./order_executor.ts";
export type {
  OrderExecutorGuards,
  OrderExecutorOptions,
  OrderExecutorState,
  ReleaseLoadPermit,
} from "./order_executor.ts";
export { loadStartDelay, selectWithinLoadBudget } from "./load_budget.ts";
export type {
  LoadCandidate,
  LoadSelectionOptions,
  LoadStartDelayOptions,
} from "./load_budget.ts";
export { OrderWatermarks } from "./order_watermarks.ts";
