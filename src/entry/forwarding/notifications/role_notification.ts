import type { EndpointId } from "../../../core/identity/mod.ts";
import {
  isId,
  isListOf,
  isObjectOf,
  isOneOf,
  isRow,
} from "../../../core/validation/mod.ts";

/** Notification that carries role orders to engines. */
export const ROLES_METHOD = "entry.roles";

/** Order to an engine to change its role. */
export type RoleOrder = readonly [
  endpoint: EndpointId,
  role: "prefill" | "decode",
];

/** Orders that were just sent to engines. */
export interface RoleNotification {
  readonly orders: readonly RoleOrder[];
}

/** Checks that the value is a valid notification of orders. */
export const isRoleNotification = isObjectOf<RoleNotification>({
  orders: isListOf(isRow<RoleOrder>([isId, isOneOf(["prefill", "decode"])])),
});
