import { hashWithPrefix } from "./hash.ts";

/** Something that can be ranked, such as an endpoint or an entry. */
export interface RankedMember {
  readonly id: string;
  /** Share of picks relative to others; 1 by default. */
  readonly weight?: number;
}

/** A ranked member with its availability zone. */
export interface RendezvousMember extends RankedMember {
  readonly availabilityZone: string;
}

export interface RendezvousSubsetOptions {
  /** Name of the process that picks; each picker gets its own subset. */
  readonly picker: string;
  readonly availabilityZone: string;
  /** Total number of members to pick. */
  readonly size: number;
  /**
   * How many of these to take from other zones even if the own zone has enough,
   * so that work can spill over when the own zone fails.
   */
  readonly spill?: number;
}

/**
 * Returns a bounded subset of the members for one picker: own zone first, the
 * rest from the other zones. With 12,000 endpoints and 410 entries, each entry
 * keeps state and reports for its subset only, so both stay constant as the
 * fleet grows. Weighted rendezvous hashing changes only the picks of an added
 * or removed member, so that a replaced VM does not make every entry reconnect.
 */
export function rendezvousSubset<Member extends RendezvousMember>(
  members: readonly Member[],
  options: RendezvousSubsetOptions,
): readonly Member[] {
  const ranked = rendezvousOrder(members, options.picker);
  const own = ranked.filter((member) => isOwnZone(member, options));
  const others = ranked.filter((member) => !isOwnZone(member, options));
  const spill = Math.min(options.spill ?? 0, options.size, others.length);
  const fromOwn = own.slice(0, options.size - spill);
  return [...fromOwn, ...others.slice(0, options.size - fromOwn.length)];
}

export interface AttachmentOptions {
  /** Name of the side that attaches. */
  readonly side: string;
  readonly availabilityZone: string;
  /** Number of entries to attach to; two by default. */
  readonly count?: number;
}

const DEFAULT_ATTACHMENTS = 2;

/**
 * Returns the entries that a side watches: two of its own zone, others only
 * if the zone has too few. With a single entry, a pause of that entry would
 * block its sides.
 */
export function selectAttachedEntries<Member extends RendezvousMember>(
  entries: readonly Member[],
  options: AttachmentOptions,
): readonly Member[] {
  return rendezvousSubset(entries, {
    picker: options.side,
    availabilityZone: options.availabilityZone,
    size: options.count ?? DEFAULT_ATTACHMENTS,
  });
}

function isOwnZone(
  member: RendezvousMember,
  options: RendezvousSubsetOptions,
): boolean {
  return member.availabilityZone === options.availabilityZone;
}

/**
 * Returns the members in the picker's order, highest score first; removing one
 * does not reorder the others.
 */
export function rendezvousOrder<Member extends RankedMember>(
  members: readonly Member[],
  picker: string,
): Member[] {
  return scoreMembers(members, picker).sort(compareScores).map(({ member }) =>
    member
  );
}

/**
 * Returns the first `count` members in the picker's order without sorting all
 * members.
 */
export function rendezvousFirst<Member extends RankedMember>(
  members: readonly Member[],
  { count, picker }: { readonly picker: string; readonly count: number },
): Member[] {
  const first: Scored<Member>[] = [];
  for (const each of scoreMembers(members, picker)) {
    const belongs = first.length < count ||
      compareScores(each, first[first.length - 1]) < 0;
    if (!belongs) continue;
    first.push(each);
    first.sort(compareScores);
    first.length = Math.min(first.length, count);
  }
  return first.map(({ member }) => member);
}

interface Scored<Member> {
  readonly member: Member;
  readonly score: number;
}

/** Returns each member with its weighted rendezvous score; the highest wins. */
function scoreMembers<Member extends RankedMember>(
  members: readonly Member[],
  picker: string,
): Scored<Member>[] {
  const hash = hashWithPrefix(`${picker}\u0000`);
  return members.map((member) => ({
    member,
    score: -(member.weight ?? 1) / Math.log(hash(member.id)),
  }));
}

function compareScores(
  one: Scored<RankedMember>,
  other: Scored<RankedMember>,
): number {
  return other.score - one.score || (one.member.id < other.member.id ? -1 : 1);
}
