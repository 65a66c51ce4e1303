import type { OrderExecutorGuards } from "../core/orders/mod.ts";

/**
 * Overrides of a side's safety checks. Only the fault matrix passes them, to
 * show that its checker detects the resulting violations; no setting reaches
 * them.
 */
export interface SideGuardOverrides {
  /** Whether an offered configuration version is newer than the active one. */
  readonly isNewer?: (offered: number, active: number) => boolean;
  /** Whether an attempt has arrived before. */
  readonly isDuplicate?: (attemptId: string) => boolean;
  /**
   * Whether running work is drained before an order is sent to the endpoint.
   */
  readonly drainsBeforeOrder?: () => boolean;
  /**
   * Whether a starting side waits for answers from all its entries before it
   * acts on one.
   */
  readonly waitsForAllEntries?: () => boolean;
  readonly orders?: Partial<OrderExecutorGuards>;
}
