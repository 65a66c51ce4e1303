import { expect } from "chai";
import {
  ENGINES,
  makeConfiguration,
  makeRoute,
  PORTAL,
} from "../../../../test/support/forwarding_fixtures.ts";
import type { ServiceName } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import type { Route } from "../configuration.ts";
import { RouteTable } from "../route_table.ts";
import { FormerRoutes } from "./former_routes.ts";
import { STREAM_LIFETIME_MILLISECONDS } from "./stream_origins.ts";

const HOST = "a.example";
const TARGET = "/streams/long/x";

describe("FormerRoutes", () => {
  let timer: ManualTimerService;
  let former: FormerRoutes;

  beforeEach(() => {
    timer = new ManualTimerService();
    former = new FormerRoutes(timer);
  });

  function routeTo(pool: ServiceName, values: Partial<Route> = {}): Route {
    return makeRoute({
      host: HOST,
      pathPrefix: "/streams/",
      repeat: "stream",
      resumable: true,
      shares: [{ pool, weight: 1 }],
      ...values,
    });
  }

  /** Puts the routes in force one after the other. */
  function apply(...steps: readonly (readonly Route[])[]): void {
    const tables = steps.map((routes) =>
      new RouteTable(makeConfiguration({ routes }))
    );
    for (const [index, next] of tables.entries()) {
      if (index > 0) former.record(tables[index - 1], next);
    }
  }

  function pools(): ServiceName[] {
    return [...former.poolsOf(HOST, TARGET)];
  }

  it("names the former pool for as long as streams live", async () => {
    apply([routeTo(PORTAL)], [routeTo(ENGINES)]);
    expect(pools()).to.deep.equal([PORTAL]);
    await timer.advance(STREAM_LIFETIME_MILLISECONDS + 1);
    expect(pools()).to.deep.equal([]);
  });

  // The memory would grow with each change of a large configuration.
  it("keeps nothing of changes that concern no streams", () => {
    const other = routeTo(ENGINES, { pathPrefix: "/o/", repeat: "idempotent" });
    apply([routeTo(PORTAL)], [routeTo(PORTAL), other], [routeTo(PORTAL)]);
    expect(pools()).to.deep.equal([]);
  });

  // A longer prefix without streams would hide the pool that began them.
  it("names the pool of streams that a route without streams had replaced", () => {
    const pathPrefix = "/streams/long/";
    const plain = routeTo(ENGINES, { pathPrefix, repeat: "idempotent" });
    apply(
      [routeTo(PORTAL)],
      [routeTo(PORTAL), plain],
      [routeTo(PORTAL), routeTo(ENGINES, { pathPrefix })],
    );
    expect(pools()).to.deep.equal([PORTAL]);
  });
});
