import type { ServiceName } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { Route } from "../configuration.ts";
import { RouteTable } from "../route_table.ts";
import { STREAM_LIFETIME_MILLISECONDS } from "./stream_origins.ts";

interface FormerTable {
  /** The routes of streams alone, without callers' keys. */
  readonly table: RouteTable;
  readonly replacedAt: number;
}

/**
 * Routes of streams that were in force while streams began that may still be
 * taken up. A request may have been routed to another pool then.
 */
export class FormerRoutes {
  readonly #timer: TimerService;
  #tables: readonly FormerTable[] = [];

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Records a change of the routes in force. */
  record(former: RouteTable, next: RouteTable): void {
    const routes = streamRoutesOf(former);
    // Most changes concern other settings, and need no memory.
    if (routingOf(routes) === routingOf(streamRoutesOf(next))) return;
    const { configuration } = former;
    const table = new RouteTable({
      ...configuration,
      routes,
      workspaces: undefined,
    });
    const replacedAt = this.#timer.now();
    this.#tables = [...this.#recent(), { table, replacedAt }];
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

function streamRoutesOf({ configuration }: RouteTable): readonly Route[] {
  return configuration.routes.filter(({ repeat }) => repeat === "stream");
}

/** Text that differs if requests may reach other pools. */
function routingOf(routes: readonly Route[]): string {
  return JSON.stringify(
    routes.map(({ host, pathPrefix, shares }) => [
      host,
      pathPrefix,
      shares.map(({ pool }) => pool),
    ]),
  );
}
