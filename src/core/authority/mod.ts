/** Who may give orders: claims and fencing by position on the log. */
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
