import { expect } from "chai";
import fc from "fast-check";
import { SideOnceTable } from "./mod.ts";

function permit(record: number, key = `key-${record}`) {
  return { key, record, sideIncarnation: "i1" };
}

describe("SideOnceTable", () => {
  const answer = { status: 200, body: "case 7" };

  it("runs a record once and repeats its answer", () => {
    // The dispatch arrives twice. Without the table, two case numbers are
    // issued for one report.
    const table = new SideOnceTable({ incarnation: "i1" });
    expect(table.begin(permit(1))).to.equal("run");
    expect(table.begin(permit(1))).to.equal("already");
    table.finish(permit(1), answer);
    expect(table.begin(permit(1))).to.equal("already");
    expect(table.ask({ ...permit(1), bar: true }))
      .to.deep.equal({ state: "answered", ...answer });
  });

  it("never runs what it has barred", () => {
    // The owner is paused between its record and the dispatch; a retry bars the
    // record and runs elsewhere. The delayed dispatch must not run.
    const table = new SideOnceTable({ incarnation: "i1" });
    expect(table.ask({ ...permit(1), bar: false }).state).to.equal("not_seen");
    expect(table.ask({ ...permit(1), bar: true }).state).to.equal("barred");
    expect(table.begin(permit(1))).to.equal("barred");
  });

  it("refuses records of an earlier incarnation", () => {
    // The side was restarted. It does not know whether its predecessor ran
    // the record, so it neither runs it nor reports that it has not run.
    const table = new SideOnceTable({ incarnation: "i2" });
    expect(table.begin(permit(1))).to.equal("wrong_incarnation");
    expect(table.refuse(permit(1))).to.equal(false);
    expect(table.ask({ ...permit(1), bar: true }).state)
      .to.equal("other_incarnation");
  });

  it("bars refused records so that a second copy does not run", () => {
    // The dispatch is duplicated in transit. The side refuses the first copy
    // as draining, the caller gets "not run", and the second copy arrives.
    const table = new SideOnceTable({ incarnation: "i1" });
    expect(table.refuse(permit(1))).to.equal(true);
    expect(table.begin(permit(1))).to.equal("barred");
    expect(table.begin(permit(2))).to.equal("run");
    expect(table.refuse(permit(2))).to.equal(false);
  });

  it("runs a key for one record only", () => {
    // An entry that violated the protocol takes a key over without a bar.
    const table = new SideOnceTable({ incarnation: "i1" });
    expect(table.begin(permit(1, "key"))).to.equal("run");
    expect(table.begin(permit(2, "key"))).to.equal("barred");
  });

  it("limits the memory of answers and still reports that their records ran", () => {
    const limits = { mostKeptAnswerBytes: 40, maxBytesPerAnswer: 30 };
    const table = new SideOnceTable({ incarnation: "i1", ...limits });
    for (const record of [1, 2, 3, 4]) {
      table.begin(permit(record));
      table.finish(permit(record), { status: 200, body: "twelve chars" });
    }
    table.begin(permit(5));
    table.finish(permit(5), { status: 200, body: "far too long for it" });
    expect(table.answerBytes).to.be.at.most(40);
    expect(table.ask({ ...permit(1), bar: true }))
      .to.deep.equal({ state: "answered" });
    expect(table.ask({ ...permit(5), bar: true }))
      .to.deep.equal({ state: "answered" });
  });

  it("never runs a record twice or bars one that ran, at any table size", () => {
    // Messages for old records arrive after the table has evicted them. Without
    // the highest evicted offset, such a record looks new and runs again.
    const step = fc.record({
      record: fc.integer({ min: 0, max: 30 }),
      action: fc.constantFrom("begin", "finish", "ask", "bar", "refuse"),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const limits = { maxRecords: 5, mostKeptAnswerBytes: 20 };
        const table = new SideOnceTable({ incarnation: "i1", ...limits });
        const ran = new Set<number>();
        const barred = new Set<number>();
        for (const { record, action } of steps) {
          if (action === "begin" && table.begin(permit(record)) === "run") {
            expect(ran.has(record) || barred.has(record)).to.equal(false);
            ran.add(record);
          }
          if (action === "finish") table.finish(permit(record), answer);
          if (action === "refuse" && table.refuse(permit(record))) {
            barred.add(record);
          }
          if (action === "ask" || action === "bar") {
            const bar = action === "bar";
            const { state } = table.ask({ ...permit(record), bar });
            if (state === "barred") barred.add(record);
            if (state === "not_seen") expect(ran.has(record)).to.equal(false);
          }
          expect([...barred].filter((one) => ran.has(one))).to.deep.equal([]);
        }
      }),
      { numRuns: 500, seed: 7 },
    );
  });
});
