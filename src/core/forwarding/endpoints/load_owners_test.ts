import { expect } from "chai";
import fc from "fast-check";
import {
  type EndpointId,
  identifier,
  type ProcessId,
} from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { LoadOwners } from "../mod.ts";

function entry(index: number): ProcessId {
  return identifier<ProcessId>(`entry-${index}`);
}

function engine(index: number): EndpointId {
  return identifier<EndpointId>(`engine-${index}`);
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

const ENGINES = range(34).map(engine);

describe("LoadOwners", () => {
  let timer: ManualTimerService;

  beforeEach(() => {
    timer = new ManualTimerService();
  });

  /** The owners as seen by one of several entries. */
  function ownersAt(self: number, others: readonly number[]): LoadOwners {
    const owners = new LoadOwners({ self: entry(self), timer });
    owners.setMembers(others.map(entry));
    for (const other of others) owners.recordMessage(entry(other));
    return owners;
  }

  it("are the same at all entries that know the same live entries", () => {
    const all = range(68);
    const views = all.map((self) =>
      ownersAt(self, all.filter((each) => each !== self))
    );
    for (const each of ENGINES) {
      const owners = new Set(views.map((view) => view.ownerOf(each)));
      expect(owners.size).to.equal(1);
    }
  });

  it("are distributed over the entries", () => {
    const owners = ownersAt(0, range(20).slice(1));
    const owned = range(400).map((index) => owners.ownerOf(engine(index)));
    const most = Math.max(
      ...range(20).map((index) =>
        owned.filter((name) => name === entry(index)).length
      ),
    );
    expect(most).to.be.below(2.5 * 400 / 20);
  });

  // An owner dies and its engines are assigned to other entries. If the other
  // engines moved too, every entry would lose its information on all of them at
  // once.
  it("reassign only the engines of a silent entry", async () => {
    const owners = ownersAt(0, range(20).slice(1));
    const before = ENGINES.map((each) => owners.ownerOf(each));
    await timer.advance(1_500);
    for (const index of range(20).slice(2)) owners.recordMessage(entry(index));
    await timer.advance(200);
    const after = ENGINES.map((each) => owners.ownerOf(each));
    expect(before).to.include(entry(1));
    expect(after).to.not.include(entry(1));
    const moved = before.filter((name, index) => name !== after[index]);
    expect(new Set(moved)).to.deep.equal(new Set([entry(1)]));
  });

  it("are this entry alone if no other entry is live", () => {
    const owners = new LoadOwners({ self: entry(0), timer });
    owners.setMembers([entry(1)]);
    expect(owners.ownerOf(ENGINES[0])).to.equal(entry(0));
    owners.recordMessage(entry(9));
    expect(owners.ownerOf(ENGINES[0])).to.equal(entry(0));
  });

  // An owner is disconnected. If it were queried for every request, each
  // request would wait for an answer that does not arrive.
  it("are not queried for a while after unanswered queries", async () => {
    const owners = ownersAt(0, [1]);
    for (const _ of range(2)) owners.recordQuery(entry(1), { answered: false });
    expect(owners.mayQuery(entry(1))).to.equal(true);
    owners.recordQuery(entry(1), { answered: false });
    expect(owners.mayQuery(entry(1))).to.equal(false);
    await timer.advance(501);
    expect(owners.mayQuery(entry(1))).to.equal(true);
  });

  it("are always members, whichever entries come and go", () => {
    const step = fc.record({
      listed: fc.subarray(range(12).slice(1)),
      received: fc.array(fc.integer({ min: 1, max: 14 })),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 8 }), (steps) => {
      const owners = new LoadOwners({ self: entry(0), timer });
      for (const { listed, received } of steps) {
        owners.setMembers(listed.map(entry));
        for (const index of received) owners.recordMessage(entry(index));
        const allowed = [0, ...listed].map(entry);
        for (const each of ENGINES) {
          expect(allowed).to.include(owners.ownerOf(each));
        }
      }
    }));
  });
});
