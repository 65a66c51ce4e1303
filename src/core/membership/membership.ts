import type { EntryStatus, SideReport } from "../../generated/messages.ts";
import type { ListedVm, VmList } from "../links/mod.ts";
import { type Random, withJitter } from "../random/mod.ts";
import {
  type Subscription,
  type TimerService,
  withTimeout,
} from "../time/mod.ts";

/** Checks that a test can disable; production code leaves all enabled. */
export interface MembershipGuards {
  /** A late report of an earlier incarnation is ignored. */
  readonly checksIncarnation: boolean;
}

export interface MembershipOptions {
  readonly guards?: Partial<MembershipGuards>;
  readonly vmList: VmList;
  readonly timer: TimerService;
  readonly random: Random;
  /** Interval between reads of the VM list. */
  readonly readMilliseconds: number;
  /** How long a suspected member is not used before it is tried again. */
  readonly suspectMilliseconds: number;
  /** The usable members have changed. */
  readonly onChange?: () => void;
}

/** A VM as this process sees it, from the VM list and the VM's own reports. */
export interface Member {
  readonly id: string;
  readonly vm: ListedVm | undefined;
  /** The newest incarnation that has reported directly. */
  readonly incarnation: string | undefined;
  /** True once the list or the member itself reports that it is leaving. */
  readonly leaving: boolean;
  /** True while this process considers it unreachable. */
  readonly suspected: boolean;
  /** Timer time of its last direct report. */
  readonly lastReportAt: number | undefined;
}

interface MemberState {
  readonly id: string;
  vm: ListedVm | undefined;
  incarnation: string | undefined;
  readonly superseded: Set<string>;
  /** Whether the current incarnation reported that it is leaving. */
  reportsLeaving: boolean;
  suspectedUntil: number;
  lastReportAt: number | undefined;
}

/**
 * Number of superseded incarnations stored per member. A report of an older one
 * can be late by seconds, while a restart takes longer than that.
 */
const MAX_SUPERSEDED_INCARNATIONS = 8;
/**
 * Number of consecutive reads without a VM after which it is removed, unless it
 * has reported meanwhile. Otherwise one incomplete answer of the list removes
 * working endpoints.
 */
const MAX_MISSED_READS = 2;
const JITTER_SHARE = 0.2;
const READ_TIMEOUT_MILLISECONDS = 5_000;

/**
 * The members of the region as one entry sees them: the platform's VM list,
 * which lags and has outages, corrected by the members' own reports.
 *
 * Suspicion is local: an entry that can't reach a side stops using it and
 * does not share this, since the entry itself may be the one that is cut off.
 */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #members = new Map<string, MemberState>();
  readonly #missedReads = new Map<string, number>();
  #nextRead: Subscription | undefined;
  #stopped = true;
  #lastListAt: number | undefined;

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Timer time of the last successful read of the VM list. */
  get lastListAt(): number | undefined {
    return this.#lastListAt;
  }

  start(): void {
    this.#stopped = false;
    this.#options.timer.run(() => this.#readAndSchedule());
  }

  stop(): void {
    this.#stopped = true;
    this.#nextRead?.cancel();
  }

  member(id: string): Member | undefined {
    const state = this.#members.get(id);
    return state === undefined ? undefined : this.#viewOf(state);
  }

  members(): readonly Member[] {
    return [...this.#members.values()].map((state) => this.#viewOf(state));
  }

  /** True if new work may be sent to the member. */
  isUsable(id: string): boolean {
    const state = this.#members.get(id);
    return state !== undefined && !isLeaving(state) &&
      !this.#isSuspected(state);
  }

  /**
   * Applies a side's direct report; returns false if it is from an older
   * incarnation.
   */
  recordSideReport(report: SideReport): boolean {
    const { side, incarnation, state } = report;
    return this.#recordReport(side, {
      incarnation,
      leaving: state === "leaving",
    });
  }

  /**
   * Applies an entry's status; returns false if it is from an older
   * incarnation.
   */
  recordEntryStatus(status: EntryStatus): boolean {
    const { entry, incarnation, state } = status;
    return this.#recordReport(entry, {
      incarnation,
      leaving: state === "draining",
    });
  }

  /**
   * Marks a member that this process can't reach as suspected for a limited
   * time.
   */
  suspect(id: string): void {
    const state = this.#members.get(id);
    if (state === undefined) return;
    const { random, suspectMilliseconds, timer } = this.#options;
    const wasUsable = this.isUsable(id);
    state.suspectedUntil = timer.now() +
      withJitter(suspectMilliseconds, { random, share: JITTER_SHARE });
    if (wasUsable) this.#notifyChange();
  }

  /** Ends the suspicion of a member that has answered this process. */
  clearSuspicion(id: string): void {
    const state = this.#members.get(id);
    if (state === undefined || !this.#isSuspected(state)) return;
    state.suspectedUntil = -Infinity;
    this.#notifyChange();
  }

  /** Reads the VM list once; a failed read changes nothing. */
  async refresh(): Promise<void> {
    const answer = await withTimeout(this.#options.vmList.read(), {
      timer: this.#options.timer,
      milliseconds: READ_TIMEOUT_MILLISECONDS,
    });
    if (answer === undefined || answer.isErr()) return;
    this.#lastListAt = this.#options.timer.now();
    const listed = new Set(answer.value.map((vm) => vm.id));
    for (const vm of answer.value) this.#applyListed(vm);
    for (const state of [...this.#members.values()]) {
      if (!listed.has(state.id)) this.#applyMissing(state);
    }
    this.#notifyChange();
  }

  async #readAndSchedule(): Promise<void> {
    await this.refresh();
    if (this.#stopped) return;
    const { random, readMilliseconds, timer } = this.#options;
    this.#nextRead = timer.after(
      withJitter(readMilliseconds, { random, share: JITTER_SHARE }),
      () => this.#readAndSchedule(),
    );
  }

  #applyListed(vm: ListedVm): void {
    const state = this.#state(vm.id);
    this.#missedReads.delete(vm.id);
    state.vm = vm;
  }

  #applyMissing(state: MemberState): void {
    const { readMilliseconds, timer } = this.#options;
    const reportedAt = state.lastReportAt ?? -Infinity;
    const missing = (this.#missedReads.get(state.id) ?? 0) + 1;
    this.#missedReads.set(state.id, missing);
    if (missing < MAX_MISSED_READS) return;
    // A VM that still reports is running, whatever the list contains: the list
    // lags.
    if (timer.now() - reportedAt < MAX_MISSED_READS * readMilliseconds) return;
    this.#members.delete(state.id);
    this.#missedReads.delete(state.id);
  }

  #recordReport(
    id: string,
    report: { incarnation: string; leaving: boolean },
  ): boolean {
    const state = this.#state(id);
    if (this.#isOlderIncarnation(state, report.incarnation)) return false;
    if (state.incarnation !== report.incarnation) {
      this.#supersede(state, report.incarnation);
    }
    state.lastReportAt = this.#options.timer.now();
    const wasUsable = this.isUsable(id);
    state.suspectedUntil = -Infinity;
    if (report.leaving) state.reportsLeaving = true;
    if (wasUsable !== this.isUsable(id)) this.#notifyChange();
    return true;
  }

  /**
   * True for a late report of an earlier incarnation, which must not replace
   * what the newer one reported; otherwise a leaving side gets work again,
   * or a running one gets none. Incarnations sort by creation time; because a
   * clock may have been set back, that order counts only while the other
   * incarnation still reports.
   */
  #isOlderIncarnation(state: MemberState, incarnation: string): boolean {
    if (this.#options.guards?.checksIncarnation === false) return false;
    if (state.superseded.has(incarnation)) return true;
    if (state.incarnation === undefined) return false;
    if (incarnation >= state.incarnation) return false;
    const reportedAt = state.lastReportAt ?? -Infinity;
    return this.#options.timer.now() - reportedAt <
      this.#options.suspectMilliseconds;
  }

  #supersede(state: MemberState, incarnation: string): void {
    if (state.incarnation !== undefined) {
      state.superseded.add(state.incarnation);
      const [oldest] = state.superseded;
      if (state.superseded.size > MAX_SUPERSEDED_INCARNATIONS) {
        state.superseded.delete(oldest);
      }
    }
    state.incarnation = incarnation;
    // The incarnation that was leaving is over; its successor reports its own
    // state.
    state.reportsLeaving = false;
  }

  #state(id: string): MemberState {
    const known = this.#members.get(id);
    if (known !== undefined) return known;
    const state: MemberState = {
      id,
      vm: undefined,
      incarnation: undefined,
      superseded: new Set(),
      reportsLeaving: false,
      suspectedUntil: -Infinity,
      lastReportAt: undefined,
    };
    this.#members.set(id, state);
    return state;
  }

  #isSuspected(state: MemberState): boolean {
    return this.#options.timer.now() < state.suspectedUntil;
  }

  #viewOf(state: MemberState): Member {
    return {
      id: state.id,
      vm: state.vm,
      incarnation: state.incarnation,
      leaving: isLeaving(state),
      suspected: this.#isSuspected(state),
      lastReportAt: state.lastReportAt,
    };
  }

  #notifyChange(): void {
    this.#options.onChange?.();
  }
}

/** The list lags, so it must not override the member's own report. */
function isLeaving(state: MemberState): boolean {
  return state.reportsLeaving || state.vm?.leaving === true;
}
