/** The side: the only door to one endpoint. */
export type { AttemptHandle } from "./attempt_desk.ts";
export { SideCore } from "./side_core.ts";
export type { SideLimits, SideOptions, SideTimes } from "./side_core.ts";
export type { SideGuards } from "./guards.ts";
