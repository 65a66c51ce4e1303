import type { Suspect } from "./suspect.ts";

/** Number of successive crashes after which a suspect is a culprit. */
const CRASHES_UNTIL_BLOCKED = 3;
/** Crashes from which a suspect accounts for those of a first part. */
const CRASHES_OF_REPEATER = 2;

/** What has crashed endpoints. */
export interface Culprits {
  readonly suspects: ReadonlySet<Suspect>;
  /** True if another culprit accounts for the loss of the run. */
  readonly explains: (run: string, suspect: Suspect) => boolean;
}

/**
 * Finds the smallest plausible set of causes: the suspect with the most lost
 * runs accounts for them, and what is left must be explained by others. What was
 * only in flight beside a culprit thus has no crash of its own. The first parts
 * of prompts come last: they are in flight in most crashes, whatever caused
 * them, so a crash counts against one only if nothing else that was in it was in
 * several. A first part that stands out is judged like any other suspect: a few
 * crashes have some sound document in common by chance.
 */
export function findCulprits(suspects: Iterable<Suspect>): Culprits {
  const repeaters = [...suspects]
    .filter((each) => each.confirmedCrashes() >= CRASHES_OF_REPEATER)
    .sort((left, right) =>
      Number(comesLast(left)) - Number(comesLast(right)) ||
      right.lostRuns - left.lostRuns ||
      Number(left.isFirstPart) - Number(right.isFirstPart) ||
      (left.digest < right.digest ? -1 : 1)
    );
  const runsOfOthers = new Set(
    repeaters.filter(({ isFirstPart }) => !isFirstPart)
      .flatMap(({ confirmedRuns }) => confirmedRuns),
  );
  const culprits = new Set<Suspect>();
  const culpritOf = new Map<string, Suspect>();
  const explains = (run: string, suspect: Suspect) => {
    const culprit = culpritOf.get(run);
    return culprit !== undefined && culprit !== suspect;
  };
  for (const suspect of repeaters) {
    const isCounted = (run: string) =>
      !explains(run, suspect) && !(comesLast(suspect) && runsOfOthers.has(run));
    const crashes = suspect.confirmedCrashes(isCounted);
    if (crashes < CRASHES_UNTIL_BLOCKED) continue;
    culprits.add(suspect);
    for (const run of suspect.confirmedRuns) {
      if (!culpritOf.has(run)) culpritOf.set(run, suspect);
    }
  }
  return { suspects: culprits, explains };
}

function comesLast({ isFirstPart, standsOut }: Suspect): boolean {
  return isFirstPart && !standsOut;
}
