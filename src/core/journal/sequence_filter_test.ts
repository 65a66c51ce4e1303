import { expect } from "chai";
import { MAX_STORED_RUNS, SequenceFilter } from "./sequence_filter.ts";

function record(writer: string, sequence: number) {
  return { writer, incarnation: "run", sequence, body: undefined };
}

describe("SequenceFilter", () => {
  it("admits rising sequence numbers of each run once", () => {
    const filter = new SequenceFilter();
    expect(filter.admit(record("a", 0))).to.equal(true);
    expect(filter.admit(record("a", 0))).to.equal(false);
    expect(filter.admit(record("a", 4))).to.equal(true);
    expect(filter.admit(record("a", 3))).to.equal(false);
    expect(filter.admit(record("b", 0))).to.equal(true);
  });

  // Every operator's command is a run of its own, thousands in a week. Without
  // a limit, the filter would grow without bound in every process and
  // checkpoint.
  it("stores only the runs that wrote last", () => {
    const filter = new SequenceFilter();
    filter.admit(record("first", 0));
    filter.admit(record("second", 0));
    filter.admit(record("first", 1));
    for (let index = 0; index < MAX_STORED_RUNS - 1; index += 1) {
      filter.admit(record(`operator-${index}`, 0));
    }
    expect(filter.save()).to.have.length(MAX_STORED_RUNS);
    expect(filter.admit(record("first", 1))).to.equal(false);
    expect(filter.admit(record("second", 0))).to.equal(true);
  });

  // A reader that joined from a checkpoint must evict at the same position as
  // one that read everything, or the two admit different records.
  it("evicts the same runs after saving and loading", () => {
    const whole = new SequenceFilter();
    for (let index = 0; index < MAX_STORED_RUNS; index += 1) {
      whole.admit(record(`run-${index}`, 0));
    }
    const joined = new SequenceFilter();
    joined.load(JSON.parse(JSON.stringify(whole.save())));
    for (const filter of [whole, joined]) filter.admit(record("new", 0));
    expect(joined.save()).to.deep.equal(whole.save());
  });
});
