/** A transition system whose interleavings are searched. */
export interface Model<State> {
  readonly initial: State;
  /** Canonical key of a state; the search visits each key once. */
  key(state: State): string;
  /** All possible next steps, each with its resulting state. */
  steps(state: State): Iterable<Step<State>>;
  /** Describes the violation in the state; undefined if there is none. */
  violation(state: State): string | undefined;
}

export interface Step<State> {
  readonly name: string;
  readonly state: State;
}

export interface SearchResult {
  readonly states: number;
  readonly transitions: number;
  /** Greatest distance of a visited state from the initial one, in steps. */
  readonly depth: number;
  /** Whether every reachable state was visited. */
  readonly exhausted: boolean;
  readonly violation?: {
    readonly detail: string;
    /** Step names of a shortest path to the state. */
    readonly trace: readonly string[];
  };
}

interface Visited {
  readonly parent: number;
  readonly step: string;
}

/**
 * Searches all interleavings breadth-first. Stops at the first violation, which
 * therefore has a shortest trace, at the limit of visited states, or when every
 * state has been visited.
 */
export function searchStates<State>(
  model: Model<State>,
  options: { readonly maxStates: number },
): SearchResult {
  const seen = new Set<string>([model.key(model.initial)]);
  const visited: Visited[] = [{ parent: -1, step: "" }];
  let frontier: [number, State][] = [[0, model.initial]];
  let transitions = 0;
  let depth = 0;
  while (frontier.length > 0) {
    const nextFrontier: [number, State][] = [];
    for (const [number, state] of frontier) {
      for (const step of model.steps(state)) {
        transitions += 1;
        const key = model.key(step.state);
        if (seen.has(key)) continue;
        seen.add(key);
        visited.push({ parent: number, step: step.name });
        const counts = { states: seen.size, transitions, depth: depth + 1 };
        const detail = model.violation(step.state);
        if (detail !== undefined) {
          const trace = traceTo(visited, visited.length - 1);
          return { ...counts, exhausted: false, violation: { detail, trace } };
        }
        if (seen.size >= options.maxStates) {
          return { ...counts, exhausted: false };
        }
        nextFrontier.push([visited.length - 1, step.state]);
      }
    }
    frontier = nextFrontier;
    if (nextFrontier.length > 0) depth += 1;
  }
  return { states: seen.size, transitions, depth, exhausted: true };
}

function traceTo(visited: readonly Visited[], number: number): string[] {
  const trace: string[] = [];
  for (let at = number; at > 0; at = visited[at].parent) {
    trace.push(visited[at].step);
  }
  return trace.reverse();
}
