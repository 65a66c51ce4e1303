import type { OrdersFoldOptions } from "../core/authority/mod.ts";
import type { ConfigurationFoldOptions } from "../core/configuration/mod.ts";

/**
 * Stand-ins for an entry's guards. Only the fault matrix passes them, to show
 * that its checker sees what happens without; no setting reaches them.
 */
export interface EntryGuards {
  /** Whether an order counts where it stands. */
  readonly orderCounts?: OrdersFoldOptions["counts"];
  /** Whether a publication's base fits the version in force. */
  readonly baseFits?: ConfigurationFoldOptions["fits"];
}
