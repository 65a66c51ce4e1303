/** Execution of orders at an engine, by its side process. */
export {
  isSameTarget,
  isTargetReached,
  needsLoading,
  targetText,
} from "./engine_state.ts";
export { OrderExecutor } from "./order_executor.ts";
export type {
  OrderExecutorGuards,
  OrderExecutorOptions,
  OrderExecutorState,
  ReleaseLoadPermit,
} from "./order_executor.ts";
export { loadSpread, pickLoads } from "./load_budget.ts";
export type {
  LoadCandidate,
  LoadSelectionOptions,
  LoadStartDelayOptions,
} from "./load_budget.ts";
export { TakenOrders } from "./order_watermarks.ts";
