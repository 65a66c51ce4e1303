import type { Suspect } from "./suspect.ts";

/** Number of successive crashes after which a suspect is a culprit. */
const CRASHES_UNTIL_BLOCKED = 3;
/** Crashes from which a suspect accounts for those of a first part. */
const CRASHES_OF_REPEATER = 2;

/** What has crashed endpoints. */
export interface Culprits {
  readonly suspects: ReadonlySet<Suspect>;
  /** True if something else accounts for the loss of the run. */
  readonly explains: (run: string, suspect: Suspect) => boolean;
}

/**
 * Finds the smallest plausible set of causes: the suspect with the most lost
 * runs accounts for them, and what is left must be explained by others. What was
 * only in flight beside a culprit thus has no crash of its own. The first parts
 * of prompts come last: they are in flight in most crashes, whatever caused
 * them, so a crash counts against one only if nothing else that was in it was in
 * several. A first part comes first if no run of it is known that did not crash,
 * and all that was lost with it has had one and was in some of its crashes only.
 */
export function findCulprits(
  suspects: Iterable<Suspect>,
  hasProof: (suspect: Suspect) => boolean,
): Culprits {
  const all = [...suspects]
    .filter((each) => each.confirmedCrashes() >= CRASHES_OF_REPEATER);
  const others = all.filter(({ isFirstPart }) => !isFirstPart);
  const dominant = new Set(
    all.filter((each) => isDominant(each, { others, hasProof })),
  );
  const comesLast = (suspect: Suspect) =>
    suspect.isFirstPart && !dominant.has(suspect);
  const repeaters = all
    .sort((left, right) =>
      Number(dominant.has(right)) - Number(dominant.has(left)) ||
      Number(left.isFirstPart) - Number(right.isFirstPart) ||
      right.lostRuns - left.lostRuns ||
      (left.digest < right.digest ? -1 : 1)
    );
  const runsOfOthers = new Set(
    others.flatMap(({ confirmedRuns }) => confirmedRuns),
  );
  const culprits = new Set<Suspect>();
  const culpritOf = new Map<string, Suspect>();
  const explains = (run: string, suspect: Suspect) => {
    const culprit = culpritOf.get(run);
    const isOtherCulprit = culprit !== undefined && culprit !== suspect;
    return isOtherCulprit || (comesLast(suspect) && runsOfOthers.has(run));
  };
  for (const suspect of repeaters) {
    const crashes = suspect.confirmedCrashes((run) => !explains(run, suspect));
    if (crashes < CRASHES_UNTIL_BLOCKED) continue;
    culprits.add(suspect);
    for (const run of suspect.confirmedRuns) {
      if (!culpritOf.has(run)) culpritOf.set(run, suspect);
    }
  }
  return { suspects: culprits, explains };
}

/** True for a first part that is a likelier cause than all others. */
function isDominant(
  suspect: Suspect,
  { hasProof, others }: {
    readonly others: readonly Suspect[];
    readonly hasProof: (suspect: Suspect) => boolean;
  },
): boolean {
  const crashes = suspect.confirmedCrashes();
  const isCandidate = suspect.isFirstPart && !hasProof(suspect) &&
    crashes >= CRASHES_UNTIL_BLOCKED;
  if (!isCandidate) return false;
  const runs = new Set(suspect.confirmedRuns);
  return others.every((other) => {
    const shared = other.confirmedCrashes((run) => runs.has(run));
    return shared === 0 || (hasProof(other) && shared < crashes);
  });
}
