import { expect } from "chai";
import { err, ok, type Result } from "neverthrow";
import type { OnceRecord } from "../../generated/log_records.ts";
import type { OnceAnswer, OnceQuestion } from "../../generated/messages.ts";
import { failure } from "../errors/mod.ts";
import { defineError } from "../errors/mod.ts";
import { identifier, type LogOffset, numbered } from "../identity/mod.ts";
import type { JournalFailure } from "../journal/mod.ts";
import type { LinkFailure } from "../links/mod.ts";
import { ManualTimerService } from "../time/mod.ts";
import {
  type AcquireKeyOptions,
  type AcquireResult,
  OnceCoordinator,
  OnceFold,
  SideOnceTable,
  timeOfKey,
} from "./mod.ts";

const KEY = "019b76da-a800-7000-8000-000000000001";
const LOST = defineError<Record<never, never>>()({
  name: "link_lost",
  title: "Link lost",
  message: () => "The link was lost",
  hint: "Retry",
});

function journalFailure(name: JournalFailure["name"]): JournalFailure {
  return { name, title: name, message: name, hint: name };
}

/** One entry and one side, with a log whose appends a test can fail. */
class Harness {
  readonly timer = new ManualTimerService(timeOfKey(KEY));
  readonly fold = new OnceFold();
  readonly side = new SideOnceTable({ incarnation: "i1" });
  readonly records: OnceRecord[] = [];
  append: (body: OnceRecord) => Promise<Result<LogOffset, JournalFailure>> = (
    body,
  ) => Promise.resolve(ok(this.appendRecord(body)));
  ask: (question: OnceQuestion) => Result<OnceAnswer, LinkFailure> = (
    question,
  ) => ok(this.side.ask(question));
  readonly coordinator = new OnceCoordinator({
    fold: this.fold,
    append: (body) => this.append(body),
    ask: (_endpoint, question) => Promise.resolve(this.ask(question)),
    timer: this.timer,
  });

  appendRecord(body: OnceRecord): LogOffset {
    const offset = numbered<LogOffset>(this.records.push(body) - 1);
    this.fold.apply(offset, body);
    return offset;
  }

  acquire(options: Partial<AcquireKeyOptions> = {}): Promise<AcquireResult> {
    return this.coordinator.acquire({
      key: KEY,
      workspace: "crew",
      fingerprint: "f",
      choose: () =>
        Promise.resolve(ok({
          endpoint: identifier("portal-1"),
          sideIncarnation: identifier("i1"),
        })),
      deadline: this.timer.now() + 5_000,
      ...options,
    });
  }

  async acquireAndAdvance(
    options: Partial<AcquireKeyOptions> = {},
  ): Promise<AcquireResult> {
    const result = this.acquire(options);
    await this.timer.advance(6_000);
    return await result;
  }
}

function permitOf(result: AcquireResult) {
  if (result.kind !== "run") throw new Error(`Not a run: ${result.kind}`);
  return result.permit;
}

describe("OnceCoordinator", () => {
  describe("first request", () => {
    it("runs once its record is the key's first on the log", async () => {
      const result = await new Harness().acquireAndAdvance();
      expect(permitOf(result).record).to.equal(0);
    });

    it("is refused at once while the log is down", async () => {
      const harness = new Harness();
      harness.append = () =>
        Promise.resolve(err(journalFailure("append_not_made")));
      const result = await harness.acquire();
      expect(result).to.have.nested.property("refusal.reason", "log_down");
      expect(harness.timer.now()).to.equal(0);
    });

    it("requires a key that contains its time", async () => {
      const harness = new Harness();
      expect(await harness.acquire({ key: undefined }))
        .to.have.nested.property("refusal.reason", "key_needed");
      expect(await harness.acquire({ key: "booking-7" }))
        .to.have.nested.property("refusal.reason", "invalid");
    });

    it("does not send after an append with unknown outcome, and a retry can still run", async () => {
      // The log appends the record, but the answer is lost. The entry answers
      // "not run"; the caller's retry must make exactly one booking.
      const harness = new Harness();
      harness.append = (body) => {
        harness.appendRecord(body);
        return Promise.resolve(err(journalFailure("append_unknown")));
      };
      harness.ask = () => err(failure(LOST, {}));
      const first = await harness.acquireAndAdvance();
      expect(first.kind).to.equal("unknown");
      harness.ask = (question) => ok(harness.side.ask(question));
      harness.append = (body) =>
        Promise.resolve(ok(harness.appendRecord(body)));
      const second = await harness.acquireAndAdvance();
      expect(permitOf(second).record).to.equal(1);
      expect(harness.side.begin(permitOf(second))).to.equal("run");
    });
  });

  describe("a retry through another entry", () => {
    it("gets the first answer", async () => {
      // The caller lost the answer and retries. It must get the same permit
      // number, and the permit must be booked once.
      const harness = new Harness();
      const permit = permitOf(await harness.acquireAndAdvance());
      harness.side.begin(permit);
      harness.side.finish(permit, { status: 200, body: "permit 3" });
      expect(await harness.acquireAndAdvance()).to.have.nested.property(
        "answer.body",
        "permit 3",
      );
      expect(harness.records).to.have.length(1);
    });

    it("gets the first answer while the log is down", async () => {
      const harness = new Harness();
      const permit = permitOf(await harness.acquireAndAdvance());
      harness.side.begin(permit);
      harness.side.finish(permit, { status: 200, body: "permit 3" });
      harness.append = () =>
        Promise.resolve(err(journalFailure("append_not_made")));
      expect((await harness.acquireAndAdvance()).kind).to.equal("answered");
    });

    it("bars an owner that does not send before taking over", async () => {
      // The first entry is paused between its record and the dispatch. After it
      // resumes, the side must reject its dispatch as barred.
      const harness = new Harness();
      const first = permitOf(await harness.acquireAndAdvance());
      const second = permitOf(await harness.acquireAndAdvance());
      expect(harness.side.begin(first)).to.equal("barred");
      expect(harness.side.begin(second)).to.equal("run");
    });

    // The VM of the side that ran the call is gone. The caller must learn
    // this while most of its time is left.
    it("returns unknown within seconds when the side is unreachable", async () => {
      const harness = new Harness();
      await harness.acquireAndAdvance();
      harness.ask = () => err(failure(LOST, {}));
      let result: AcquireResult | undefined;
      void harness.acquire({ deadline: harness.timer.now() + 60_000 })
        .then((value) => result = value);
      await harness.timer.advance(3_000);
      expect(result).to.equal(undefined);
      await harness.timer.advance(2_000);
      expect(result?.kind).to.equal("unknown");
    });

    it("returns unknown when the side has restarted", async () => {
      // The side failed during the call. Whether it ran is unknown, so a
      // second run could issue a duplicate case number.
      const harness = new Harness();
      permitOf(await harness.acquireAndAdvance());
      harness.ask = () => ok({ state: "other_incarnation" });
      expect((await harness.acquireAndAdvance()).kind).to.equal("unknown");
    });

    it("is refused when the body differs", async () => {
      const harness = new Harness();
      await harness.acquireAndAdvance();
      expect(await harness.acquireAndAdvance({ fingerprint: "g" }))
        .to.have.nested.property("refusal.reason", "key_conflict");
    });
  });

  describe("a lost dispatch", () => {
    it("runs again only after the bar", async () => {
      // The connection failed while the work was sent. It may still arrive.
      const harness = new Harness();
      const lost = permitOf(await harness.acquireAndAdvance());
      const again = permitOf(await harness.acquireAndAdvance({ lost }));
      expect(again.record).to.equal(1);
      expect(harness.side.begin(lost)).to.equal("barred");
    });

    it("returns unknown, never not run, when the side is unreachable", async () => {
      const harness = new Harness();
      const lost = permitOf(await harness.acquireAndAdvance());
      harness.ask = () => err(failure(LOST, {}));
      expect((await harness.acquireAndAdvance({ lost })).kind).to.equal(
        "unknown",
      );
    });

    it("can return not run once the side has barred it", async () => {
      const harness = new Harness();
      const lost = permitOf(await harness.acquireAndAdvance());
      harness.append = () =>
        Promise.resolve(err(journalFailure("append_not_made")));
      expect(await harness.acquireAndAdvance({ lost }))
        .to.have.nested.property("refusal.reason", "log_down");
      expect(harness.side.begin(lost)).to.equal("barred");
    });
  });
});
