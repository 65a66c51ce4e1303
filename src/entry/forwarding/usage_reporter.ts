import type { Result } from "neverthrow";
import {
  type CurrentClaim,
  ExclusiveClaim,
  FleetClock,
  nextReports,
  type StoreFailure,
  type UsageClaim,
  UsageLedger,
  type UsageReport,
  type WindowCounts,
  type WorkspaceCounts,
} from "../../core/forwarding/mod.ts";
import {
  identifier,
  numbered,
  type ProcessId,
  type UsageWindow,
  type WorkspaceId,
} from "../../core/identity/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type { Broadcast, SendToPeer } from "./notifications/notifications.ts";
import {
  type ReportsNotification,
  USAGE_METHOD,
  USAGE_REPORTS_METHOD,
  type UsageNotification,
} from "./notifications/usage_notification.ts";

/**
 * Number of entries that hold the counts of the whole fleet, so that one may be
 * lost.
 */
const COLLECTOR_COUNT = 3;
/** Interval at which changed counts are sent to the collectors. */
const COPY_INTERVAL_MILLISECONDS = 200;
/** Interval at which all unreported counts are sent again. */
const FULL_COPY_INTERVAL_MILLISECONDS = 1_000;
/** Interval at which a collector checks for due windows. */
const CHECK_INTERVAL_MILLISECONDS = 250;
/**
 * Delay after a window's end until the requests that started in it are counted.
 */
const COUNT_SETTLE_MILLISECONDS = 1_200;
/** How long after a window's end to wait for silent entries. */
const SILENT_ENTRY_TIMEOUT_MILLISECONDS = 5_000;
/** Additional delay before each further collector reports a window. */
const COLLECTOR_STAGGER_MILLISECONDS = 1_500;
/** Interval between attempts to report. */
const RETRY_INTERVAL_MILLISECONDS = 1_000;

/**
 * Outcome of a report. `refused`: a higher fencing token was seen. `limited`:
 * too many calls. `unknown`: the report may be applied now or later.
 */
export type ReportOutcome = "accepted" | "refused" | "limited" | "unknown";

/** The log of claims on reporting, and the receiver of reports. */
export interface UsageLink {
  /** The latest claim and the end offset of the log. */
  readClaim(): Promise<
    Result<{ claim: UsageClaim | undefined; end: number }, StoreFailure>
  >;
  /** Appends a claim if the log ends at `at`; returns its offset. */
  appendClaim(
    claim: Omit<UsageClaim, "offset">,
    at: number,
  ): Promise<Result<number | undefined, StoreFailure>>;
  report(
    report: UsageReport,
    options: { readonly holder: ProcessId; readonly fencing: number },
  ): Promise<ReportOutcome>;
}

export interface UsageReporterOptions {
  readonly self: ProcessId;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly link: UsageLink;
  readonly leaseMilliseconds: number;
  /** Length of a window. */
  readonly windowMilliseconds: number;
  /** Deadline of a window's report, counted from the window's end. */
  readonly dueMilliseconds: number;
  /** True if no entry has run before, so that no earlier counts are missing. */
  readonly isFirstStart: boolean;
  /** Live entries including this one, ranked as collectors. */
  readonly ranking: () => readonly ProcessId[];
  /** Entries in the list of the fleet, without this one. */
  readonly listedPeers: () => Iterable<ProcessId>;
  readonly send: SendToPeer;
  readonly broadcast: Broadcast;
  readonly onOutcome?: (outcome: ReportOutcome | "given_up") => void;
}

/**
 * Counts the requests of each workspace that started to run, and reports them
 * once per window. Each entry counts its own requests and copies the counts to
 * a few collectors; the first live collector reports.
 */
export class UsageReporter {
  readonly clock: FleetClock;
  readonly #options: UsageReporterOptions;
  readonly #ledger: UsageLedger;
  readonly #claim: ExclusiveClaim;
  readonly #since: number;
  /** The last run of each entry that has sent its counts. */
  readonly #runIds = new Map<ProcessId, string>();
  /**
   * Reports fixed by claims. The store may lose a claim when it is restored
   * from a backup, while the receiver already has the counts.
   */
  readonly #fixed = new Map<UsageWindow, WorkspaceCounts>();
  readonly #subscriptions: Subscription[] = [];
  /** The latest window that was reported or given up. */
  #closedThrough: number;
  #acceptedThrough = -Infinity;
  #lastFullCopyAt = -Infinity;
  #retryAt = -Infinity;
  #isReporting = false;

  constructor(options: UsageReporterOptions) {
    const { isFirstStart, timer, windowMilliseconds } = options;
    this.#options = options;
    this.clock = new FleetClock(timer);
    const now = this.clock.now();
    // Nothing ran earlier in the window in which the fleet first starts.
    this.#since = isFirstStart ? now - now % windowMilliseconds : now;
    this.#ledger = new UsageLedger({
      self: this.#runId,
      windowMilliseconds,
      since: this.#since,
    });
    this.#claim = new ExclusiveClaim({ ...options, self: this.#runId });
    const oldestOpenWindow = isFirstStart
      ? Math.floor(now / windowMilliseconds)
      : this.#oldestOpenWindow;
    this.#closedThrough = oldestOpenWindow - 1;
  }

  /** Fencing token of this entry's reports; absent if another entry reports. */
  get fencing(): number | undefined {
    return this.#claim.fencing;
  }

  start(): void {
    const { timer } = this.#options;
    this.#subscriptions.push(
      timer.every(COPY_INTERVAL_MILLISECONDS, () => this.#copyCounts()),
      timer.every(CHECK_INTERVAL_MILLISECONDS, () => this.#check()),
    );
  }

  /** Sends the last counts to the collectors. */
  stop(): void {
    for (const each of this.#subscriptions) each.cancel();
    this.#subscriptions.length = 0;
    this.#copyCounts();
  }

  /** Counts a request that started to run at this monotonic time. */
  noteStarted(workspace: WorkspaceId, at: number): void {
    this.#ledger.recordStart(workspace, this.clock.timeAt(at));
  }

  /** Records a peer's counts. */
  onCounts(counts: UsageNotification): void {
    this.#runIds.set(identifier(counts.entry), runIdOf(counts));
    this.#ledger.mergePeerCounts(runIdOf(counts), counts);
  }

  /** Records what a peer has reported, and its claim. */
  onReports({ acceptedThrough, claim, fixed }: ReportsNotification): void {
    const isNewest = this.#claim.observe(claim);
    for (const [each, counts] of fixed ?? []) {
      const window = numbered<UsageWindow>(each);
      if (!this.#hasBegun(window)) continue;
      // News of an older claim may arrive late; the newer counts stay.
      if (!isNewest && this.#fixed.has(window)) continue;
      this.#fixed.set(window, decodeCounts(counts));
    }
    if (acceptedThrough !== undefined && this.#hasBegun(acceptedThrough)) {
      this.#noteAccepted(acceptedThrough);
    }
  }

  get #runId(): string {
    return `${this.#options.self}#${this.#options.incarnation}`;
  }

  /** The oldest window whose report is not overdue. */
  get #oldestOpenWindow(): UsageWindow {
    const { dueMilliseconds, windowMilliseconds } = this.#options;
    const time = this.clock.now() - dueMilliseconds;
    return numbered(Math.ceil(time / windowMilliseconds) - 1);
  }

  #endOf(window: UsageWindow): number {
    return (window + 1) * this.#options.windowMilliseconds;
  }

  /**
   * False for a window that no entry can have reported, as it has not begun. It
   * would count as the newest reported one, and no other be reported any more.
   */
  #hasBegun(window: number): boolean {
    const { windowMilliseconds } = this.#options;
    return window <= Math.floor(this.clock.now() / windowMilliseconds);
  }

  #dropOverdueReports(): void {
    for (const window of this.#fixed.keys()) {
      if (window < this.#oldestOpenWindow) this.#fixed.delete(window);
    }
  }

  #noteAccepted(window: number): void {
    this.#acceptedThrough = Math.max(this.#acceptedThrough, window);
    this.#closedThrough = Math.max(this.#closedThrough, window);
  }

  /** Copies this entry's counts to the collectors. */
  #copyCounts(): void {
    const { incarnation, ranking, self, send, timer } = this.#options;
    const now = timer.now();
    const isFull =
      now - this.#lastFullCopyAt >= FULL_COPY_INTERVAL_MILLISECONDS;
    if (!isFull && !this.#ledger.hasUnsent) return;
    if (isFull) {
      this.#lastFullCopyAt = now;
      this.#ledger.discardBefore(
        numbered(Math.max(this.#oldestOpenWindow, this.#closedThrough + 1)),
      );
    }
    const params: UsageNotification = {
      entry: self,
      incarnation,
      since: this.#since,
      until: isFull ? this.clock.now() : 0,
      usage: this.#ledger.takeOwnCounts({ all: isFull }),
    };
    for (const collector of ranking().slice(0, COLLECTOR_COUNT)) {
      if (collector !== self) send(collector, { method: USAGE_METHOD, params });
    }
  }

  async #check(): Promise<void> {
    if (this.#isReporting) return;
    this.#dropOverdueReports();
    this.#giveUpOverdue();
    const due = this.#dueWindows();
    if (due.length === 0 || !this.#isOwnTurn(due[0])) return;
    const now = this.#options.timer.now();
    if (now < this.#retryAt) return;
    this.#retryAt = now + RETRY_INTERVAL_MILLISECONDS;
    this.#isReporting = true;
    try {
      await this.#sendReports(due);
    } finally {
      this.#isReporting = false;
    }
  }

  #giveUpOverdue(): void {
    for (
      let window = this.#closedThrough + 1;
      window < this.#oldestOpenWindow;
      window++
    ) {
      this.#closedThrough = window;
      const isKnown = this.#ledger.covers(numbered(window));
      this.#options.onOutcome?.("given_up");
      this.#options.logger.warn(
        { window, reason: isKnown ? "overdue" : "counts_unknown" },
        "Gave up reporting the usage of a window",
      );
    }
  }

  #dueWindows(): UsageWindow[] {
    const { windowMilliseconds } = this.#options;
    const time = this.clock.now() - COUNT_SETTLE_MILLISECONDS;
    const running = Math.floor(time / windowMilliseconds);
    const due: UsageWindow[] = [];
    for (let window = this.#closedThrough + 1; window < running; window++) {
      due.push(numbered(window));
    }
    return due.filter((window) => this.#ledger.covers(window));
  }

  #isOwnTurn(window: UsageWindow): boolean {
    const { ranking, self } = this.#options;
    const position = ranking().indexOf(self);
    if (position < 0 || position >= COLLECTOR_COUNT) return false;
    // A collector that started later has no counts of entries that are gone.
    const hasCounted = this.#ledger.isCountedBySelf(window);
    const rank = hasCounted ? position : COLLECTOR_COUNT;
    if (rank === 0 && this.#isComplete(window)) return true;
    const wait = SILENT_ENTRY_TIMEOUT_MILLISECONDS +
      COLLECTOR_STAGGER_MILLISECONDS * rank;
    return this.clock.now() >= this.#endOf(window) + wait;
  }

  /** True if every entry that ran in the window has sent all its counts. */
  #isComplete(window: UsageWindow): boolean {
    const { listedPeers, windowMilliseconds } = this.#options;
    const end = this.#endOf(window);
    for (const entry of listedPeers()) {
      const run = this.#runIds.get(entry);
      if (run === undefined) continue;
      const hasEnded = !this.#ledger.isKnownUntil(
        run,
        end - windowMilliseconds,
      );
      const hasAllCounts = this.#ledger.isKnownUntil(
        run,
        end + COUNT_SETTLE_MILLISECONDS,
      );
      if (!hasEnded && !hasAllCounts) return false;
    }
    return true;
  }

  async #sendReports(due: readonly UsageWindow[]): Promise<void> {
    const reports = await this.#acquireClaim(due);
    for (const report of reports ?? []) {
      if (report.accepted) continue;
      if (!await this.#sendReport(report)) return;
    }
  }

  /** Claims the duty and fixes the reports; undefined if not possible now. */
  async #acquireClaim(
    due: readonly UsageWindow[],
  ): Promise<readonly UsageReport[] | undefined> {
    const { link, logger, timer } = this.#options;
    const read = await link.readClaim();
    if (read.isErr()) {
      const reason = read.error.message;
      logger.warn({ reason }, "The claim on usage reports cannot be read");
      return undefined;
    }
    const { claim, end } = read.value;
    this.#claim.observeLog(read.value);
    if (!this.#claim.canClaim()) return undefined;
    const reports = nextReports({
      ledger: this.#ledger,
      fixed: this.#mergeFixedReports(claim?.reports ?? []),
      due,
      oldest: this.#oldestOpenWindow,
      isAccepted: (window) => window <= this.#acceptedThrough,
    });
    if (reports.every(({ accepted }) => accepted)) {
      this.#closedThrough = Math.max(this.#closedThrough, ...due);
      return undefined;
    }
    const sentAt = timer.now();
    const appended = await link.appendClaim(
      { holder: this.#runId, reports },
      end,
    );
    // The claim may be in force although its response was lost; the next
    // attempt reads it.
    const offset = appended.unwrapOr(undefined);
    const isAcquired = offset !== undefined &&
      this.#claim.recordAcquired(offset, sentAt);
    if (!isAcquired) {
      const reason = appended.isErr() ? appended.error.message : "overtaken";
      logger.info({ reason }, "The claim on usage reports was not acquired");
      return undefined;
    }
    for (const { counts, window } of reports) this.#fixed.set(window, counts);
    this.#announceReports({ holder: this.#runId, offset }, reports);
    const windows = reports.map(({ window }) => window);
    logger.info(
      { fencing: offset, windows },
      "This entry now holds the claim on usage reports",
    );
    return reports;
  }

  /** False if nothing more may be sent under this claim. */
  async #sendReport(report: UsageReport): Promise<boolean> {
    const { link, logger, onOutcome, self } = this.#options;
    const fencing = this.#claim.fencing;
    if (fencing === undefined) return false;
    const outcome = await link.report(report, { holder: self, fencing });
    onOutcome?.(outcome);
    const { counts, window } = report;
    const requests = [...counts.values()].reduce((sum, each) => sum + each, 0);
    logger.info(
      { window, fencing, outcome, workspaces: counts.size, requests },
      "Sent a usage report",
    );
    if (outcome === "refused") this.#claim.refused();
    if (outcome !== "accepted") return false;
    this.#noteAccepted(window);
    this.#announceReports({ holder: this.#runId, offset: fencing });
    return true;
  }

  /** Reports of the latest claim, and those that the store has lost. */
  #mergeFixedReports(claimed: readonly UsageReport[]): UsageReport[] {
    const plausible = claimed.filter(({ window }) => this.#hasBegun(window));
    const known = new Set(plausible.map(({ window }) => window));
    const lost = [...this.#fixed]
      .filter(([window]) => !known.has(window))
      .map(([window, counts]) => ({ window, counts, accepted: false }));
    return [...plausible, ...lost].sort((one, other) =>
      one.window - other.window
    );
  }

  #announceReports(
    claim: CurrentClaim,
    fixed: readonly UsageReport[] = [],
  ): void {
    const params: ReportsNotification = {
      claim,
      ...(Number.isFinite(this.#acceptedThrough) && {
        acceptedThrough: this.#acceptedThrough,
      }),
      ...(fixed.length > 0 && {
        fixed: fixed.map(({ counts, window }) =>
          [window, [...counts]] as const
        ),
      }),
    };
    this.#options.broadcast({ method: USAGE_REPORTS_METHOD, params });
  }
}

function decodeCounts(counts: WindowCounts[1]): WorkspaceCounts {
  return new Map(counts.map(([workspace, count]) => [
    identifier<WorkspaceId>(workspace),
    count,
  ]));
}

function runIdOf(
  { entry, incarnation }: Pick<UsageNotification, "entry" | "incarnation">,
): string {
  return `${entry}#${incarnation}`;
}
