/** Members of the region, their state, and the subset that a process uses. */
export { hashToUnit } from "./hash.ts";
export { Membership } from "./membership.ts";
export type {
  Member,
  MembershipGuards,
  MembershipOptions,
} from "./membership.ts";
export {
  rendezvousFirst,
  rendezvousOrder,
  rendezvousSubset,
  selectAttachedEntries,
} from "./rendezvous.ts";
export type {
  AttachmentOptions,
  RendezvousMember,
  RendezvousSubsetOptions,
} from "./rendezvous.ts";
