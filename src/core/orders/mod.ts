/** Carrying out orders at an engine, from its side process. */
export {
  isReached,
  isSameTarget,
  needsLoading,
  targetText,
} from "./engine_state.ts";
export { OrderExecutor } from "./order_executor.ts";
export type {
  OrderExecutorGuards,
  OrderExecutorOptions,
  OrderExecutorState,
  ReleaseWeights,
} from "./order_executor.ts";
export { loadSpread, pickLoads } from "./load_budget.ts";
export type {
  LoadCandidate,
  LoadPickOptions,
  LoadSpreadOptions,
} from "./load_budget.ts";
export { TakenOrders } from "./taken_orders.ts";
