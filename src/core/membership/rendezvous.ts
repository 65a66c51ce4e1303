import { hashBehind } from "./hash.ts";

/** Something that can be ranked, such as an endpoint or an entry. */
export interface RankedMember {
  readonly id: string;
  /** Share of picks relative to others; 1 where it is left out. */
  readonly weight?: number;
}

/** Something that can be picked by where it stands. */
export interface RendezvousMember extends RankedMember {
  readonly availabilityZone: string;
}

export interface SubsetOptions {
  /** Who picks; another picker gets another subset. */
  readonly picker: string;
  readonly availabilityZone: string;
  /** Members to pick in all. */
  readonly size: number;
  /**
   * Of these, how many to take from other zones even where the own zone has
   * enough, so that there is somewhere to spill to when the own zone fails.
   */
  readonly spill?: number;
}

/**
 * A bounded subset of the members for one picker: own zone first, the rest
 * from the other zones. Load: 12,000 endpoints before 410 entries; each entry
 * keeps state and reports for its subset only, so both stay flat as the fleet
 * grows. Rendezvous hashing with weights moves only the picks of a member that
 * comes or goes, so that a replaced VM does not make every entry connect anew.
 */
export function rendezvousSubset<Member extends RendezvousMember>(
  members: readonly Member[],
  options: SubsetOptions,
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
  /** Entries to attach to; two where it is left out. */
  readonly count?: number;
}

const DEFAULT_ATTACHMENTS = 2;

/**
 * The entries that a side watches: two of its own zone, others only where the
 * zone has too few. With one entry a paused relay would hold its sides back.
 */
export function attachments<Member extends RendezvousMember>(
  entries: readonly Member[],
  options: AttachmentOptions,
): readonly Member[] {
  return rendezvousSubset(entries, {
    picker: options.side,
    availabilityZone: options.availabilityZone,
    size: options.count ?? DEFAULT_ATTACHMENTS,
  });
}

function isOwnZone(member: RendezvousMember, options: SubsetOptions): boolean {
  return member.availabilityZone === options.availabilityZone;
}

/** The members, the picker's best first; one that goes moves no other. */
export function rendezvousOrder<Member extends RankedMember>(
  members: readonly Member[],
  picker: string,
): Member[] {
  return scored(members, picker).sort(byScore).map(({ member }) => member);
}

/**
 * The first of the members in the picker's order. Many members are not sorted
 * for a few.
 */
export function rendezvousFirst<Member extends RankedMember>(
  members: readonly Member[],
  { count, picker }: { readonly picker: string; readonly count: number },
): Member[] {
  const first: Scored<Member>[] = [];
  for (const each of scored(members, picker)) {
    const isAmong = first.length < count ||
      byScore(each, first[first.length - 1]) < 0;
    if (!isAmong) continue;
    first.push(each);
    first.sort(byScore);
    first.length = Math.min(first.length, count);
  }
  return first.map(({ member }) => member);
}

interface Scored<Member> {
  readonly member: Member;
  readonly score: number;
}

/** Each member with its weighted rendezvous score: the highest wins. */
function scored<Member extends RankedMember>(
  members: readonly Member[],
  picker: string,
): Scored<Member>[] {
  const unitOf = hashBehind(`${picker}\u0000`);
  return members.map((member) => ({
    member,
    score: -(member.weight ?? 1) / Math.log(unitOf(member.id)),
  }));
}

function byScore(
  one: Scored<RankedMember>,
  other: Scored<RankedMember>,
): number {
  return other.score - one.score || (one.member.id < other.member.id ? -1 : 1);
}
