import { expect } from "chai";
import type { OnceRecord } from "../../generated/log_records.ts";
import { type IdempotencyKey, numbered } from "../identity/mod.ts";
import { OnceFold, scopedKey, timeOfKey } from "./mod.ts";

const MINUTE_MILLISECONDS = 60_000;
const START = Date.UTC(2026, 0, 1);

function keyAt(time: number, tail = "000000000001"): IdempotencyKey {
  const digits = time.toString(16).padStart(12, "0");
  const uuid = `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-${tail}`;
  return scopedKey("crew", uuid)._unsafeUnwrap();
}

function record(key: IdempotencyKey, replaces = -1): OnceRecord {
  return {
    kind: "once",
    key,
    keyTime: timeOfKey(key) as number,
    fingerprint: "f",
    endpoint: "portal-1",
    sideIncarnation: "i1",
    replaces,
  };
}

function foldOf(records: readonly OnceRecord[], fold = new OnceFold()) {
  records.forEach((body, offset) => fold.apply(numbered(offset), body));
  return fold;
}

describe("OnceFold", () => {
  const key = keyAt(START);

  describe("ownership", () => {
    it("gives the key to its first record", () => {
      // Two entries append for one key concurrently. If both records owned it,
      // the permit would be booked at both endpoints.
      const fold = foldOf([record(key), record(key)]);
      expect(fold.owner(key)?.record).to.equal(0);
    });

    it("accepts a takeover only if it names the current record", () => {
      // Two entries bar the same record and take over concurrently. The second
      // must fail, or both run the booking.
      const fold = foldOf([record(key), record(key, 0), record(key, 0)]);
      expect(fold.owner(key)?.record).to.equal(1);
    });

    it("voids a takeover with another body", () => {
      // The caller reuses its key for other work. A takeover by that work would
      // answer the first request with the second one's result.
      const fold = foldOf([record(key), {
        ...record(key, 0),
        fingerprint: "g",
      }]);
      expect(fold.owner(key)?.record).to.equal(0);
    });

    it("voids a record whose time differs from its key's", () => {
      // A faulty writer sets a recent time for an old key. If the time were
      // trusted, an expired key would be owned and run again.
      const fold = foldOf([{ ...record(key), keyTime: START + 1 }]);
      expect(fold.owner(key)).to.equal(undefined);
    });
  });

  describe("expiry", () => {
    it("voids and removes only keys older than the window", () => {
      // A record reaches the log only after its key has expired. Treated as a
      // first record, it would run the work again.
      const later = keyAt(START + 31 * MINUTE_MILLISECONDS);
      const fold = foldOf([record(key), record(later), record(key)]);
      expect(fold.owner(key)).to.equal(undefined);
      expect(fold.isExpired(key)).to.equal(true);
      expect(fold.owner(later)?.record).to.equal(1);
    });

    it("keeps memory bounded by the window", () => {
      const fold = new OnceFold();
      for (let minute = 0; minute < 200; minute += 1) {
        const fresh = keyAt(START + minute * MINUTE_MILLISECONDS);
        fold.apply(numbered(minute), record(fresh));
      }
      expect(fold.size).to.be.at.most(33);
    });
  });

  it("treats keys that the writer of a loaded state had expired as expired", () => {
    // During a rollout, two processes use different windows. The one with the
    // shorter window writes a checkpoint, and the other, starting from it,
    // would book the permit of an expired key again.
    const short = new OnceFold({ windowMilliseconds: MINUTE_MILLISECONDS });
    const later = keyAt(START + 2 * MINUTE_MILLISECONDS);
    foldOf([record(key), record(later)], short);
    const long = new OnceFold();
    long.load(JSON.parse(JSON.stringify(short.save())));
    expect(long.isExpired(key)).to.equal(true);
    long.apply(numbered(2), record(key));
    expect(long.owner(key)).to.equal(undefined);
  });

  it("restores the same owners from a saved state", () => {
    // A reader that starts from a checkpoint must decide like one that has read
    // every record, or the two disagree on which request runs.
    const fold = foldOf([record(key), record(key, 0)]);
    const copy = new OnceFold();
    copy.load(JSON.parse(JSON.stringify(fold.save())));
    copy.apply(numbered(2), record(key, 0));
    expect(copy.owner(key)).to.deep.equal(fold.owner(key));
    expect(copy.streamTime).to.equal(fold.streamTime);
  });
});
