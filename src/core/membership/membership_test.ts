import { expect } from "chai";
import { err, ok } from "neverthrow";
import type { SideReport } from "../../generated/messages.ts";
import { defineError, failure } from "../errors/mod.ts";
import { identifier } from "../identity/mod.ts";
import type { ListedVm, VmList } from "../links/mod.ts";
import { seededRandom } from "../random/mod.ts";
import { ManualTimerService } from "../time/mod.ts";
import { Membership, rendezvousSubset, selectAttachedEntries } from "./mod.ts";

const UNAVAILABLE = defineError<Record<never, never>>()({
  name: "vm_list_unavailable",
  title: "VM list unavailable",
  message: () => "Cannot read the VM list",
  hint: "Wait.",
});

const READ_MILLISECONDS = 10_000;

function vm(id: string, leaving = false): ListedVm {
  return {
    id,
    address: identifier("10.0.0.1:7000"),
    role: "side",
    availabilityZone: "petaling",
    leaving,
  };
}

function report(
  side: string,
  incarnation: string,
  state: SideReport["state"] = "serving",
): SideReport {
  const load = {
    running: 0,
    waiting: 0,
    limit: 4,
    millisecondsBetweenTokens: 25,
  };
  return {
    side,
    incarnation,
    endpoint: side,
    state,
    load,
    configurationVersion: 0,
    ordersRead: -1,
    orderTaken: -1,
  };
}

describe("Membership", () => {
  let timer: ManualTimerService;
  let listed: ListedVm[] | undefined;
  let membership: Membership;

  beforeEach(async () => {
    timer = new ManualTimerService();
    listed = [vm("a"), vm("b")];
    const vmList: VmList = {
      read: () =>
        Promise.resolve(
          listed === undefined ? err(failure(UNAVAILABLE, {})) : ok(listed),
        ),
    };
    membership = new Membership({
      vmList,
      timer,
      random: seededRandom(1),
      readMilliseconds: READ_MILLISECONDS,
      suspectMilliseconds: 3_000,
    });
    membership.start();
    await timer.advance(0);
  });

  afterEach(() => membership.stop());

  it("uses the listed VMs", () => {
    expect(membership.isUsable("a")).to.equal(true);
    expect(membership.isUsable("unknown")).to.equal(false);
  });

  // The VM list is unavailable for minutes. If the members were dropped, every
  // caller would be refused although all endpoints work.
  it("keeps its members while the list is unavailable", async () => {
    listed = undefined;
    await timer.advance(600_000);
    expect(membership.isUsable("a")).to.equal(true);
  });

  // One answer of the list lacks a VM. Removing it at once would cut off a
  // working endpoint for a whole read interval.
  it("keeps a member that is missing from one answer of the list", async () => {
    listed = [vm("b")];
    await timer.advance(READ_MILLISECONDS * 1.2);
    expect(membership.isUsable("a")).to.equal(true);
    await timer.advance(READ_MILLISECONDS * 3);
    expect(membership.member("a")).to.equal(undefined);
  });

  it("keeps a member that reports although the list lacks it", async () => {
    listed = [vm("b")];
    for (let second = 0; second < 60; second += 1) {
      membership.recordSideReport(report("a", "run-1"));
      await timer.advance(1_000);
    }
    expect(membership.isUsable("a")).to.equal(true);
  });

  // A side reports that it is leaving, and the lagging list still shows it
  // as active. Work sent there would be refused repeatedly.
  it("uses a side's leaving report before the list shows it", async () => {
    membership.recordSideReport(report("a", "run-1", "leaving"));
    await timer.advance(READ_MILLISECONDS * 3);
    expect(membership.isUsable("a")).to.equal(false);
  });

  it("does not use a VM that the list shows as leaving", async () => {
    listed = [vm("a", true), vm("b")];
    await timer.advance(READ_MILLISECONDS * 1.2);
    expect(membership.isUsable("a")).to.equal(false);
  });

  // The list shows a VM as leaving, then the departure is cancelled and the
  // list shows it as active. Without the update, the endpoint would stay
  // unused.
  it("uses a VM again that the list no longer shows as leaving", async () => {
    listed = [vm("a", true)];
    await timer.advance(READ_MILLISECONDS * 1.2);
    listed = [vm("a")];
    await timer.advance(READ_MILLISECONDS * 1.2);
    expect(membership.isUsable("a")).to.equal(true);
  });

  // A side restarts. A delayed report of its earlier incarnation says that
  // it is leaving, which would take the new incarnation out of service.
  it("ignores a report of an older incarnation", () => {
    membership.recordSideReport(report("a", "run-1"));
    membership.recordSideReport(report("a", "run-2"));
    const late = report("a", "run-1", "leaving");
    expect(membership.recordSideReport(late)).to.equal(false);
    expect(membership.isUsable("a")).to.equal(true);
  });

  it("applies a report of an older incarnation without the check", () => {
    const unchecked = new Membership({
      vmList: { read: () => Promise.resolve(err(failure(UNAVAILABLE, {}))) },
      timer,
      random: seededRandom(1),
      readMilliseconds: READ_MILLISECONDS,
      suspectMilliseconds: 3_000,
      guards: { checksIncarnation: false },
    });
    unchecked.recordSideReport(report("a", "run-2"));
    unchecked.recordSideReport(report("a", "run-1", "leaving"));
    expect(unchecked.isUsable("a")).to.equal(false);
  });

  // The same, at an entry that has no report of the earlier incarnation.
  it("does not treat an older incarnation as a new one", () => {
    membership.recordSideReport(report("a", "run-2"));
    const late = report("a", "run-1", "leaving");
    expect(membership.recordSideReport(late)).to.equal(false);
  });

  // A VM's clock was set back before its side restarted, so the new
  // incarnation sorts below the old one. Rejected permanently, the side
  // would never get work again.
  it("accepts a lower incarnation once the other stops reporting", async () => {
    membership.recordSideReport(report("a", "run-2"));
    await timer.advance(4_000);
    expect(membership.recordSideReport(report("a", "run-1"))).to.equal(true);
  });

  it("does not carry the leaving state over to a new incarnation", () => {
    membership.recordSideReport(report("a", "run-1", "leaving"));
    membership.recordSideReport(report("a", "run-2"));
    expect(membership.isUsable("a")).to.equal(true);
  });

  // The connection to one side fails. The entry must not use it for a while
  // and then retry on its own, since no other process reports the recovery.
  it("suspects a member for a limited time", async () => {
    membership.suspect("a");
    expect(membership.isUsable("a")).to.equal(false);
    await timer.advance(4_000);
    expect(membership.isUsable("a")).to.equal(true);
  });
});

describe("rendezvousSubset", () => {
  const zones = ["shah-alam", "petaling", "klang-port"];
  const members = Array.from({ length: 300 }, (_, index) => ({
    id: `endpoint-${index}`,
    availabilityZone: zones[index % 3],
  }));
  const options = {
    picker: "entry-1",
    availabilityZone: "petaling",
    size: 16,
    spill: 4,
  };

  it("picks most members from the own zone and a few from others", () => {
    const picked = rendezvousSubset(members, options);
    const own = picked.filter((one) => one.availabilityZone === "petaling");
    expect(picked).to.have.length(16);
    expect(own).to.have.length(12);
  });

  it("fills up from other zones when the own one is small", () => {
    const few = members.slice(0, 6);
    expect(rendezvousSubset(few, options)).to.have.length(6);
  });

  // One VM is replaced. If the pick of every entry changed with it, each would
  // connect to new endpoints and lose its state of the old ones.
  it("changes at most one pick when one member is removed", () => {
    const before = rendezvousSubset(members, options);
    const after = rendezvousSubset(members.slice(1), options);
    const kept = after.filter((one) => before.includes(one));
    expect(kept.length).to.be.at.least(15);
  });

  it("spreads the picks of many entries evenly", () => {
    const counts = new Map<string, number>();
    for (let entry = 0; entry < 400; entry += 1) {
      const picked = rendezvousSubset(members, {
        ...options,
        picker: `entry-${entry}`,
        spill: 0,
      });
      for (const { id } of picked) counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    // 400 pickers, 16 of 100 each: 64 on average; 2 in 3 within 8 of it.
    expect(counts.size).to.equal(100);
    expect(Math.min(...counts.values())).to.be.above(35);
    expect(Math.max(...counts.values())).to.be.below(100);
  });

  it("picks by weight", () => {
    const weighted = [
      ...members.slice(0, 1).map((one) => ({ ...one, weight: 10 })),
      ...members.slice(1, 20),
    ];
    let heavy = 0;
    for (let entry = 0; entry < 1_000; entry += 1) {
      const [first] = rendezvousSubset(weighted, {
        picker: `entry-${entry}`,
        availabilityZone: "none",
        size: 1,
      });
      if (first === weighted[0]) heavy += 1;
    }
    // 10 of 29 by weight.
    expect(heavy).to.be.within(290, 400);
  });

  it("attaches a side to two entries of its zone", () => {
    const picked = selectAttachedEntries(members, {
      side: "side-1",
      availabilityZone: "klang-port",
    });
    expect(picked.map((one) => one.availabilityZone)).to.deep.equal([
      "klang-port",
      "klang-port",
    ]);
  });
});
