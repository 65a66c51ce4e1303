import { expect } from "chai";
import {
  makeJournal,
  ORDERS,
  type TestProcessOptions,
} from "../../../test/support/coordination.ts";
import { FakeLog } from "../../../test/support/fake_log.ts";
import { ClaimHoldersFold } from "../../../test/support/claim_holders_fold.ts";
import type { RecordBody } from "../../generated/log_records.ts";
import type { LogOffset } from "../identity/mod.ts";
import { ManualTimerService } from "../time/mod.ts";
import { defineError, failure } from "../errors/mod.ts";
import type { JournalFailure, LogService } from "./mod.ts";
import { err, type Result } from "neverthrow";

function body(holder: string): RecordBody {
  return { kind: "claim", holder, replaces: -1 };
}

function record(holder: string, sequence: number): unknown {
  return { writer: "w", incarnation: "i", sequence, body: body(holder) };
}

const EXPIRED = defineError<Record<never, never>>()({
  name: "log_expired",
  title: "Records expired",
  message: () => "The requested records have expired",
  hint: "Start from a checkpoint.",
});

/**
 * A log service that fails a read of expired records instead of returning a
 * page.
 */
function failingExpiredReads(log: LogService): LogService {
  return {
    append: (stream, records) => log.append(stream, records),
    read: async (stream, options) => {
      const answer = await log.read(stream, options);
      const isExpired = answer.isOk() && answer.value.oldest > options.from;
      return isExpired ? err(failure(EXPIRED, {})) : answer;
    },
  };
}

describe("Journal", () => {
  let timer: ManualTimerService;
  let log: FakeLog;

  beforeEach(() => {
    timer = new ManualTimerService();
    log = new FakeLog({ timer });
  });

  function start(
    name: string,
    journal: TestProcessOptions["journal"] = {},
  ) {
    const options = { log, timer, name, stream: ORDERS, journal };
    const parts = makeJournal(new ClaimHoldersFold(), options);
    parts.journal.start();
    return parts;
  }

  function trackOutcome(promise: Promise<Result<LogOffset, JournalFailure>>) {
    const seen: { outcome?: string } = {};
    void promise.then((result) => {
      seen.outcome = result.isOk() ? `at ${result.value}` : result.error.name;
    });
    return seen;
  }

  describe("appending", () => {
    it("batches concurrent records into one append", async () => {
      const one = start("one");
      await timer.advance(50);
      const outcomes = ["a", "b", "c"].map((name) =>
        trackOutcome(one.journal.append(body(name)))
      );
      await timer.advance(100);
      expect(outcomes.map((seen) => seen.outcome)).to.deep.equal([
        "at 0",
        "at 1",
        "at 2",
      ]);
      expect(one.journal.counts.appendCalls).to.equal(1);
    });

    // The log appends a record, but the answer is lost. Without reading it
    // back, the writer would append a second one, and a publication would take
    // effect twice.
    it("finds its record after a lost answer", async () => {
      const one = start("one");
      await timer.advance(50);
      one.faults.lostAnswers = 1;
      const seen = trackOutcome(one.journal.append(body("a")));
      await timer.advance(2_000);
      expect(seen.outcome).to.equal("at 0");
      expect(log.head(ORDERS)).to.equal(1);
    });

    // An append is sent again because the first request seems lost; then the
    // delayed first one completes as well. Without dropping it, the record
    // counts twice.
    it("counts a duplicated record once", async () => {
      const one = start("one");
      const two = start("two");
      await timer.advance(50);
      one.faults.lateAppends = 1;
      one.faults.lateMilliseconds = 3_000;
      const seen = trackOutcome(one.journal.append(body("a")));
      await timer.advance(10_000);
      expect(seen.outcome).to.equal("at 0");
      expect(log.head(ORDERS)).to.equal(2);
      expect(two.fold.taken).to.deep.equal(["a"]);
      expect(two.journal.counts.repeated).to.equal(1);
    });

    // A writer gives an append up and continues; the append completes after a
    // later one of the same writer. If the record counted, readers would follow
    // an order that its planner has already replaced.
    it("voids an abandoned record that is appended after a later one", async () => {
      const one = start("one", { giveUpMilliseconds: 100 });
      await timer.advance(50);
      one.faults.lateAppends = 1;
      one.faults.lateMilliseconds = 5_000;
      const first = trackOutcome(one.journal.append(body("old")));
      await timer.advance(1_000);
      const second = trackOutcome(one.journal.append(body("new")));
      await timer.advance(10_000);
      expect(first.outcome).to.equal("append_unknown");
      expect(second.outcome).to.equal("at 0");
      expect(one.fold.taken).to.deep.equal(["new"]);
    });

    // The log is down when a record is appended. If the result were "unknown",
    // the caller could not be told that its request has not run.
    it("reports that nothing was appended while the log is down", async () => {
      const one = start("one", { giveUpMilliseconds: 500 });
      await timer.advance(50);
      one.faults.down = true;
      const first = trackOutcome(one.journal.append(body("a")));
      await timer.advance(1_000);
      expect(first.outcome).to.equal("append_not_made");
      await timer.advance(15_000);
      expect(one.journal.reachable).to.equal(false);
      const second = trackOutcome(one.journal.append(body("b")));
      await timer.advance(0);
      expect(second.outcome).to.equal("append_not_made");
    });

    // The first attempt gets no answer, and then the log goes down. The record
    // of the first attempt is still in transit and is appended after the caller
    // has gone.
    it("reports an unknown outcome when the log goes down after a lost answer", async () => {
      const one = start("one", { giveUpMilliseconds: 2_000 });
      await timer.advance(50);
      one.faults.lateAppends = 1;
      one.faults.lateMilliseconds = 5_000;
      const seen = trackOutcome(one.journal.append(body("a")));
      await timer.advance(100);
      one.faults.down = true;
      await timer.advance(4_000);
      expect(seen.outcome).to.equal("append_unknown");
      one.faults.down = false;
      await timer.advance(10_000);
      expect(one.fold.taken).to.deep.equal(["a"]);
    });

    it("settles pending appends when it stops", async () => {
      const one = start("one");
      await timer.advance(50);
      const queued = trackOutcome(one.journal.append(body("a")));
      one.journal.stop();
      await timer.advance(100);
      expect(queued.outcome).to.equal("append_not_made");
    });
  });

  describe("reading", () => {
    // Another replica of the log answers with an older head. A reader that
    // trusted it would return to a configuration that has been replaced.
    it("keeps its position when a replica answers with an older head", async () => {
      const one = start("one");
      log.appendDirectly(ORDERS, [
        record("a", 0),
        record("b", 1),
        record("c", 2),
      ]);
      await timer.advance(1_000);
      one.faults.lagRecords = 2;
      await timer.advance(30_000);
      expect(one.journal.position).to.equal(2);
      expect(one.fold.taken).to.deep.equal(["a", "b", "c"]);
    });

    // A replica that is behind answers at once instead of holding the read
    // open. Without a pause, the reader would query it in a tight loop.
    it("pauses between reads of a replica that is behind", async () => {
      const one = start("one");
      log.appendDirectly(ORDERS, [record("a", 0), record("b", 1)]);
      await timer.advance(100);
      one.faults.lagRecords = 2;
      const before = log.readCalls;
      await timer.advance(10_000);
      expect(log.readCalls - before).to.be.below(120);
    });

    // A record that no software version knows is on the log. The reader must
    // continue after it.
    it("skips records that do not match the schema", async () => {
      const one = start("one");
      log.appendDirectly(ORDERS, ["garbage", record("a", 0), {
        ...record("b", 1) as object,
        body: { kind: "something newer" },
      }, record("c", 2)]);
      await timer.advance(1_000);
      expect(one.fold.taken).to.deep.equal(["a", "c"]);
      expect(one.journal.counts.unreadable).to.equal(2);
    });

    // A newer version writes a kind of record that this one does not know, and
    // an older record of the same writer is appended late. If only newer
    // readers stored the sequence number, the states of the versions would
    // diverge.
    it("stores the sequence number of records with an unknown body", async () => {
      const one = start("one");
      const newer = { ...record("b", 5) as object, body: { kind: "newer" } };
      log.appendDirectly(ORDERS, [newer, record("late", 4)]);
      await timer.advance(1_000);
      expect(one.fold.taken).to.deep.equal([]);
    });

    it("reports when the log becomes unreachable and reachable", async () => {
      const states: boolean[] = [];
      const one = start("one", { onState: (state) => states.push(state) });
      await timer.advance(100);
      one.faults.down = true;
      log.appendDirectly(ORDERS, [record("a", 0)]);
      await timer.advance(5_000);
      one.faults.down = false;
      log.appendDirectly(ORDERS, [record("b", 1)]);
      await timer.advance(5_000);
      expect(states).to.deep.equal([false, true]);
      expect(one.fold.taken).to.deep.equal(["a", "b"]);
    });

    // A read hangs without an answer or an error. A reader without a timeout
    // would miss every later change.
    it("retries a read that never returns", async () => {
      const one = start("one");
      await timer.advance(100);
      one.faults.silent = true;
      await timer.advance(15_000);
      log.appendDirectly(ORDERS, [record("a", 0)]);
      one.faults.silent = false;
      await timer.advance(20_000);
      expect(one.fold.taken).to.deep.equal(["a"]);
    });
  });

  describe("expired records", () => {
    // A process was paused for so long that the records it needs next have
    // expired. If it continued at the oldest one, it would silently miss claims
    // and orders, and its state would diverge permanently from all others'.
    it("continues from a checkpoint after a gap", async () => {
      const writer = start("writer", { checkpointRecords: 5 });
      const late = start("late", { writesCheckpoints: false });
      await timer.advance(100);
      late.faults.down = true;
      for (let index = 0; index < 12; index += 1) {
        void writer.journal.append(body(`r${index}`));
        await timer.advance(2_000);
      }
      await timer.advance(30_000);
      expect(writer.journal.counts.checkpointsWritten).to.be.above(0);
      log.expire(ORDERS, 8);
      late.faults.down = false;
      await timer.advance(5_000);
      expect(late.journal.counts.gaps).to.equal(1);
      expect(late.fold.taken).to.deep.equal(writer.fold.taken);
      expect(late.journal.position).to.equal(writer.journal.position);
    });

    it("does not skip records silently when there is no checkpoint", async () => {
      const one = start("one", { writesCheckpoints: false });
      log.appendDirectly(ORDERS, ["a", "b", "c", "d"].map(record));
      log.expire(ORDERS, 2);
      await timer.advance(20_000);
      expect(one.fold.taken).to.deep.equal([]);
      expect(one.journal.missingRecords).to.equal(true);
      expect(one.journal.caughtUp).to.equal(false);
    });

    // A checkpoint ends before the oldest record that is left. A record between
    // the two is missing, so a reader that used the checkpoint would lose a
    // claim.
    it("skips a checkpoint that leaves a gap", async () => {
      const one = start("one", { writesCheckpoints: false });
      log.appendDirectly(ORDERS, ["a", "b", "c", "d"].map(record));
      const state = { fold: { taken: ["a"] }, writers: [] };
      log.appendDirectly(ORDERS, [{
        writer: "x",
        incarnation: "x",
        sequence: 0,
        body: { kind: "checkpoint", upTo: 0, state },
      }]);
      log.expire(ORDERS, 2);
      await timer.advance(20_000);
      expect(one.journal.missingRecords).to.equal(true);
      expect(one.fold.taken).to.deep.equal([]);
    });

    // A process starts when the records it needs have expired and the stream
    // has no checkpoint yet; its peers still have the state.
    it("restores a peer's state after a gap", async () => {
      const peer = start("peer", { writesCheckpoints: false });
      log.appendDirectly(ORDERS, ["a", "b", "c", "d"].map(record));
      await timer.advance(100);
      log.expire(ORDERS, 3);
      const late = start("late", {
        peers: () => Promise.resolve(peer.journal.snapshot()),
      });
      await timer.advance(1_000);
      expect(late.fold.taken).to.deep.equal(["a", "b", "c", "d"]);
      expect(late.journal.caughtUp).to.equal(true);
    });

    // Another log service fails a read of expired records instead of returning
    // its oldest offset. Without handling this, the reader would fail on every
    // retry.
    it("finds the oldest record when a read of expired records fails", async () => {
      const peer = start("peer", { writesCheckpoints: false });
      log.appendDirectly(ORDERS, ["a", "b", "c", "d"].map(record));
      await timer.advance(100);
      log.expire(ORDERS, 3);
      let queries = 0;
      const late = start("late", {
        log: failingExpiredReads(log),
        peers: () =>
          Promise.resolve(
            queries++ === 0 ? undefined : peer.journal.snapshot(),
          ),
        writesCheckpoints: false,
      });
      await timer.advance(30_000);
      expect(late.journal.counts.gaps).to.equal(1);
      expect(late.fold.taken).to.deep.equal(["a", "b", "c", "d"]);
    });

    // All 40 entries of a region find a checkpoint due at the same time.
    // Without random delays, the log gets 40 copies of the whole state.
    it("writes one checkpoint for many processes, rarely two", async () => {
      const all = Array.from(
        { length: 40 },
        (_, index) => start(`entry-${index}`, { checkpointRecords: 10 }),
      );
      await timer.advance(100);
      log.appendDirectly(
        ORDERS,
        Array.from({ length: 10 }, (_, i) => record(`r${i}`, i)),
      );
      await timer.advance(20_000);
      const written = all.reduce(
        (sum, one) => sum + one.journal.counts.checkpointsWritten,
        0,
      );
      expect(written).to.be.within(1, 3);
    });

    // Almost nothing is published for days, and the log's retention is limited.
    // Without checkpoints by time, the last claim expires.
    it("writes checkpoints by time when records are few", async () => {
      const one = start("one", { checkpointMilliseconds: 60_000 });
      log.appendDirectly(ORDERS, [record("a", 0)]);
      await timer.advance(200_000);
      expect(one.journal.counts.checkpointsWritten).to.be.within(2, 3);
    });
  });

  describe("starting", () => {
    // The log is down while a VM is replaced. Its new process would have no
    // configuration and could serve no caller.
    it("restores a peer's state while the log is down", async () => {
      const peer = start("peer");
      log.appendDirectly(ORDERS, ["a", "b"].map(record));
      await timer.advance(100);
      const options = {
        log,
        timer,
        name: "fresh",
        stream: ORDERS,
        journal: { peers: () => Promise.resolve(peer.journal.snapshot()) },
      };
      const fresh = makeJournal(new ClaimHoldersFold(), options);
      fresh.faults.down = true;
      fresh.journal.start();
      await timer.advance(3_000);
      expect(fresh.fold.taken).to.deep.equal(["a", "b"]);
      expect(fresh.journal.caughtUp).to.equal(false);
      fresh.faults.down = false;
      log.appendDirectly(ORDERS, [record("c", 2)]);
      await timer.advance(5_000);
      expect(fresh.fold.taken).to.deep.equal(["a", "b", "c"]);
    });

    // The log is down for half an hour. All entries have the same state, and
    // without backoff each would fetch it from its peers repeatedly.
    it("queries its peers rarely while it has a state", async () => {
      let queries = 0;
      const one = start("one", {
        peers: () => {
          queries += 1;
          return Promise.resolve(undefined);
        },
      });
      log.appendDirectly(ORDERS, [record("a", 0)]);
      await timer.advance(1_000);
      one.faults.down = true;
      queries = 0;
      await timer.advance(1_800_000);
      expect(queries).to.be.within(2, 8);
    });

    // Only this process is cut off from the log. Its peers continue to read;
    // without their state it would follow an old configuration until the link
    // recovers.
    it("gets changes from peers while it alone is cut off", async () => {
      const peer = start("peer");
      const one = start("one", {
        peers: () => Promise.resolve(peer.journal.snapshot()),
      });
      await timer.advance(1_000);
      log.appendDirectly(ORDERS, [record("a", 0)]);
      await timer.advance(1_000);
      one.faults.down = true;
      await timer.advance(10_000);
      log.appendDirectly(ORDERS, [record("b", 1)]);
      await timer.advance(60_000);
      expect(one.fold.taken).to.deep.equal(["a", "b"]);
    });

    // The replica that this process reads is stuck. The process would follow an
    // old configuration meanwhile, and mistake missing heartbeats of others for
    // failures.
    it("detects by its peers that its replica is stuck", async () => {
      const peer = start("peer");
      const one = start("one", {
        peers: () => Promise.resolve(peer.journal.snapshot()),
      });
      await timer.advance(1_000);
      one.faults.lagRecords = 100;
      log.appendDirectly(ORDERS, [record("a", 0)]);
      await timer.advance(10_000);
      expect(one.journal.caughtUp).to.equal(true);
      one.journal.noteHead(peer.journal.position + 1);
      expect(one.journal.caughtUp).to.equal(false);
      await timer.advance(30_000);
      expect(one.fold.taken).to.deep.equal(["a"]);
    });

    // The same, detected by the answer to an append of its own.
    it("detects by its own append that its replica is stuck", async () => {
      const one = start("one");
      await timer.advance(1_000);
      one.faults.lagRecords = 100;
      trackOutcome(one.journal.append(body("a")));
      await timer.advance(1_000);
      expect(one.journal.caughtUp).to.equal(false);
    });

    // A peer that is far behind answers a process that has read more records
    // itself.
    it("ignores a peer's older state", async () => {
      const one = start("one", {
        peers: () =>
          Promise.resolve({ upTo: 0, state: { fold: { taken: ["a"] } } }),
      });
      log.appendDirectly(ORDERS, ["a", "b", "c"].map(record));
      await timer.advance(1_000);
      one.faults.down = true;
      await timer.advance(30_000);
      expect(one.journal.position).to.equal(2);
      expect(one.fold.taken).to.deep.equal(["a", "b", "c"]);
    });

    // A restarted process reads from a replica that is behind. Without querying
    // its peers it would follow an older configuration than before.
    it("starts from the highest state of log and peers", async () => {
      const peer = start("peer");
      log.appendDirectly(ORDERS, ["a", "b", "c"].map(record));
      await timer.advance(100);
      const options = {
        log,
        timer,
        name: "fresh",
        stream: ORDERS,
        journal: { peers: () => Promise.resolve(peer.journal.snapshot()) },
      };
      const fresh = makeJournal(new ClaimHoldersFold(), options);
      fresh.faults.lagRecords = 2;
      fresh.journal.start();
      await timer.advance(1_000);
      expect(fresh.journal.position).to.equal(2);
    });
  });
});
