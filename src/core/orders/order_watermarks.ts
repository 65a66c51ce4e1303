import type { SideReport, StandingOrder } from "../../generated/messages.ts";

/**
 * Highest order offset that each side is known to have. An entry never answers
 * a side with an order that is older than one which an earlier run of this side
 * had.
 *
 * Fault that it prevents: a side of an engine that ignores fencing is killed
 * after a newer order was executed. Its next run knows no order and asks an
 * entry that is behind on the log; the answer is the older order, and the
 * engine can't detect that and changes back. It shows as two role changes in a
 * row, the second against the plan. The same two entries serve each run of a
 * side, so one that has been running since then knows of the newer order. An
 * engine that checks fencing doesn't need this.
 */
export class OrderWatermarks {
  readonly #highestOffsets = new Map<string, number>();

  /** Records the offsets in a report of any run of a side. */
  recordReport(report: SideReport): void {
    const known = this.#highestOffsets.get(report.endpoint) ?? -1;
    const reported = Math.max(report.orderTaken, report.orderApplied ?? -1);
    if (reported > known) this.#highestOffsets.set(report.endpoint, reported);
  }

  /** Order to answer with; undefined while this entry is behind the side. */
  selectOrder(
    endpoint: string,
    order: StandingOrder | undefined,
  ): StandingOrder | undefined {
    if (order === undefined) return undefined;
    const known = this.#highestOffsets.get(endpoint) ?? -1;
    return order.offset < known ? undefined : order;
  }

  /** Removes the endpoints that are no longer in the inventory. */
  retainEndpoints(endpoints: ReadonlySet<string>): void {
    for (const endpoint of [...this.#highestOffsets.keys()]) {
      if (!endpoints.has(endpoint)) this.#highestOffsets.delete(endpoint);
    }
  }
}
