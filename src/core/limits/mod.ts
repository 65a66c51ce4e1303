/** Concurrency limits of an endpoint, enforced next to it. */
export { EndpointLimiter } from "./endpoint_limiter.ts";
export type {
  AcquireOptions,
  AcquireRefusal,
  EndpointLimiterOptions,
  Slot,
} from "./endpoint_limiter.ts";
export { AdaptiveLimit } from "./adaptive_limit.ts";
export type { AdaptiveLimitOptions } from "./adaptive_limit.ts";
