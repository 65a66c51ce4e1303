import type { WorkspaceId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import { maxMinLevel } from "./max_min_level.ts";

/**
 * Time constant of the counters. It spans the bursts of a few seconds in which
 * kinds of requests alternate, and is short enough that a new process or a lost
 * report matters for some seconds only.
 */
const DECAY_MILLISECONDS = 4_000;
/** Workspaces whose counters are kept, the most active ones. */
const MAX_WORKSPACES = 512;
/** Workspaces beyond the limit before it is enforced, to spread its cost. */
const EXCESS_WORKSPACES = 128;
/**
 * Work that must be refused, relative to the admitted work, before capacity
 * counts as scarce. It covers prompts that are held or cancelled.
 */
const SCARCITY_MARGIN = 0.02;
/** How long a computed level is used; computing it sorts the counters. */
const LEVEL_VALIDITY_MILLISECONDS = 50;
/** Scale at which the counters are moved to a new landmark. */
const MAX_SCALE = 1e6;
/** Counters below this are dropped when the landmark moves, milliseconds. */
const MIN_KEPT_WORK = 0.01;

/** Work of a workspace since its last report, in engine milliseconds. */
export type ShareRow = readonly [
  workspace: string,
  admitted: number,
  asked: number,
];

/** Work of a workspace's request. */
export interface RequestWork {
  readonly milliseconds: number;
  /** Priority of the request; 0 is the most urgent. */
  readonly rank: number;
}

/** Work that was asked for and admitted, in milliseconds at the landmark. */
interface WorkTotal {
  admitted: number;
  asked: number;
}

/** Work of one workspace, in milliseconds at the landmark. */
interface WorkspaceWork extends WorkTotal {
  unreportedAdmitted: number;
  unreportedAsked: number;
}

/**
 * Work that each workspace asked for and was admitted for in one pool, in
 * milliseconds of an engine, as decaying counters. Decides which workspaces
 * have more than their max-min fair share while capacity is scarce.
 *
 * Counters use forward decay: work is weighted by its time since a landmark
 * instead of discounting every counter on each read.
 */
export class FairShares {
  readonly #timer: TimerService;
  readonly #work = new Map<WorkspaceId, WorkspaceWork>();
  /** Totals of all workspaces, also of those whose counters were dropped. */
  readonly #total: WorkTotal = { admitted: 0, asked: 0 };
  /** Work that this entry's own callers asked for, by rank. */
  readonly #ownAsked = new Map<number, number>();
  #landmark: number;
  #level = Infinity;
  #levelAt = -Infinity;

  constructor(timer: TimerService) {
    this.#timer = timer;
    this.#landmark = timer.now();
  }

  /** Records work that the workspace asked for, whether it is admitted or not. */
  recordAsked(
    workspace: WorkspaceId,
    { milliseconds, rank }: RequestWork,
  ): void {
    const amount = milliseconds * this.#scale();
    const work = this.#workOf(workspace);
    work.asked += amount;
    work.unreportedAsked += amount;
    this.#total.asked += amount;
    this.#ownAsked.set(rank, amount + (this.#ownAsked.get(rank) ?? 0));
  }

  /** Records admitted work of the workspace. */
  record(workspace: WorkspaceId, milliseconds: number): void {
    const amount = milliseconds * this.#scale();
    const work = this.#workOf(workspace);
    work.admitted += amount;
    work.unreportedAdmitted += amount;
    this.#total.admitted += amount;
  }

  /** Records work that a peer reported. */
  recordPeer([workspace, admitted, asked]: ShareRow): void {
    const scale = this.#scale();
    const work = this.#workOf(workspace as WorkspaceId);
    work.admitted += scale * admitted;
    work.asked += scale * asked;
    this.#total.admitted += scale * admitted;
    this.#total.asked += scale * asked;
  }

  /** Returns the largest unreported rows, and marks them as reported. */
  takeUnreported(count: number): ShareRow[] {
    const scale = this.#scale();
    const unreported = (work: WorkspaceWork) =>
      work.unreportedAdmitted + work.unreportedAsked;
    return this.#largestBy(unreported, count).map(([workspace, work]) => {
      const row: ShareRow = [
        workspace,
        roundToTenth(work.unreportedAdmitted / scale),
        roundToTenth(work.unreportedAsked / scale),
      ];
      work.unreportedAdmitted = 0;
      work.unreportedAsked = 0;
      return row;
    });
  }

  /** Share of the recently admitted work that the workspace got, 0 to 1. */
  usedShare(workspace: WorkspaceId): number {
    const { admitted } = this.#total;
    return admitted > 0 ? this.#admitted(workspace) / admitted : 0;
  }

  /**
   * True while capacity is scarce for this rank and the workspace has more than
   * its max-min fair share of it. Work of less urgent ranks does not make it
   * scarce, since it is served later.
   */
  isAboveShare(workspace: WorkspaceId, rank: number): boolean {
    return this.#isScarceFor(rank) && this.#admitted(workspace) >
        (1 + SCARCITY_MARGIN) * this.#currentLevel();
  }

  /** The workspaces with the most admitted work and their shares of it. */
  largest(count: number): (readonly [WorkspaceId, number])[] {
    return this.#largestBy(({ admitted }) => admitted, count)
      .map(([workspace]) => [workspace, this.usedShare(workspace)] as const);
  }

  /** Number of workspaces with counters. */
  get size(): number {
    return this.#work.size;
  }

  #admitted(workspace: WorkspaceId): number {
    return this.#work.get(workspace)?.admitted ?? 0;
  }

  #largestBy(
    amountOf: (work: WorkspaceWork) => number,
    count: number,
  ): (readonly [WorkspaceId, WorkspaceWork])[] {
    return [...this.#work]
      .filter(([, work]) => amountOf(work) > 0)
      .sort(([, one], [, other]) => amountOf(other) - amountOf(one))
      .slice(0, count);
  }

  /** The level at the landmark; workspaces without counters are below it. */
  #currentLevel(): number {
    const now = this.#timer.now();
    if (now - this.#levelAt < LEVEL_VALIDITY_MILLISECONDS) return this.#level;
    this.#levelAt = now;
    if (!isScarce(this.#total)) return this.#level = Infinity;
    const { admitted, asked } = this.#total;
    const rows = [...this.#work.values()].map((work) =>
      Math.max(work.asked, work.admitted)
    );
    const known = rows.reduce((sum, each) => sum + each, 0);
    const unknown = Math.max(0, asked - known);
    return this.#level = maxMinLevel(rows, admitted - unknown);
  }

  /**
   * True if the work up to this rank exceeds all work that is admitted. The
   * ranks of peers' work are assumed to be those of this entry's callers.
   */
  #isScarceFor(rank: number): boolean {
    let own = 0;
    let upToRank = 0;
    for (const [each, asked] of this.#ownAsked) {
      own += asked;
      if (each <= rank) upToRank += asked;
    }
    const { admitted, asked } = this.#total;
    const share = own > 0 ? upToRank / own : 1;
    return isScarce({ admitted, asked: share * asked });
  }

  #workOf(workspace: WorkspaceId): WorkspaceWork {
    let work = this.#work.get(workspace);
    if (work !== undefined) return work;
    if (this.#work.size >= MAX_WORKSPACES + EXCESS_WORKSPACES) {
      this.#dropLeastActive();
    }
    work = {
      admitted: 0,
      asked: 0,
      unreportedAdmitted: 0,
      unreportedAsked: 0,
    };
    this.#work.set(workspace, work);
    return work;
  }

  #dropLeastActive(): void {
    const byActivity = [...this.#work].sort(([, one], [, other]) =>
      other.admitted + other.asked - one.admitted - one.asked
    );
    for (const [workspace] of byActivity.slice(MAX_WORKSPACES)) {
      this.#work.delete(workspace);
    }
  }

  /** Weight of present work relative to work at the landmark. */
  #scale(): number {
    const age = this.#timer.now() - this.#landmark;
    const scale = Math.exp(age / DECAY_MILLISECONDS);
    if (scale <= MAX_SCALE) return scale;
    this.#landmark += age;
    this.#levelAt = -Infinity;
    this.#total.admitted /= scale;
    this.#total.asked /= scale;
    for (const [rank, asked] of this.#ownAsked) {
      this.#ownAsked.set(rank, asked / scale);
    }
    for (const [workspace, work] of this.#work) {
      work.admitted /= scale;
      work.asked /= scale;
      work.unreportedAdmitted /= scale;
      work.unreportedAsked /= scale;
      if (work.admitted + work.asked < MIN_KEPT_WORK) {
        this.#work.delete(workspace);
      }
    }
    return 1;
  }
}

function isScarce({ admitted, asked }: WorkTotal): boolean {
  return asked > (1 + SCARCITY_MARGIN) * admitted;
}

function roundToTenth(value: number): number {
  return Math.round(10 * value) / 10;
}
