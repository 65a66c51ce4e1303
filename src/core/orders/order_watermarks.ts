import type { SideReport, StandingOrder } from "../../generated/messages.ts";

/**
 * What an entry has heard of the orders that sides know. It answers a side
 * with no order that is older than one which an earlier run of this side had.
 *
 * What goes wrong without it: a side beside an engine that ignores fencing is
 * killed after a newer order was carried out. Its next run knows no order and
 * asks an entry that is behind on the log; the answer is the older order, and
 * the engine, which can't tell, goes back. One would notice two role changes
 * in a row, the second against the plan. The same two entries serve each run
 * of a side, so one that has been up since then has heard of the newer order.
 * An engine that checks fencing needs none of this.
 */
export class TakenOrders {
  readonly #highestOffsets = new Map<string, number>();

  /** Takes a side's report, of whichever run. */
  note(report: SideReport): void {
    const known = this.#highestOffsets.get(report.endpoint) ?? -1;
    const reported = Math.max(report.orderTaken, report.orderApplied ?? -1);
    if (reported > known) this.#highestOffsets.set(report.endpoint, reported);
  }

  /** The order to answer with; none while this entry is behind the side. */
  answerWith(
    endpoint: string,
    order: StandingOrder | undefined,
  ): StandingOrder | undefined {
    if (order === undefined) return undefined;
    const known = this.#highestOffsets.get(endpoint) ?? -1;
    return order.offset < known ? undefined : order;
  }

  /** Forgets endpoints that the inventory no longer has. */
  keepOnly(endpoints: ReadonlySet<string>): void {
    for (const endpoint of [...this.#highestOffsets.keys()]) {
      if (!endpoints.has(endpoint)) this.#highestOffsets.delete(endpoint);
    }
  }
}
