import type { ServiceName } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RouteTable } from "../route_table.ts";
import { STREAM_LIFETIME_MILLISECONDS } from "./stream_origins.ts";

interface FormerTable {
  readonly table: RouteTable;
  readonly replacedAt: number;
}

/**
 * Routes that were in force while streams began that may still be taken up. A
 * request may have been routed to another pool then.
 */
export class FormerRoutes {
  readonly #timer: TimerService;
  #tables: readonly FormerTable[] = [];

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records a change of the routes in force. */
  record(former: RouteTable, next: RouteTable): void {
    // Most changes concern other settings, and need no memory.
    if (routingOf(former) === routingOf(next)) return;
    const replacedAt = this.#timer.now();
    this.#tables = [...this.#recent(), { table: former, replacedAt }];
  }

  /** Pools to which the former routes sent requests like this one. */
  poolsOf(host: string, target: string): ReadonlySet<ServiceName> {
    const shares = this.#recent().flatMap(({ table }) =>
      table.find(host, target)?.shares ?? []
    );
    return new Set(shares.map(({ pool }) => pool));
  }

  #recent(): readonly FormerTable[] {
    const since = this.#timer.now() - STREAM_LIFETIME_MILLISECONDS;
    return this.#tables.filter(({ replacedAt }) => replacedAt > since);
  }
}

/** Text that differs if requests may reach other pools. */
function routingOf({ configuration }: RouteTable): string {
  return JSON.stringify(
    configuration.routes.map(({ host, pathPrefix, shares }) => [
      host,
      pathPrefix,
      shares.map(({ pool }) => pool),
    ]),
  );
}
