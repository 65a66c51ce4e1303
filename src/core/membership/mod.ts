/** Members of the region, their state, and the subset that a process uses. */
export { hashToUnit } from "./hash.ts";
export { Membership } from "./membership.ts";
export type {
  Member,
  MembershipGuards,
  MembershipOptions,
} from "./membership.ts";
export {
  attachments,
  rendezvousFirst,
  rendezvousOrder,
  rendezvousSubset,
} from "./rendezvous.ts";
export type {
  AttachmentOptions,
  RendezvousMember,
  SubsetOptions,
} from "./rendezvous.ts";
