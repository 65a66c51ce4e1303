import type { OrdersGuards } from "../core/authority/mod.ts";
import type { ConfigurationGuards } from "../core/configuration/mod.ts";

/**
 * Overrides that disable safety checks of an entry. Only the fault matrix
 * passes them, to show that its checker detects the resulting violations; no
 * setting reaches them.
 */
export interface EntryGuardOverrides {
  readonly orders?: Partial<OrdersGuards>;
  readonly configuration?: Partial<ConfigurationGuards>;
}
