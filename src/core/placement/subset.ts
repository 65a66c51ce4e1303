/** An endpoint that can be part of an entry's subset. */
export interface SubsetCandidate {
  readonly endpoint: string;
  readonly availabilityZone: string;
}

export interface SubsetOptions {
  /** Distinguishes entries, so that their subsets differ. */
  readonly salt: string;
  readonly availabilityZone: string;
  readonly maxEndpoints: number;
  /** Share of the subset in the entry's own availability zone. */
  readonly ownZoneShare: number;
}

/**
 * Selects the endpoints that one entry uses by rendezvous hashing: its own
 * availability zone first, the rest for spillover. With 12,000 replicas behind
 * 410 entries, this keeps state, connections and report traffic at each entry
 * from growing with the fleet. Adding or removing a replica changes only the
 * subsets that contain it.
 */
export function chooseSubset<Candidate extends SubsetCandidate>(
  candidates: readonly Candidate[],
  options: SubsetOptions,
): Candidate[] {
  if (candidates.length <= options.maxEndpoints) return [...candidates];
  const ranked = candidates
    .map((candidate) => ({
      candidate,
      score: hash(`${options.salt}/${candidate.endpoint}`),
    }))
    .sort((one, other) => other.score - one.score)
    .map(({ candidate }) => candidate);
  const isOwn = (candidate: Candidate) =>
    candidate.availabilityZone === options.availabilityZone;
  const own = ranked.filter(isOwn);
  const others = ranked.filter((candidate) => !isOwn(candidate));
  const maxOwn = Math.round(options.maxEndpoints * options.ownZoneShare);
  const chosen = own.slice(0, maxOwn);
  chosen.push(...others.slice(0, options.maxEndpoints - chosen.length));
  chosen.push(
    ...own.slice(maxOwn, maxOwn + options.maxEndpoints - chosen.length),
  );
  return chosen;
}

/** FNV-1a with the murmur3 finalizer, 32 bits; not for security. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
