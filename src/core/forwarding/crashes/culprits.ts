import type { SuspectDigest } from "../../identity/mod.ts";
import type { Suspect } from "./suspect.ts";

/** Number of successive crashes after which a suspect is a culprit. */
export const CRASHES_UNTIL_BLOCKED = 3;

/**
 * Suspects that the same runs were lost with; one of them has crashed these
 * runs. A request with all of them is blocked, one with some of them shows
 * whether they are the cause.
 */
export interface CulpritGroup {
  readonly digests: ReadonlySet<SuspectDigest>;
  readonly lastLossAt: number;
}

export interface Culprits {
  readonly groups: readonly CulpritGroup[];
  /** Runs whose loss the culprits account for. */
  readonly explainedRuns: ReadonlySet<string>;
}

/**
 * Finds the smallest plausible set of causes: the suspect that most runs were
 * lost with accounts for them, and what is left must be explained by others.
 * What only was in flight beside a culprit thus has no crash of its own.
 */
export function findCulprits(suspects: Iterable<Suspect>): Culprits {
  const candidates = [...suspects]
    .filter((each) => each.confirmedCrashes() >= CRASHES_UNTIL_BLOCKED)
    .map((suspect) => ({ suspect, runs: suspect.confirmedRuns }))
    .sort((left, right) =>
      right.runs.length - left.runs.length ||
      (left.suspect.digest < right.suspect.digest ? -1 : 1)
    );
  const explainedRuns = new Set<string>();
  const groups: CulpritGroup[] = [];
  const grouped = new Set<Suspect>();
  for (const { runs, suspect } of candidates) {
    if (grouped.has(suspect)) continue;
    const crashes = suspect.confirmedCrashes((run) => !explainedRuns.has(run));
    if (crashes < CRASHES_UNTIL_BLOCKED) continue;
    const tied = candidates.filter((other) => hasSameRuns(other.runs, runs))
      .map((other) => other.suspect);
    for (const each of tied) grouped.add(each);
    for (const run of runs) explainedRuns.add(run);
    groups.push({
      digests: new Set(tied.map(({ digest }) => digest)),
      lastLossAt: Math.max(...tied.map(({ lastLossAt }) => lastLossAt)),
    });
  }
  return { groups, explainedRuns };
}

function hasSameRuns(
  left: readonly string[],
  right: readonly string[],
): boolean {
  if (left.length !== right.length) return false;
  const known = new Set(right);
  return left.every((run) => known.has(run));
}
