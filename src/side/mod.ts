/** The side: the only door to one endpoint. */
export { SideCore } from "./side_core.ts";
export type {
  AttemptHandle,
  SideLimits,
  SideOptions,
  SideTimes,
} from "./side_core.ts";
