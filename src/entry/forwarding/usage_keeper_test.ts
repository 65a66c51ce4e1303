import { expect } from "chai";
import { settled } from "../../../test/support/forwarding_bench.ts";
import { UsagePlatform } from "../../../test/support/usage_platform.ts";
import {
  identifier,
  type ProcessId,
  type WorkspaceId,
} from "../../core/identity/mod.ts";
import { SILENT_LOGGER } from "../../core/observation/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { UsageKeeper } from "./usage_keeper.ts";

const LEASE_MILLISECONDS = 3_000;
const WINDOW_MILLISECONDS = 5_000;
const DUE_MILLISECONDS = 10_000;
const STEP_MILLISECONDS = 10;

interface Member {
  readonly name: ProcessId;
  incarnation: number;
  keeper: UsageKeeper;
  isAlive: boolean;
  /** No path to the store and to the receiver of reports. */
  isCut: boolean;
}

/** Keepers on virtual time that hear each other by datagrams. */
class Fleet {
  readonly timer = new ManualTimerService();
  readonly platform = new UsagePlatform(this.timer);
  readonly members: Member[];
  /** Requests that began, by window and workspace. */
  readonly truth = new Map<number, Map<string, number>>();
  readonly #random = seededRandom(5);
  readonly #lostShare: number;

  constructor(
    { entries, lostShare = 0 }: {
      readonly entries: number;
      readonly lostShare?: number;
    },
  ) {
    this.#lostShare = lostShare;
    this.members = Array.from({ length: entries }, (_, index) => {
      const name = identifier<ProcessId>(`entry-${index}`);
      const member = { name, incarnation: 1, isAlive: true, isCut: false };
      return Object.assign(member, {
        keeper: this.#make(member, { isFirstStart: true }),
      });
    });
    for (const { keeper } of this.members) keeper.start();
  }

  #make(
    member: Omit<Member, "keeper">,
    { isFirstStart }: { readonly isFirstStart: boolean },
  ): UsageKeeper {
    const { incarnation } = member;
    const isThisRun = () =>
      member.isAlive && member.incarnation === incarnation;
    return new UsageKeeper({
      self: member.name,
      incarnation: String(incarnation),
      timer: this.timer,
      logger: SILENT_LOGGER,
      link: this.platform.linkOf(() => member.isCut || !isThisRun()),
      leaseMilliseconds: LEASE_MILLISECONDS,
      windowMilliseconds: WINDOW_MILLISECONDS,
      dueMilliseconds: DUE_MILLISECONDS,
      isFirstStart,
      ranking: () =>
        this.members.filter(({ isAlive }) => isAlive).map(({ name }) => name),
      listed: () =>
        this.members.map(({ name }) => name)
          .filter((name) => name !== member.name),
      tellOne: (peer, { method, params }) =>
        isThisRun() && this.#carry(peer, method, params),
      tellAll: (method, params) => {
        if (!isThisRun()) return;
        for (const { name } of this.members) {
          if (name !== member.name) this.#carry(name, method, params);
        }
      },
    });
  }

  #carry(to: ProcessId, method: string, params: unknown): void {
    if (this.#random() < this.#lostShare) return;
    const copy = JSON.parse(JSON.stringify(params));
    this.timer.after(1 + this.#random(), () => {
      const member = this.members.find(({ name }) => name === to);
      if (member?.isAlive) member.keeper.take(method, copy);
    });
  }

  /** Serves requests of two workspaces for so long, milliseconds. */
  async serve(milliseconds: number): Promise<void> {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      const alive = this.members.filter(({ isAlive }) => isAlive);
      if (alive.length > 0) this.#begin(alive);
      await this.timer.advance(STEP_MILLISECONDS);
      await settled();
    }
  }

  #begin(alive: readonly Member[]): void {
    const member = alive[Math.floor(this.#random() * alive.length)];
    const workspace = this.#random() < 0.8 ? "large" : "small";
    const window = Math.floor(this.timer.wallClock() / WINDOW_MILLISECONDS);
    const counts = this.truth.get(window) ?? new Map<string, number>();
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this.truth.set(window, counts);
    member.keeper.began(
      identifier<WorkspaceId>(workspace),
      this.timer.now(),
    );
  }

  kill(index: number): void {
    this.members[index].isAlive = false;
  }

  restart(index: number): void {
    const member = this.members[index];
    member.incarnation += 1;
    member.isAlive = true;
    member.keeper = this.#make(member, { isFirstStart: false });
    member.keeper.start();
  }

  /** Share by which each reported window is off at its worst workspace. */
  worstError(): number {
    let worst = 0;
    for (const [window, counts] of this.platform.reported) {
      for (const [workspace, count] of this.truth.get(window) ?? []) {
        const error = Math.abs((counts[workspace] ?? 0) - count) / count;
        worst = Math.max(worst, error);
      }
    }
    return worst;
  }

  /** Windows whose reports are overdue and missing. */
  missing(): number[] {
    const overdue = this.timer.wallClock() - DUE_MILLISECONDS;
    return [...this.truth.keys()].filter((window) =>
      (window + 1) * WINDOW_MILLISECONDS < overdue &&
      !this.platform.reported.has(window)
    );
  }
}

function expectGood(fleet: Fleet, { within = 0 } = {}): void {
  expect(fleet.platform.violations(LEASE_MILLISECONDS)).to.deep.equal([]);
  expect(fleet.missing()).to.deep.equal([]);
  expect(fleet.worstError()).to.be.at.most(within);
  expect(fleet.platform.reported.size).to.be.greaterThan(0);
}

describe("UsageKeeper", () => {
  it("reports every window once, by one holder, soon after its end", async () => {
    const fleet = new Fleet({ entries: 4 });
    await fleet.serve(32_000);
    expectGood(fleet);
    expect(fleet.platform.taken).to.have.length(
      fleet.platform.reported.size,
    );
    for (const { at, window } of fleet.platform.taken) {
      const wallClock = fleet.timer.wallClock() - fleet.timer.now() + at;
      expect(wallClock - (window + 1) * WINDOW_MILLISECONDS)
        .to.be.within(1_000, 3_000);
    }
  });

  for (const entries of [22, 68]) {
    it(`loses nothing at ${entries} entries with a tenth of the datagrams lost`, async () => {
      const fleet = new Fleet({ entries, lostShare: 0.1 });
      await fleet.serve(30_000);
      expectGood(fleet);
    });
  }

  // Killed at each of these moments of a window, the holder has not claimed,
  // has fixed the counts, or has reported.
  for (const moment of [900, 1_300, 2_000, 2_250, 2_500, 3_000, 4_500]) {
    it(`survives the holder's kill ${moment} ms behind a window's end`, async () => {
      const fleet = new Fleet({ entries: 4 });
      const begun = WINDOW_MILLISECONDS -
        fleet.timer.wallClock() % WINDOW_MILLISECONDS;
      await fleet.serve(begun + 10_000 + moment);
      fleet.kill(0);
      await fleet.serve(3_000);
      fleet.restart(0);
      await fleet.serve(25_000);
      expectGood(fleet, { within: 0.05 });
    });
  }

  it("goes on at another entry while the holder is cut off", async () => {
    const fleet = new Fleet({ entries: 4 });
    await fleet.serve(11_000);
    fleet.members[0].isCut = true;
    await fleet.serve(20_000);
    fleet.members[0].isCut = false;
    await fleet.serve(20_000);
    expectGood(fleet);
  });

  for (const outcome of ["unknown", "limited"] as const) {
    it(`reports the oldest window first once ${outcome} calls pass again`, async () => {
      const fleet = new Fleet({ entries: 4 });
      await fleet.serve(11_000);
      fleet.platform.failsWith = outcome;
      await fleet.serve(6_000);
      fleet.platform.failsWith = undefined;
      await fleet.serve(20_000);
      expectGood(fleet);
      const windows = fleet.platform.taken.map(({ window }) => window);
      expect(windows).to.deep.equal(windows.toSorted());
    });
  }

  it("repeats a report with the very same counts where its answer is lost", async () => {
    const fleet = new Fleet({ entries: 4, lostShare: 0.1 });
    fleet.platform.losesAnswers = true;
    await fleet.serve(13_000);
    fleet.platform.losesAnswers = false;
    await fleet.serve(15_000);
    expectGood(fleet);
    expect(fleet.platform.taken.length).to.be.greaterThan(
      fleet.platform.reported.size,
    );
  });

  it("reports no window that all entries together have not counted whole", async () => {
    const fleet = new Fleet({ entries: 3 });
    await fleet.serve(13_000);
    for (const index of [0, 1, 2]) fleet.kill(index);
    await fleet.serve(1_000);
    for (const index of [0, 1, 2]) fleet.restart(index);
    await fleet.serve(30_000);
    expect(fleet.platform.violations(LEASE_MILLISECONDS)).to.deep.equal([]);
    expect(fleet.worstError()).to.equal(0);
    expect(fleet.missing().length).to.be.within(1, 2);
  });
});
