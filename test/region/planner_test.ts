import { expect } from "chai";
import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import { InProcessRegion } from "../support/in_process_region.ts";

type Role = "mixed" | "prefill" | "decode";

describe("Regional planner", () => {
  let history: HistoryEvent[];
  let region: InProcessRegion;

  beforeEach(async () => {
    history = [];
    region = new InProcessRegion({
      entries: 3,
      endpoints: 4,
      fleet: { observe: (event) => void history.push(event) },
    });
    await region.start();
  });

  afterEach(() => region.fleet.halt());

  /** Publishes a fixed role for engine 1, based on the version in force. */
  async function fixRole(role: Role): Promise<void> {
    const content = region.content();
    const [, endpoint] = content.inventory.pools[0].endpoints;
    endpoint.role = role;
    endpoint.fixedRole = true;
    const base = region.fleet.entries[0].configurationVersion;
    const published = region.fleet.publish(content, base);
    await region.timer.advance(5_000);
    expect((await published).isOk()).to.equal(true);
  }

  function claimHolder(): number {
    const { claim } = region.fleet.entries[0].status();
    return region.fleet.entries.findIndex((entry) =>
      claim?.holder.startsWith(`${entry.status().entry}#`)
    );
  }

  function ordersSent(role: Role): number {
    return history.filter((event) =>
      event.kind === "order_sent" &&
      String(event.facts.target).includes(`"role":"${role}"`)
    ).length;
  }

  async function roleOfEngine(): Promise<Role> {
    return (await region.engines[1].observe())._unsafeUnwrap().role;
  }

  it("changes an engine to the published role with one order", async () => {
    await fixRole("prefill");
    await region.timer.advance(60_000);
    expect(await roleOfEngine()).to.equal("prefill");
    expect(ordersSent("prefill")).to.equal(1);
  });

  // The planning entry halts right after a publication, before its orders are
  // carried out. Another entry must take over without an operator's action and
  // must not repeat an order.
  it("fails over to another entry, which sends each order once", async () => {
    const holderBefore = claimHolder();
    await fixRole("decode");
    region.fleet.entries[holderBefore].halt();
    await region.timer.advance(120_000);
    expect(claimHolder()).not.to.equal(holderBefore);
    expect(await roleOfEngine()).to.equal("decode");
    expect(ordersSent("decode")).to.equal(1);
  });

  // During an outage of the log, no entry can know whether it holds the claim,
  // so no engine may get an order. After the outage, a published role must take
  // effect.
  it("sends no order during an outage of the log and resumes after it", async () => {
    const before = history.length;
    for (const faults of region.logFaults.values()) faults.down = true;
    await region.timer.advance(180_000);
    const orders = history.slice(before).filter((event) =>
      event.kind === "order_sent"
    );
    expect(orders).to.deep.equal([]);
    for (const faults of region.logFaults.values()) faults.down = false;
    await region.timer.advance(20_000);
    await fixRole("prefill");
    await region.timer.advance(90_000);
    expect(await roleOfEngine()).to.equal("prefill");
  });
});
