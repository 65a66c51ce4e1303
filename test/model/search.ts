/** A system whose every interleaving is to be looked at. */
export interface Model<State> {
  readonly initial: State;
  /** Equal for equal states; the search visits each key once. */
  key(state: State): string;
  /** Every step that could come next, each with the state behind it. */
  steps(state: State): Iterable<Step<State>>;
  /** What is wrong with the state; undefined where nothing is. */
  violation(state: State): string | undefined;
}

export interface Step<State> {
  readonly name: string;
  readonly state: State;
}

export interface SearchResult {
  readonly states: number;
  readonly transitions: number;
  /** Steps of the longest shortest way to a state. */
  readonly depth: number;
  /** True where no state was left out. */
  readonly exhausted: boolean;
  readonly violation?: {
    readonly detail: string;
    /** A shortest way there. */
    readonly trace: readonly string[];
  };
}

interface Visited {
  readonly parent: number;
  readonly step: string;
}

/**
 * Breadth-first search over all interleavings. It stops at the first wrong
 * state, which has a shortest trace, or when every state was visited.
 */
export function search<State>(
  model: Model<State>,
  options: { readonly mostStates: number },
): SearchResult {
  const seen = new Set<string>([model.key(model.initial)]);
  const visited: Visited[] = [{ parent: -1, step: "" }];
  let layer: [number, State][] = [[0, model.initial]];
  let transitions = 0;
  let depth = 0;
  while (layer.length > 0) {
    const next: [number, State][] = [];
    for (const [number, state] of layer) {
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
        if (seen.size >= options.mostStates) {
          return { ...counts, exhausted: false };
        }
        next.push([visited.length - 1, step.state]);
      }
    }
    layer = next;
    if (next.length > 0) depth += 1;
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
