import type { OrderExecutorGuards } from "../core/orders/mod.ts";

/**
 * Stand-ins for a side's guards. Only the fault matrix passes them, to show
 * that its checker sees what happens without; no setting reaches them.
 */
export interface SideGuards {
  /** Whether an offered configuration is newer than the one in force. */
  readonly isNewer?: (offered: number, inForce: number) => boolean;
  /** Whether an attempt has arrived before. */
  readonly isRepeat?: (attemptId: string) => boolean;
  /** Whether the endpoint's work ends before an order is sent. */
  readonly drains?: () => boolean;
  /** Whether a side that starts hears all its entries before it acts. */
  readonly waitsForAllEntries?: () => boolean;
  readonly orders?: Partial<OrderExecutorGuards>;
}
