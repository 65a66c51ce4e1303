import {
  identifier,
  numbered,
  type UsageWindow,
  type WorkspaceId,
} from "../../identity/mod.ts";

/** Requests of each workspace that began to run. */
export type WorkspaceCounts = ReadonlyMap<WorkspaceId, number>;

/** One run of an entry: a restarted entry counts from 0 again. */
export type EntryRunName = string;

/** A run's counts in a window, as they go to peers. */
export type WindowCounts = readonly [
  window: number,
  counts: readonly (readonly [workspace: string, count: number])[],
];

interface RunCounts {
  /** True time from which on the run has counted, Unix milliseconds. */
  since: number;
  /** True time up to which its counts are known, Unix milliseconds. */
  until: number;
  readonly windows: Map<UsageWindow, Map<WorkspaceId, number>>;
}

export interface UsageLedgerOptions {
  readonly self: EntryRunName;
  readonly windowMilliseconds: number;
  /** True time from which on this run counts, Unix milliseconds. */
  readonly since: number;
}

/**
 * Requests that began to run, by workspace and window, as far as this entry
 * knows them of every run of every entry. Counts of a run only rise, so that a
 * peer's may come late, twice or out of order.
 */
export class UsageLedger {
  readonly #options: UsageLedgerOptions;
  readonly #runs = new Map<EntryRunName, RunCounts>();
  /** Windows of this run whose counts have changed since they were sent. */
  readonly #unsent = new Set<UsageWindow>();

  constructor(options: UsageLedgerOptions) {
    this.#options = options;
    this.#run(options.self, options.since);
  }

  /** A request of the workspace began to run then, Unix milliseconds. */
  began(workspace: WorkspaceId, at: number): void {
    const { self, since, windowMilliseconds } = this.#options;
    const window = numbered<UsageWindow>(Math.floor(at / windowMilliseconds));
    const counts = countsOf(this.#run(self, since), window);
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this.#unsent.add(window);
  }

  get hasUnsent(): boolean {
    return this.#unsent.size > 0;
  }

  /** This run's counts; with `all` also those that were sent before. */
  takeOwn({ all }: { readonly all: boolean }): WindowCounts[] {
    const { self, since } = this.#options;
    const { windows } = this.#run(self, since);
    const wanted = all ? [...windows.keys()] : [...this.#unsent];
    this.#unsent.clear();
    return wanted.map((window) => [window, [...windows.get(window) ?? []]]);
  }

  /** Takes what a peer's run has counted up to `until`. */
  peerCounted(
    run: EntryRunName,
    counted: {
      readonly since: number;
      readonly until: number;
      readonly usage: readonly WindowCounts[];
    },
  ): void {
    const known = this.#run(run, counted.since);
    known.until = Math.max(known.until, counted.until);
    for (const [window, counts] of counted.usage) {
      const all = countsOf(known, numbered(window));
      for (const [name, count] of counts) {
        const workspace = identifier<WorkspaceId>(name);
        all.set(workspace, Math.max(count, all.get(workspace) ?? 0));
      }
    }
  }

  /** True where some run has counted from the window's beginning. */
  covers(window: UsageWindow): boolean {
    const start = window * this.#options.windowMilliseconds;
    return [...this.#runs.values()].some(({ since }) => since <= start);
  }

  /** True where this run has counted from the window's beginning. */
  isCountedBySelf(window: UsageWindow): boolean {
    const { since, windowMilliseconds } = this.#options;
    return since <= window * windowMilliseconds;
  }

  /** True where the run's counts are known up to then, Unix milliseconds. */
  isKnownUntil(run: EntryRunName, time: number): boolean {
    return (this.#runs.get(run)?.until ?? -Infinity) >= time;
  }

  /** By the workspaces' names, so that every entry writes them alike. */
  totals(window: UsageWindow): WorkspaceCounts {
    const totals = new Map<WorkspaceId, number>();
    for (const { windows } of this.#runs.values()) {
      for (const [workspace, count] of windows.get(window) ?? []) {
        totals.set(workspace, (totals.get(workspace) ?? 0) + count);
      }
    }
    return new Map([...totals].sort(([one], [other]) => one < other ? -1 : 1));
  }

  /** Forgets all windows before this one, and runs that have no later one. */
  forgetBefore(oldest: UsageWindow): void {
    const oldestTime = oldest * this.#options.windowMilliseconds;
    for (const [run, { until, windows }] of this.#runs) {
      for (const window of windows.keys()) {
        if (window < oldest) windows.delete(window);
      }
      const isOver = run !== this.#options.self && until < oldestTime;
      if (isOver && windows.size === 0) this.#runs.delete(run);
    }
    for (const window of this.#unsent) {
      if (window < oldest) this.#unsent.delete(window);
    }
  }

  #run(name: EntryRunName, since: number): RunCounts {
    let run = this.#runs.get(name);
    if (run === undefined) {
      run = { since, until: -Infinity, windows: new Map() };
      this.#runs.set(name, run);
    }
    run.since = Math.min(run.since, since);
    return run;
  }
}

function countsOf(
  { windows }: RunCounts,
  window: UsageWindow,
): Map<WorkspaceId, number> {
  let counts = windows.get(window);
  if (counts === undefined) {
    counts = new Map();
    windows.set(window, counts);
  }
  return counts;
}
