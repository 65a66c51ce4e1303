import {
  identifier,
  numbered,
  type UsageWindow,
  type WorkspaceId,
} from "../../identity/mod.ts";

/** Number of requests that started to run, by workspace. */
export type WorkspaceCounts = ReadonlyMap<WorkspaceId, number>;

/** Identifies one run of an entry; a restarted entry counts from 0 again. */
export type EntryRunId = string;

/** The counts of a run in one window, as sent to peers. */
export type WindowCounts = readonly [
  window: number,
  counts: readonly (readonly [workspace: string, count: number])[],
];

interface RunCounts {
  /**
   * Time from which the run has counted, Unix milliseconds of the fleet clock.
   */
  since: number;
  /**
   * Time up to which its counts are known, Unix milliseconds of the fleet
   * clock.
   */
  until: number;
  readonly windows: Map<UsageWindow, Map<WorkspaceId, number>>;
}

export interface UsageLedgerOptions {
  readonly self: EntryRunId;
  readonly windowMilliseconds: number;
  /** Time from which this run counts, Unix milliseconds of the fleet clock. */
  readonly since: number;
}

/**
 * Counts started requests by workspace and window, for all known runs of all
 * entries. The counts of a run never decrease, so a peer's counts may arrive
 * late, repeatedly or out of order.
 */
export class UsageLedger {
  readonly #options: UsageLedgerOptions;
  readonly #runs = new Map<EntryRunId, RunCounts>();
  /**
   * Windows of this run whose counts have changed since they were last sent.
   */
  readonly #unsent = new Set<UsageWindow>();

  constructor(options: UsageLedgerOptions) {
    this.#options = options;
    this.#run(options.self, options.since);
  }

  /**
   * Counts a request of the workspace that started at `at`, Unix milliseconds.
   */
  recordStart(workspace: WorkspaceId, at: number): void {
    const { self, since, windowMilliseconds } = this.#options;
    const window = numbered<UsageWindow>(Math.floor(at / windowMilliseconds));
    const counts = countsOf(this.#run(self, since), window);
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this.#unsent.add(window);
  }

  get hasUnsent(): boolean {
    return this.#unsent.size > 0;
  }

  /**
   * This run's counts to send: those that have changed, or with `all` every
   * window.
   */
  takeOwnCounts({ all }: { readonly all: boolean }): WindowCounts[] {
    const { self, since } = this.#options;
    const { windows } = this.#run(self, since);
    const wanted = all ? [...windows.keys()] : [...this.#unsent];
    this.#unsent.clear();
    return wanted.map((window) => [window, [...windows.get(window) ?? []]]);
  }

  /** Merges the counts of a peer's run, which are complete up to `until`. */
  mergePeerCounts(
    run: EntryRunId,
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

  /** Returns whether some run has counted since the start of the window. */
  covers(window: UsageWindow): boolean {
    const start = window * this.#options.windowMilliseconds;
    return [...this.#runs.values()].some(({ since }) => since <= start);
  }

  /** Returns whether this run has counted since the start of the window. */
  isCountedBySelf(window: UsageWindow): boolean {
    const { since, windowMilliseconds } = this.#options;
    return since <= window * windowMilliseconds;
  }

  /**
   * Returns whether the run's counts are known up to `time`, Unix milliseconds.
   */
  isKnownUntil(run: EntryRunId, time: number): boolean {
    return (this.#runs.get(run)?.until ?? -Infinity) >= time;
  }

  /**
   * Total counts of a window, sorted by workspace, so that every entry encodes
   * them identically.
   */
  totals(window: UsageWindow): WorkspaceCounts {
    const totals = new Map<WorkspaceId, number>();
    for (const { windows } of this.#runs.values()) {
      for (const [workspace, count] of windows.get(window) ?? []) {
        totals.set(workspace, (totals.get(workspace) ?? 0) + count);
      }
    }
    return new Map(
      [...totals].sort(([left], [right]) => left < right ? -1 : 1),
    );
  }

  /**
   * Discards all earlier windows, and other runs that have ended and have no
   * later window.
   */
  discardBefore(oldest: UsageWindow): void {
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

  #run(id: EntryRunId, since: number): RunCounts {
    let run = this.#runs.get(id);
    if (run === undefined) {
      run = { since, until: -Infinity, windows: new Map() };
      this.#runs.set(id, run);
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
