import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import { flushPromises } from "../../../../test/support/forwarding_harness.ts";
import { ManualTimerService } from "../../time/mod.ts";
import {
  encodePosition,
  type KeyedRecords,
  type StoreFailure,
  TopicReader,
} from "../mod.ts";

const PAUSE_MILLISECONDS = 500;

describe("TopicReader", () => {
  let timer: ManualTimerService;
  let reader: TopicReader;
  /** Pending reads, each with its start position. */
  let reads: {
    readonly from: number;
    readonly answer: (read: KeyedRecords) => void;
    readonly fail: (name?: StoreFailure["name"]) => void;
  }[];
  let abortedReads: number;
  let receivedKeys: string[];
  let thrown: unknown[];

  beforeEach(async () => {
    thrown = [];
    timer = new ManualTimerService(undefined, {
      onThrow: (cause) => void thrown.push(cause),
    });
    reads = [];
    receivedKeys = [];
    abortedReads = 0;
    const read = (from: number, signal?: AbortSignal) =>
      new Promise<Result<KeyedRecords, StoreFailure>>((resolve) => {
        signal?.addEventListener("abort", () => abortedReads += 1);
        reads.push({
          from,
          answer: (records) => resolve(ok(records)),
          fail: (name = "store_unavailable") =>
            resolve(err({ name, title: "", message: "", hint: "" })),
        });
      });
    reader = new TopicReader({
      topic: {
        newest: () => read(-1),
        since: (from, { signal }) => read(from, signal),
      },
      timer,
      random: () => 0.5,
      waitMilliseconds: () => 0,
      pauseMilliseconds: () => PAUSE_MILLISECONDS,
      onSnapshot() {},
      onRecords: (records) => {
        if (records.some(({ key }) => key === "throws")) throw "applying";
        receivedKeys.push(...records.map(({ key }) => key));
      },
      onFailure() {},
      onReadSucceeded() {},
    });
    reader.start();
    await answer({ records: [], next: 10 });
  });

  afterEach(() => reader.stop());

  async function answer(read: KeyedRecords): Promise<void> {
    reads.shift()?.answer(read);
    await flushPromises();
  }

  const record = (key: string) => ({ key, value: Buffer.from("{}") });

  it("continues after a span that a peer has read", async () => {
    expect(reader.applyPeerRead({ from: 8, to: 14 })).to.equal("ahead");
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reads.map(({ from }) => from)).to.deep.equal([14]);
  });

  it("does not apply a span of another epoch", async () => {
    const next = encodePosition({ epoch: 2, offset: 10 });
    await timer.advance(PAUSE_MILLISECONDS);
    await answer({ records: [], next });
    expect(reader.applyPeerRead({ from: 8, to: 14 })).to.equal("older");
    expect(reader.applyPeerRead({
      from: encodePosition({ epoch: 3, offset: 8 }),
      to: encodePosition({ epoch: 3, offset: 14 }),
    })).to.equal("apart");
  });

  it("restarts its pause, so that one entry reads for all", async () => {
    await timer.advance(PAUSE_MILLISECONDS - 1);
    reader.applyPeerRead({ from: 10, to: 14 });
    await timer.advance(PAUSE_MILLISECONDS - 1);
    expect(reads).to.deep.equal([]);
  });

  // No endpoint registers or leaves for minutes. 24 entries that each poll the
  // store make 27 calls per second without a result.
  it("restarts its pause after an empty read of a peer", async () => {
    await timer.advance(PAUSE_MILLISECONDS - 1);
    expect(reader.applyPeerRead({ from: 10, to: 10 })).to.equal("same");
    await timer.advance(PAUSE_MILLISECONDS - 1);
    expect(reads).to.deep.equal([]);
    await timer.advance(1);
    expect(reads.map(({ from }) => from)).to.deep.equal([10]);
  });

  it("keeps a pending read when a peer reads nothing", async () => {
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reader.applyPeerRead({ from: 10, to: 10 })).to.equal("same");
    await answer({ records: [record("new")], next: 11 });
    expect(receivedKeys).to.deep.equal(["new"]);
  });

  it("ignores spans after a gap, and older ones", () => {
    expect(reader.applyPeerRead({ from: 11, to: 14 })).to.equal("apart");
    expect(reader.applyPeerRead({ from: 7, to: 9 })).to.equal("older");
  });

  // A peer reports a span that extends beyond the result of a pending read. If
  // that result were applied later, its records would restore an endpoint that
  // has left.
  it("ignores a result that is older than the span", async () => {
    await timer.advance(PAUSE_MILLISECONDS);
    reader.applyPeerRead({ from: 10, to: 14 });
    await answer({ records: [record("old")], next: 12 });
    expect(receivedKeys).to.deep.equal([]);
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reads.map(({ from }) => from)).to.deep.equal([14]);
  });

  // A reader that stops for ever leaves its entry with endpoints that are gone.
  it("reads a snapshot if records can't be applied", async () => {
    await timer.advance(PAUSE_MILLISECONDS);
    await answer({ records: [record("throws")], next: 11 });
    expect(thrown).to.deep.equal(["applying"]);
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reads.map(({ from }) => from)).to.deep.equal([-1]);
  });

  it("does not read after stop, whatever peers report", async () => {
    reader.stop();
    expect(reader.applyPeerRead({ from: 10, to: 14 })).to.equal("apart");
    reader.readNow();
    await timer.advance(PAUSE_MILLISECONDS);
    expect(reads).to.deep.equal([]);
  });

  describe("with a check during a waiting read", () => {
    beforeEach(() => timer.advance(PAUSE_MILLISECONDS));

    // A waiting read hangs on a dead connection. Without the check its records
    // arrive only once it has timed out.
    it("applies the records that the waiting read does not return", async () => {
      const checked = reader.check();
      const [waitingRead, check] = reads.splice(0);
      check.answer({ records: [record("new")], next: 11 });
      expect(await checked).to.equal(true);
      waitingRead.answer({ records: [record("late")], next: 11 });
      await timer.advance(PAUSE_MILLISECONDS);
      expect(receivedKeys).to.deep.equal(["new"]);
      expect(reads.map(({ from }) => from)).to.deep.equal([11]);
    });

    it("keeps the waiting read if there is nothing new", async () => {
      const checked = reader.check();
      const [waitingRead, check] = reads.splice(0);
      check.answer({ records: [], next: 10 });
      expect(await checked).to.equal(true);
      waitingRead.answer({ records: [record("new")], next: 11 });
      await flushPromises();
      expect(receivedKeys).to.deep.equal(["new"]);
    });

    // An answer that ended early counted, so that the entry told its peers that
    // a state was current whose records it had not read.
    it("does not count a check that has not reached the end", async () => {
      const checked = reader.check();
      reads.pop()?.answer({
        records: [record("new")],
        next: 11,
        hasMore: true,
      });
      expect(await checked).to.equal(false);
      expect(receivedKeys).to.deep.equal(["new"]);
    });

    it("ignores a check that the waiting read has overtaken", async () => {
      const checked = reader.check();
      const [waitingRead, check] = reads.splice(0);
      waitingRead.answer({ records: [record("new")], next: 11 });
      await flushPromises();
      check.answer({ records: [record("new")], next: 11 });
      expect(await checked).to.equal(true);
      expect(receivedKeys).to.deep.equal(["new"]);
    });

    // The waiting read finds that records are gone. If the check counted, peers
    // would take a state for current whose records are not read yet.
    it("does not count a check while the newest records are read", async () => {
      const checked = reader.check();
      const [waitingRead, check] = reads.splice(0);
      waitingRead.fail("store_expired");
      await flushPromises();
      check.answer({ records: [record("new")], next: 11 });
      expect(await checked).to.equal(false);
      expect(receivedKeys).to.deep.equal([]);
    });

    // The path of the waiting read may have died with the one of the check.
    it("replaces the waiting read after a failed check", async () => {
      const failed = reader.check();
      reads.pop()?.fail();
      expect(await failed).to.equal(false);
      const checked = reader.check();
      reads.pop()?.answer({ records: [], next: 10 });
      expect(await checked).to.equal(true);
      expect(abortedReads).to.equal(1);
      await timer.advance(PAUSE_MILLISECONDS);
      expect(reads.map(({ from }) => from)).to.deep.equal([10, 10]);
    });

    it("reads the newest records if the position has expired", async () => {
      const checked = reader.check();
      reads.pop()?.fail("store_expired");
      expect(await checked).to.equal(false);
      expect(reads.at(-1)?.from).to.equal(-1);
    });
  });

  // A connection dies during a waiting read. A second read is started, and the
  // result of the first one, if it ever arrives, is ignored.
  it("replaces a waiting read", async () => {
    await timer.advance(PAUSE_MILLISECONDS);
    reader.readNow();
    expect(reads).to.have.length(2);
    await answer({ records: [record("late")], next: 11 });
    await answer({ records: [record("now")], next: 12 });
    expect(receivedKeys).to.deep.equal(["now"]);
  });
});
