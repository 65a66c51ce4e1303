/** How much an endpoint is allowed to do at once, decided beside it. */
export { SideLimiter } from "./side_limiter.ts";
export type {
  EnterOptions,
  EnterRefusal,
  SideLimiterOptions,
  Slot,
} from "./side_limiter.ts";
export { AdaptiveLimit } from "./adaptive_limit.ts";
export type { AdaptiveLimitOptions } from "./adaptive_limit.ts";
