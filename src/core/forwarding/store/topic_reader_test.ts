import { expect } from "chai";
import { ok, type Result } from "neverthrow";
import { settled } from "../../../../test/support/forwarding_bench.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  type KeyedRecords,
  positionOf,
  type StoreFailure,
  TopicReader,
} from "../mod.ts";

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
    expect(reader.peerRead({ from: 8, to: 14 })).to.equal("ahead");
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reads.map(({ from }) => from)).to.deep.equal([14]);
  });

  it("takes no span of another epoch for its own", async () => {
    const next = positionOf({ epoch: 2, offset: 10 });
    await timer.advance(PAUSE_MILLISECONDS);
    await answer({ records: [], next });
    expect(reader.peerRead({ from: 8, to: 14 })).to.equal("older");
    expect(reader.peerRead({
      from: positionOf({ epoch: 3, offset: 8 }),
      to: positionOf({ epoch: 3, offset: 14 }),
    })).to.equal("apart");
  });

  it("waits its pause anew, so that one entry reads for all", async () => {
    await timer.advance(PAUSE_MILLISECONDS - 1);
    reader.peerRead({ from: 10, to: 14 });
    await timer.advance(PAUSE_MILLISECONDS - 1);
    expect(reads).to.deep.equal([]);
  });

  // Nothing registers or leaves for minutes. Two dozen entries that each look
  // for themselves make 27 calls a second for nothing.
  it("waits its pause anew where a peer has found nothing either", async () => {
    await timer.advance(PAUSE_MILLISECONDS - 1);
    expect(reader.peerRead({ from: 10, to: 10 })).to.equal("same");
    await timer.advance(PAUSE_MILLISECONDS - 1);
    expect(reads).to.deep.equal([]);
    await timer.advance(1);
    expect(reads.map(({ from }) => from)).to.deep.equal([10]);
  });

  it("lets a read go on that is under way when a peer finds nothing", async () => {
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reader.peerRead({ from: 10, to: 10 })).to.equal("same");
    await answer({ records: [record("new")], next: 11 });
    expect(taken).to.deep.equal(["new"]);
  });

  it("passes over spans with a gap before them, and older ones", () => {
    expect(reader.peerRead({ from: 11, to: 14 })).to.equal("apart");
    expect(reader.peerRead({ from: 7, to: 9 })).to.equal("older");
  });

  // A read is on its way while a peer tells of more than it will bring. Taken
  // afterwards, its records would bring back an endpoint that has left.
  it("passes over an answer that is older than the span", async () => {
    await timer.advance(PAUSE_MILLISECONDS);
    reader.peerRead({ from: 10, to: 14 });
    await answer({ records: [record("old")], next: 12 });
    expect(taken).to.deep.equal([]);
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reads.map(({ from }) => from)).to.deep.equal([14]);
  });

  it("reads no more once it is stopped, whatever peers tell", async () => {
    reader.stop();
    expect(reader.peerRead({ from: 10, to: 14 })).to.equal("apart");
    reader.readNow();
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reads).to.deep.equal([]);
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
