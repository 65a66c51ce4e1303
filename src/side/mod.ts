/** Side process: all requests and orders for one endpoint pass through it. */
export type { AttemptHandle } from "./attempt_executor.ts";
export { SideCore } from "./side_core.ts";
export type { SideLimits, SideOptions, SideTimes } from "./side_core.ts";
export type { SideGuardOverrides } from "./guards.ts";
