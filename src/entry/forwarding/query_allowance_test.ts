import { expect } from "chai";
import { ManualTimerService } from "../../core/time/mod.ts";
import { QueryAllowance } from "./query_allowance.ts";

const ENDPOINTS = 28;
const QUERY_BYTES = 240;

/** Bytes that a fleet uses for queries in this time, per endpoint and second. */
async function use(entries: number, seconds: number): Promise<number> {
  const timer = new ManualTimerService();
  const allowance = new QueryAllowance({
    timer,
    entries: () => entries,
    endpoints: () => ENDPOINTS,
  });
  let queries = 0;
  for (let at = 0; at < seconds * 1_000; at += 5) {
    while (allowance.take(2)) queries += 2;
    await timer.advance(5);
  }
  return queries * QUERY_BYTES * entries / ENDPOINTS / seconds;
}

describe("QueryAllowance", () => {
  // State exchange must not grow with the number of entries.
  for (const entries of [30, 100, 300]) {
    it(`keeps ${entries} entries below 1 KB/s for each endpoint`, async () => {
      expect(await use(entries, 120)).to.be.within(200, 1_000);
    });
  }

  it("allows a burst, in which a pool is full", async () => {
    expect(await use(30, 3)).to.be.greaterThan(4_000);
  });
});
