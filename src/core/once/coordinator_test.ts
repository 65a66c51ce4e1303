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
  type AcquireOptions,
  type AcquireResult,
  OnceCoordinator,
  OnceFold,
  SideOnceTable,
  timeOfKey,
} from "./mod.ts";

const KEY = "019b76da-a800-7000-8000-000000000001";
const LOST = defineError<Record<never, never>>()({
  name: "link_lost",
  title: "Lost",
  message: () => "Lost",
  hint: "Ask again",
});

function journalFailure(name: JournalFailure["name"]): JournalFailure {
  return { name, title: name, message: name, hint: name };
}

/** One entry before one side, with a log that a test can break. */
class Bench {
  readonly timer = new ManualTimerService(timeOfKey(KEY));
  readonly fold = new OnceFold();
  readonly side = new SideOnceTable({ incarnation: "i1" });
  readonly records: OnceRecord[] = [];
  append: (body: OnceRecord) => Promise<Result<LogOffset, JournalFailure>> = (
    body,
  ) => Promise.resolve(ok(this.land(body)));
  ask: (question: OnceQuestion) => Result<OnceAnswer, LinkFailure> = (
    question,
  ) => ok(this.side.ask(question));
  readonly coordinator = new OnceCoordinator({
    fold: this.fold,
    append: (body) => this.append(body),
    ask: (_endpoint, question) => Promise.resolve(this.ask(question)),
    timer: this.timer,
  });

  land(body: OnceRecord): LogOffset {
    const offset = numbered<LogOffset>(this.records.push(body) - 1);
    this.fold.apply(offset, body);
    return offset;
  }

  acquire(options: Partial<AcquireOptions> = {}): Promise<AcquireResult> {
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

  async settle(options: Partial<AcquireOptions> = {}): Promise<AcquireResult> {
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
    it("runs once its record stands first on the log", async () => {
      const result = await new Bench().settle();
      expect(permitOf(result).record).to.equal(0);
    });

    it("is refused at once while the log is down", async () => {
      const bench = new Bench();
      bench.append = () =>
        Promise.resolve(err(journalFailure("append_not_made")));
      const result = await bench.acquire();
      expect(result).to.have.nested.property("refusal.reason", "log_down");
      expect(bench.timer.now()).to.equal(0);
    });

    it("needs a key that carries its time", async () => {
      const bench = new Bench();
      expect(await bench.acquire({ key: undefined }))
        .to.have.nested.property("refusal.reason", "key_needed");
      expect(await bench.acquire({ key: "booking-7" }))
        .to.have.nested.property("refusal.reason", "invalid");
    });

    it("never sends on an append in doubt, and a retry can still run", async () => {
      // The log takes the record and its answer is lost for good. The entry
      // says "not run"; the caller tries again and must get one booking.
      const bench = new Bench();
      bench.append = (body) => {
        bench.land(body);
        return Promise.resolve(err(journalFailure("append_unknown")));
      };
      bench.ask = () => err(failure(LOST, {}));
      const first = await bench.settle();
      expect(first.kind).to.equal("unknown");
      bench.ask = (question) => ok(bench.side.ask(question));
      bench.append = (body) => Promise.resolve(ok(bench.land(body)));
      const second = await bench.settle();
      expect(permitOf(second).record).to.equal(1);
      expect(bench.side.begin(permitOf(second))).to.equal("run");
    });
  });

  describe("a retry through another entry", () => {
    it("gets the first answer", async () => {
      // The caller lost the answer and asks again. It must see the same
      // permit number, and the permit must be booked once.
      const bench = new Bench();
      const permit = permitOf(await bench.settle());
      bench.side.begin(permit);
      bench.side.finish(permit, { status: 200, body: "permit 3" });
      expect(await bench.settle()).to.have.nested.property(
        "answer.body",
        "permit 3",
      );
      expect(bench.records).to.have.length(1);
    });

    it("gets the first answer while the log is down", async () => {
      const bench = new Bench();
      const permit = permitOf(await bench.settle());
      bench.side.begin(permit);
      bench.side.finish(permit, { status: 200, body: "permit 3" });
      bench.append = () =>
        Promise.resolve(err(journalFailure("append_not_made")));
      expect((await bench.settle()).kind).to.equal("answered");
    });

    it("bars an owner that does not send, and only then takes over", async () => {
      // The first entry is paused between its record and the dispatch. When
      // it wakes, its dispatch must find the bar.
      const bench = new Bench();
      const first = permitOf(await bench.settle());
      const second = permitOf(await bench.settle());
      expect(bench.side.begin(first)).to.equal("barred");
      expect(bench.side.begin(second)).to.equal("run");
    });

    // The VM of the side that ran the call is gone. The caller is told so while
    // it still has most of its time, and can turn to a person.
    it("is told unknown soon where the side can't be asked any more", async () => {
      const bench = new Bench();
      await bench.settle();
      bench.ask = () => err(failure(LOST, {}));
      let result: AcquireResult | undefined;
      void bench.acquire({ deadline: bench.timer.now() + 60_000 })
        .then((value) => result = value);
      await bench.timer.advance(3_000);
      expect(result).to.equal(undefined);
      await bench.timer.advance(2_000);
      expect(result?.kind).to.equal("unknown");
    });

    it("is told unknown where the side is gone", async () => {
      // The side died with the call. Nobody can tell whether it ran, so a
      // second run would risk a doubled case number.
      const bench = new Bench();
      permitOf(await bench.settle());
      bench.ask = () => ok({ state: "other_incarnation" });
      expect((await bench.settle()).kind).to.equal("unknown");
    });

    it("is refused where the body differs", async () => {
      const bench = new Bench();
      await bench.settle();
      expect(await bench.settle({ fingerprint: "g" }))
        .to.have.nested.property("refusal.reason", "key_conflict");
    });
  });

  describe("a lost dispatch", () => {
    it("runs again only behind the bar", async () => {
      // The connection broke as the work went out. It may still arrive.
      const bench = new Bench();
      const lost = permitOf(await bench.settle());
      const again = permitOf(await bench.settle({ lost }));
      expect(again.record).to.equal(1);
      expect(bench.side.begin(lost)).to.equal("barred");
    });

    it("says unknown, never not run, where the side can't be asked", async () => {
      const bench = new Bench();
      const lost = permitOf(await bench.settle());
      bench.ask = () => err(failure(LOST, {}));
      expect((await bench.settle({ lost })).kind).to.equal("unknown");
    });

    it("may say not run once the side has barred it", async () => {
      const bench = new Bench();
      const lost = permitOf(await bench.settle());
      bench.append = () =>
        Promise.resolve(err(journalFailure("append_not_made")));
      expect(await bench.settle({ lost }))
        .to.have.nested.property("refusal.reason", "log_down");
      expect(bench.side.begin(lost)).to.equal("barred");
    });
  });
});
