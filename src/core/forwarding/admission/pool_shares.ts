import type { ServiceName, WorkspaceId } from "../../identity/mod.ts";
import type { Random } from "../../random/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import { FairShares, type ShareRow } from "./fair_shares.ts";
import { ReturnCalendar } from "./return_calendar.ts";

/** Rows of one pool, as sent to peers. */
export type PoolShareRows = readonly [pool: string, rows: readonly ShareRow[]];

/** Fair shares and calendars by pool; empty unless a pool asks for them. */
export class PoolShares {
  readonly #timer: TimerService;
  readonly #random: Random;
  readonly #pools = new Map<ServiceName, FairShares>();
  readonly #calendars = new Map<ServiceName, ReturnCalendar>();

  constructor(timer: TimerService, random: Random) {
    this.#timer = timer;
    this.#random = random;
  }

  /** The pool's shares, created on first use. */
  forPool(pool: ServiceName): FairShares {
    let shares = this.#pools.get(pool);
    if (shares === undefined) {
      shares = new FairShares(this.#timer);
      this.#pools.set(pool, shares);
    }
    return shares;
  }

  /** The pool's calendar for refused callers, created on first use. */
  calendarOf(pool: ServiceName): ReturnCalendar {
    let calendar = this.#calendars.get(pool);
    if (calendar === undefined) {
      calendar = new ReturnCalendar(this.#timer, this.#random);
      this.#calendars.set(pool, calendar);
    }
    return calendar;
  }

  /** Records the rows of a peer. */
  recordPeer([pool, rows]: PoolShareRows): void {
    const shares = this.forPool(pool as ServiceName);
    for (const row of rows) shares.recordPeer(row);
  }

  /** Returns at most `count` unreported rows, divided among the pools. */
  takeUnreported(count: number): PoolShareRows[] {
    const perPool = Math.ceil(count / Math.max(1, this.#pools.size));
    return [...this.#pools].flatMap(([pool, shares]) => {
      const rows = shares.takeUnreported(perPool);
      return rows.length > 0 ? [[pool, rows] as const] : [];
    });
  }

  /** The largest workspaces of each pool and their shares of its work. */
  largest(
    count: number,
  ): { pool: ServiceName; workspace: WorkspaceId; share: number }[] {
    return [...this.#pools].flatMap(([pool, shares]) =>
      shares.largest(count).map(([workspace, share]) => ({
        pool,
        workspace,
        share,
      }))
    );
  }
}

/** Checks that the value is the rows of one pool. */
export function isPoolShareRows(value: unknown): value is PoolShareRows {
  if (!Array.isArray(value) || typeof value[0] !== "string") return false;
  return Array.isArray(value[1]) && value[1].every(isShareRow);
}

function isShareRow(value: unknown): value is ShareRow {
  if (!Array.isArray(value) || typeof value[0] !== "string") return false;
  return [value[1], value[2]].every((each) =>
    Number.isFinite(each) && each >= 0
  );
}
