import { expect } from "chai";
import { ok, type Result } from "neverthrow";
import { settled } from "../../../test/support/forwarding_bench.ts";
import { ManualTimerService } from "../time/mod.ts";
import { type KeyedRecords, type StoreFailure, TopicReader } from "./mod.ts";

const PAUSE_MILLISECONDS = 500;

describe("TopicReader", () => {
  let timer: ManualTimerService;
  let reader: TopicReader;
  /** Reads that wait for their answer, each with where it goes on from. */
  let reads: {
    readonly from: number;
    readonly answer: (read: KeyedRecords) => void;
  }[];
  let taken: string[];

  beforeEach(async () => {
    timer = new ManualTimerService();
    reads = [];
    taken = [];
    const read = (from: number) =>
      new Promise<Result<KeyedRecords, StoreFailure>>((resolve) => {
        reads.push({ from, answer: (records) => resolve(ok(records)) });
      });
    reader = new TopicReader({
      topic: { newest: () => read(-1), since: (from) => read(from) },
      timer,
      random: () => 0.5,
      waitMilliseconds: () => 0,
      pauseMilliseconds: () => PAUSE_MILLISECONDS,
      onSnapshot() {},
      onRecords: (records) => taken.push(...records.map(({ key }) => key)),
      onFailure() {},
      onReached() {},
    });
    reader.start();
    await answer({ records: [], next: 10 });
  });

  afterEach(() => reader.stop());

  async function answer(read: KeyedRecords): Promise<void> {
    reads.shift()?.answer(read);
    await settled();
  }

  const record = (key: string) => ({ key, value: Buffer.from("{}") });

  it("goes on behind a span that a peer has read", async () => {
    expect(reader.moveOver({ from: 8, to: 14 })).to.equal(true);
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reads.map(({ from }) => from)).to.deep.equal([14]);
  });

  it("waits its pause anew, so that one entry reads for all", async () => {
    await timer.advance(PAUSE_MILLISECONDS - 1);
    reader.moveOver({ from: 10, to: 14 });
    await timer.advance(PAUSE_MILLISECONDS - 1);
    expect(reads).to.deep.equal([]);
  });

  it("passes over spans with a gap before them or nothing new in them", () => {
    expect(reader.moveOver({ from: 11, to: 14 })).to.equal(false);
    expect(reader.moveOver({ from: 8, to: 10 })).to.equal(false);
  });

  // A read is on its way while a peer tells of more than it will bring. Taken
  // afterwards, its records would bring back an endpoint that has left.
  it("passes over an answer that is older than the span", async () => {
    await timer.advance(PAUSE_MILLISECONDS);
    reader.moveOver({ from: 10, to: 14 });
    await answer({ records: [record("old")], next: 12 });
    expect(taken).to.deep.equal([]);
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reads.map(({ from }) => from)).to.deep.equal([14]);
  });

  // A connection falls silent under a read that waits. A second read is
  // begun, and the first one's answer, if it ever comes, counts for nothing.
  it("reads over a read that waits", async () => {
    await timer.advance(PAUSE_MILLISECONDS);
    reader.readNow();
    expect(reads).to.have.length(2);
    await answer({ records: [record("late")], next: 11 });
    await answer({ records: [record("now")], next: 12 });
    expect(taken).to.deep.equal(["now"]);
  });
});
