/** Retry budgets, backoff and the retry times of refused callers. */
export { RetryBudget } from "./retry_budget.ts";
export type { RetryBudgetOptions } from "./retry_budget.ts";
export { backoffMilliseconds, retryAfterMilliseconds } from "./delays.ts";
export type { BackoffOptions, RetryAfterOptions } from "./delays.ts";
