/** Concurrency limits of an endpoint, enforced next to it. */
export { SideLimiter } from "./side_limiter.ts";
export type {
  AcquireOptions,
  AcquireRefusal,
  SideLimiterOptions,
  Slot,
} from "./side_limiter.ts";
export { AdaptiveLimit } from "./adaptive_limit.ts";
export type { AdaptiveLimitOptions } from "./adaptive_limit.ts";
