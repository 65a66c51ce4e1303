import { expect } from "chai";
import { identifier, type ServiceName } from "../identity/mod.ts";
import {
  ENGINES,
  makeConfiguration,
  makeRoute,
  PORTAL,
} from "../../../test/support/forwarding_fixtures.ts";
import { RouteTable, selectPool } from "./mod.ts";

describe("RouteTable", () => {
  const table = new RouteTable(makeConfiguration({
    routes: [
      makeRoute({ name: "short", pathPrefix: "/a/" }),
      makeRoute({ name: "long", pathPrefix: "/a/b/" }),
      makeRoute({ name: "other host", host: "two.example", pathPrefix: "/" }),
    ],
  }));

  it("uses the longest prefix of the host", () => {
    expect(table.find("one.example", "/a/b/c")?.name).to.equal("long");
    expect(table.find("one.example", "/a/x")?.name).to.equal("short");
  });

  it("ignores port, case and query", () => {
    expect(table.find("ONE.example:80", "/a/x?to=/a/b/")?.name)
      .to.equal("short");
  });

  it("finds nothing outside the prefixes", () => {
    expect(table.find("one.example", "/ab")).to.equal(undefined);
    expect(table.find("three.example", "/a/")).to.equal(undefined);
  });

  // A prompt of the route that allows long pauses slows down the streams of the
  // others on the same engine.
  it("knows the shortest pause that the routes of a pool allow", () => {
    const bounded = new RouteTable(makeConfiguration({
      routes: [
        makeRoute({ maxPauseMilliseconds: 200, rank: 2 }),
        makeRoute({ maxPauseMilliseconds: 150 }),
        makeRoute(),
      ],
    }));
    expect(bounded.pauseBound(PORTAL)).to.deep.equal({
      maxPauseMilliseconds: 150,
      leastUrgentRank: 2,
    });
    expect(bounded.pauseBound(ENGINES)).to.equal(undefined);
  });
});

describe("selectPool", () => {
  const route = makeRoute({
    shares: [
      { pool: identifier<ServiceName>("most"), weight: 90 },
      { pool: identifier<ServiceName>("few"), weight: 10 },
    ],
  });

  it("follows the weights", () => {
    expect(selectPool(route, () => 0.89)).to.equal("most");
    expect(selectPool(route, () => 0.91)).to.equal("few");
  });

  it("returns undefined for a route without pools", () => {
    expect(selectPool(makeRoute({ shares: [] }), () => 0)).to.equal(undefined);
  });
});
