import { expect } from "chai";
import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import { InProcessRegion } from "../support/in_process.ts";

type Role = "mixed" | "prefill" | "decode";

describe("The planner of a region", () => {
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

  /** Publishes that engine 1 has a fixed role, on the version in force. */
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

  it("brings an engine into the role that was published", async () => {
    await fixRole("prefill");
    await region.timer.advance(60_000);
    expect(await roleOfEngine()).to.equal("prefill");
    expect(ordersSent("prefill")).to.equal(1);
  });

  // The entry that plans is gone right after an operator has published, before
  // its orders are carried out. Nobody tends the region by hand; another entry
  // has to take over, and what was ordered must not be ordered again.
  it("is followed by another entry that continues what it began", async () => {
    const holderBefore = claimHolder();
    await fixRole("decode");
    region.fleet.entries[holderBefore].halt();
    await region.timer.advance(120_000);
    expect(claimHolder()).not.to.equal(holderBefore);
    expect(await roleOfEngine()).to.equal("decode");
    expect(ordersSent("decode")).to.equal(1);
  });

  // The log is out for minutes. Nobody can know who plans, so no engine may get
  // an order; once the log is back the published role still has to come.
  it("gives no order while the log is out, and does when it is back", async () => {
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
