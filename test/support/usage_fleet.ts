import { flushPromises } from "./forwarding_harness.ts";
import type { Notification } from "../../src/entry/forwarding/mod.ts";
import {
  USAGE_METHOD,
  USAGE_REPORTS_METHOD,
} from "../../src/entry/forwarding/notifications/usage_notification.ts";
import { deliverNotification } from "./deliver_notification.ts";
import { UsagePlatform } from "./usage_platform.ts";
import {
  identifier,
  type ProcessId,
  type WorkspaceId,
} from "../../src/core/identity/mod.ts";
import { NOOP_LOGGER } from "../../src/core/observation/mod.ts";
import { seededRandom } from "../../src/core/random/mod.ts";
import { ManualTimerService } from "../../src/core/time/mod.ts";
import { UsageReporter } from "../../src/entry/forwarding/usage_reporter.ts";

export const LEASE_MILLISECONDS = 3_000;
export const WINDOW_MILLISECONDS = 5_000;
const REPORT_DUE_MILLISECONDS = 10_000;
const STEP_MILLISECONDS = 10;

interface Member {
  readonly name: ProcessId;
  incarnation: number;
  reporter: UsageReporter;
  isAlive: boolean;
  /**
   * Whether the member is partitioned from the store and the report receiver.
   */
  isPartitioned: boolean;
  /** Whether the member is suspended: its calls settle only once it resumes. */
  isSuspended: boolean;
}

/** Usage reporters on virtual time that exchange datagrams. */
export class UsageFleet {
  readonly timer = new ManualTimerService();
  readonly platform = new UsagePlatform(this.timer);
  readonly members: Member[];
  /** Number of requests that began, by window and workspace. */
  readonly expectedCounts = new Map<number, Map<string, number>>();
  readonly #random = seededRandom(5);
  readonly #lossRate: number;

  constructor(
    { entries, lossRate = 0 }: {
      readonly entries: number;
      readonly lossRate?: number;
    },
  ) {
    this.#lossRate = lossRate;
    this.members = Array.from({ length: entries }, (_, index) => {
      const name = identifier<ProcessId>(`entry-${index}`);
      const member = {
        name,
        incarnation: 1,
        isAlive: true,
        isPartitioned: false,
        isSuspended: false,
      };
      return Object.assign(member, {
        reporter: this.#makeReporter(member, { isFirstStart: true }),
      });
    });
    for (const { reporter } of this.members) reporter.start();
  }

  #makeReporter(
    member: Omit<Member, "reporter">,
    { isFirstStart }: { readonly isFirstStart: boolean },
  ): UsageReporter {
    const { incarnation } = member;
    const isCurrentRun = () =>
      member.isAlive && member.incarnation === incarnation;
    return new UsageReporter({
      self: member.name,
      incarnation: String(incarnation),
      timer: this.timer,
      logger: NOOP_LOGGER,
      link: this.platform.linkFor({
        isPartitioned: () => member.isPartitioned || !isCurrentRun(),
        isSuspended: () => member.isSuspended,
      }),
      leaseMilliseconds: LEASE_MILLISECONDS,
      windowMilliseconds: WINDOW_MILLISECONDS,
      dueMilliseconds: REPORT_DUE_MILLISECONDS,
      isFirstStart,
      ranking: () =>
        this.members.filter(({ isAlive }) => isAlive).map(({ name }) => name),
      listedPeers: () =>
        this.members.map(({ name }) => name)
          .filter((name) => name !== member.name),
      send: (peer, notification) =>
        isCurrentRun() && this.#deliver(peer, notification),
      broadcast: (notification) => {
        if (!isCurrentRun()) return;
        for (const { name } of this.members) {
          if (name !== member.name) this.#deliver(name, notification);
        }
      },
    });
  }

  #deliver(to: ProcessId, { method, params }: Notification): void {
    if (this.#random() < this.#lossRate) return;
    const copy = JSON.parse(JSON.stringify(params));
    this.timer.after(1 + this.#random(), () => {
      const member = this.members.find(({ name }) => name === to);
      if (!member?.isAlive) return;
      const { reporter } = member;
      const isValid = method === USAGE_METHOD
        ? deliverNotification(method, copy, {
          handler: (counts) => reporter.onCounts(counts),
        })
        : deliverNotification(USAGE_REPORTS_METHOD, copy, {
          handler: (reports) => reporter.onReports(reports),
        });
      if (!isValid) throw new Error(`A reporter sent an invalid ${method}`);
    });
  }

  /** Starts requests of two workspaces for the given time, milliseconds. */
  async serve(milliseconds: number): Promise<void> {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      const alive = this.members.filter(({ isAlive }) => isAlive);
      if (alive.length > 0) this.#startRequest(alive);
      await this.timer.advance(STEP_MILLISECONDS);
      await flushPromises();
    }
  }

  #startRequest(alive: readonly Member[]): void {
    const member = alive[Math.floor(this.#random() * alive.length)];
    const workspace = this.#random() < 0.8 ? "large" : "small";
    const window = Math.floor(this.timer.wallClock() / WINDOW_MILLISECONDS);
    const counts = this.expectedCounts.get(window) ?? new Map<string, number>();
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this.expectedCounts.set(window, counts);
    member.reporter.noteStarted(
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
    member.reporter = this.#makeReporter(member, { isFirstStart: false });
    member.reporter.start();
  }

  /** Largest relative error of any workspace's count in a reported window. */
  worstError(): number {
    let worstError = 0;
    for (const [window, counts] of this.platform.reported) {
      for (const [workspace, count] of this.expectedCounts.get(window) ?? []) {
        const error = Math.abs((counts[workspace] ?? 0) - count) / count;
        worstError = Math.max(worstError, error);
      }
    }
    return worstError;
  }

  /** Windows whose report is overdue. */
  missing(): number[] {
    const dueTime = this.timer.wallClock() - REPORT_DUE_MILLISECONDS;
    return [...this.expectedCounts.keys()].filter((window) =>
      (window + 1) * WINDOW_MILLISECONDS < dueTime &&
      !this.platform.reported.has(window)
    );
  }
}
