import type { OrdersGuards } from "../core/authority/mod.ts";
import type { ConfigurationGuards } from "../core/configuration/mod.ts";

/**
 * Guards of an entry that are taken out. Only the fault matrix passes them, to
 * show that its checker sees what happens without; no setting reaches them.
 */
export interface EntryGuards {
  readonly orders?: Partial<OrdersGuards>;
  readonly configuration?: Partial<ConfigurationGuards>;
}
