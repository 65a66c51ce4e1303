import type { EntryStatus, SideReport } from "../../generated/messages.ts";
import type { ListedVm, VmList } from "../links/mod.ts";
import { type Random, withJitter } from "../random/mod.ts";
import {
  beforeDeadline,
  type Subscription,
  type TimerService,
} from "../time/mod.ts";

/** Guards that a test may take out; the product never passes them. */
export interface MembershipGuards {
  /** A late report of an earlier run does not count. */
  readonly checksIncarnation: boolean;
}

export interface MembershipOptions {
  readonly guards?: Partial<MembershipGuards>;
  readonly vmList: VmList;
  readonly timer: TimerService;
  readonly random: Random;
  /** How often the VM list is read. */
  readonly readMilliseconds: number;
  /** How long a suspected member is left alone before it is tried again. */
  readonly suspectMilliseconds: number;
  /** The usable members have changed. */
  readonly onChange?: () => void;
}

/** A VM as this process sees it, from the list and from the VM itself. */
export interface Member {
  readonly id: string;
  readonly vm: ListedVm | undefined;
  /** The newest run that has reported directly. */
  readonly incarnation: string | undefined;
  /** True once the list or the member itself has said that it leaves. */
  readonly leaving: boolean;
  /** True while this process alone can't reach it. */
  readonly suspected: boolean;
  /** Timer time of its last direct report. */
  readonly heardAt: number | undefined;
}

interface MemberState {
  readonly id: string;
  vm: ListedVm | undefined;
  incarnation: string | undefined;
  readonly superseded: Set<string>;
  /** What the current run said of itself. */
  saysLeaving: boolean;
  suspectedUntil: number;
  heardAt: number | undefined;
}

/**
 * Runs of one member that are remembered as over. A report of an older run can
 * be late by seconds, while a restart takes longer than that.
 */
const MOST_SUPERSEDED = 8;
/**
 * A VM that the list leaves out counts as gone only after this many reads,
 * where it has not spoken since. Harm prevented: one short answer of the
 * list takes working endpoints away.
 */
const READS_UNTIL_GONE = 2;
const READ_JITTER_SHARE = 0.2;
const READ_ANSWER_MILLISECONDS = 5_000;

/**
 * The members of the region as one entry sees them: the platform's VM list,
 * which lags and has outages, corrected by what members say themselves.
 *
 * Suspicion is local: an entry that can't reach a side stops using it and says
 * nothing to others, since it may be the entry that is cut off.
 */
export class Membership {
  readonly #options: MembershipOptions;
  readonly #members = new Map<string, MemberState>();
  readonly #missing = new Map<string, number>();
  #next: Subscription | undefined;
  #stopped = true;
  #listedAt: number | undefined;

  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /** Timer time of the last list that could be read. */
  get listedAt(): number | undefined {
    return this.#listedAt;
  }

  start(): void {
    this.#stopped = false;
    void this.#readAndPlan();
  }

  stop(): void {
    this.#stopped = true;
    this.#next?.cancel();
  }

  member(id: string): Member | undefined {
    const state = this.#members.get(id);
    return state === undefined ? undefined : this.#view(state);
  }

  members(): readonly Member[] {
    return [...this.#members.values()].map((state) => this.#view(state));
  }

  /** True where new work may go to the member. */
  isUsable(id: string): boolean {
    const state = this.#members.get(id);
    return state !== undefined && !isLeaving(state) &&
      !this.#isSuspected(state);
  }

  /** Takes a side's direct report; false where it comes from an older run. */
  sideReported(report: SideReport): boolean {
    const { side, incarnation, state } = report;
    return this.#heard(side, {
      incarnation,
      leaving: state === "leaving",
    });
  }

  /** Takes an entry's status; false where it comes from an older run. */
  entryReported(status: EntryStatus): boolean {
    const { entry, incarnation, state } = status;
    return this.#heard(entry, { incarnation, leaving: state === "draining" });
  }

  /** This process can't reach the member; it leaves it alone for a while. */
  suspect(id: string): void {
    const state = this.#members.get(id);
    if (state === undefined) return;
    const { random, suspectMilliseconds, timer } = this.#options;
    const wasUsable = this.isUsable(id);
    state.suspectedUntil = timer.now() +
      withJitter(suspectMilliseconds, { random, share: READ_JITTER_SHARE });
    if (wasUsable) this.#changed();
  }

  /** The member has answered this process. */
  trust(id: string): void {
    const state = this.#members.get(id);
    if (state === undefined || !this.#isSuspected(state)) return;
    state.suspectedUntil = -Infinity;
    this.#changed();
  }

  /** Reads the VM list once; a list that can't be read changes nothing. */
  async refresh(): Promise<void> {
    const answer = await beforeDeadline(this.#options.vmList.read(), {
      timer: this.#options.timer,
      milliseconds: READ_ANSWER_MILLISECONDS,
    });
    if (answer === undefined || answer.isErr()) return;
    this.#listedAt = this.#options.timer.now();
    const listed = new Set(answer.value.map((vm) => vm.id));
    for (const vm of answer.value) this.#takeListed(vm);
    for (const state of [...this.#members.values()]) {
      if (!listed.has(state.id)) this.#takeMissing(state);
    }
    this.#changed();
  }

  async #readAndPlan(): Promise<void> {
    await this.refresh();
    if (this.#stopped) return;
    const { random, readMilliseconds, timer } = this.#options;
    this.#next = timer.after(
      withJitter(readMilliseconds, { random, share: READ_JITTER_SHARE }),
      () => void this.#readAndPlan(),
    );
  }

  #takeListed(vm: ListedVm): void {
    const state = this.#state(vm.id);
    this.#missing.delete(vm.id);
    state.vm = vm;
  }

  #takeMissing(state: MemberState): void {
    const { readMilliseconds, timer } = this.#options;
    const heard = state.heardAt ?? -Infinity;
    const missing = (this.#missing.get(state.id) ?? 0) + 1;
    this.#missing.set(state.id, missing);
    if (missing < READS_UNTIL_GONE) return;
    // A VM that speaks is there, whatever the list has: the list lags.
    if (timer.now() - heard < READS_UNTIL_GONE * readMilliseconds) return;
    this.#members.delete(state.id);
    this.#missing.delete(state.id);
  }

  #heard(
    id: string,
    report: { incarnation: string; leaving: boolean },
  ): boolean {
    const state = this.#state(id);
    if (this.#isOlderRun(state, report.incarnation)) return false;
    if (state.incarnation !== report.incarnation) {
      this.#supersede(state, report.incarnation);
    }
    state.heardAt = this.#options.timer.now();
    const wasUsable = this.isUsable(id);
    state.suspectedUntil = -Infinity;
    if (report.leaving) state.saysLeaving = true;
    if (wasUsable !== this.isUsable(id)) this.#changed();
    return true;
  }

  /**
   * A late report of an earlier run must not replace what the newer run said;
   * one would notice a side that was left taking work again, or a running one
   * left alone. Incarnations sort by their time of making; because a clock may
   * have been set back, that order counts only while the other run is heard.
   */
  #isOlderRun(state: MemberState, incarnation: string): boolean {
    if (this.#options.guards?.checksIncarnation === false) return false;
    if (state.superseded.has(incarnation)) return true;
    if (state.incarnation === undefined) return false;
    if (incarnation >= state.incarnation) return false;
    const heard = state.heardAt ?? -Infinity;
    return this.#options.timer.now() - heard <
      this.#options.suspectMilliseconds;
  }

  #supersede(state: MemberState, incarnation: string): void {
    if (state.incarnation !== undefined) {
      state.superseded.add(state.incarnation);
      const [oldest] = state.superseded;
      if (state.superseded.size > MOST_SUPERSEDED) {
        state.superseded.delete(oldest);
      }
    }
    state.incarnation = incarnation;
    // The run that was leaving is over; its successor speaks for itself.
    state.saysLeaving = false;
  }

  #state(id: string): MemberState {
    const known = this.#members.get(id);
    if (known !== undefined) return known;
    const state: MemberState = {
      id,
      vm: undefined,
      incarnation: undefined,
      superseded: new Set(),
      saysLeaving: false,
      suspectedUntil: -Infinity,
      heardAt: undefined,
    };
    this.#members.set(id, state);
    return state;
  }

  #isSuspected(state: MemberState): boolean {
    return this.#options.timer.now() < state.suspectedUntil;
  }

  #view(state: MemberState): Member {
    return {
      id: state.id,
      vm: state.vm,
      incarnation: state.incarnation,
      leaving: isLeaving(state),
      suspected: this.#isSuspected(state),
      heardAt: state.heardAt,
    };
  }

  #changed(): void {
    this.#options.onChange?.();
  }
}

/** The list lags, so it must not undo what the member has said itself. */
function isLeaving(state: MemberState): boolean {
  return state.saysLeaving || state.vm?.leaving === true;
}
