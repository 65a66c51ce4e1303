import { settled } from "./forwarding_bench.ts";
import { UsagePlatform } from "./usage_platform.ts";
import {
  identifier,
  type ProcessId,
  type WorkspaceId,
} from "../../src/core/identity/mod.ts";
import { SILENT_LOGGER } from "../../src/core/observation/mod.ts";
import { seededRandom } from "../../src/core/random/mod.ts";
import { ManualTimerService } from "../../src/core/time/mod.ts";
import { UsageKeeper } from "../../src/entry/forwarding/usage_keeper.ts";

export const LEASE_MILLISECONDS = 3_000;
export const WINDOW_MILLISECONDS = 5_000;
const DUE_MILLISECONDS = 10_000;
const STEP_MILLISECONDS = 10;

interface Member {
  readonly name: ProcessId;
  incarnation: number;
  keeper: UsageKeeper;
  isAlive: boolean;
  /** No path to the store and to the receiver of reports. */
  isCut: boolean;
  /** What it has asked for is answered only when it is thawed. */
  isFrozen: boolean;
}

/** Keepers on virtual time that hear each other by datagrams. */
export class UsageFleet {
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
      const member = {
        name,
        incarnation: 1,
        isAlive: true,
        isCut: false,
        isFrozen: false,
      };
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
      link: this.platform.linkOf({
        isCut: () => member.isCut || !isThisRun(),
        isFrozen: () => member.isFrozen,
      }),
      leaseMilliseconds: LEASE_MILLISECONDS,
      windowMilliseconds: WINDOW_MILLISECONDS,
      dueMilliseconds: DUE_MILLISECONDS,
      isFirstStart,
      ranking: () =>
        this.members.filter(({ isAlive }) => isAlive).map(({ name }) => name),
      listed: () =>
        this.members.map(({ name }) => name)
          .filter((name) => name !== member.name),
      send: (peer, { method, params }) =>
        isThisRun() && this.#carry(peer, method, params),
      broadcast: (method, params) => {
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
