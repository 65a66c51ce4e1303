/** Leadership by claims on the log, and fencing of orders by log position. */
export { loadClaim, nextClaim, NO_HOLDER } from "./claim.ts";
export type { Claim } from "./claim.ts";
export { ClaimKeeper, holderName } from "./claim_keeper.ts";
export type { ClaimKeeperOptions, ClaimView } from "./claim_keeper.ts";
export { OrdersFold } from "./orders_fold.ts";
export type {
  EndpointOrder,
  OrdersFoldOptions,
  OrdersGuards,
} from "./orders_fold.ts";
