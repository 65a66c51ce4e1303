/** When a failed request is tried again, by the system and by its caller. */
export { RetryBudget } from "./retry_budget.ts";
export type { RetryBudgetOptions } from "./retry_budget.ts";
export { backoffMilliseconds, retryAfterMilliseconds } from "./waits.ts";
export type { BackoffOptions, RetryAfterOptions } from "./waits.ts";
