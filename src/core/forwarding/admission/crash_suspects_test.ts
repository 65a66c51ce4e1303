import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_values.ts";
import {
  identifier,
  numbered,
  type ReplicaStart,
  type RequestDigest,
} from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { CrashSuspects } from "./crash_suspects.ts";

const MINUTE_MILLISECONDS = 60_000;
const CRASHING = identifier<RequestDigest>("crashing");
const BESIDE = identifier<RequestDigest>("beside");

describe("CrashSuspects", () => {
  let timer: ManualTimerService;
  let suspects: CrashSuspects;
  let blocked: string[];

  beforeEach(() => {
    timer = new ManualTimerService();
    blocked = [];
    suspects = new CrashSuspects({
      timer,
      onBlocked: ({ digest }) => blocked.push(digest),
    });
  });

  /** The endpoint crashes with these requests on it. */
  function crash(endpoint: string, ...digests: RequestDigest[]): void {
    for (const digest of digests) suspects.lost(makeEndpoint(endpoint), digest);
    suspects.forget(makeEndpoint(endpoint));
  }

  function isBlocked(digest: RequestDigest): boolean {
    return suspects.blockedMilliseconds(digest) > 0;
  }

  describe("lost", () => {
    it("blocks a request with the third endpoint that crashes", () => {
      crash("a", CRASHING);
      crash("b", CRASHING);
      expect(isBlocked(CRASHING)).to.equal(false);
      crash("c", CRASHING);
      expect(isBlocked(CRASHING)).to.equal(true);
      expect(blocked).to.deep.equal([CRASHING]);
      expect(suspects.blocked).to.equal(1);
    });

    it("counts one crash once, however many copies ran there", () => {
      for (let copy = 0; copy < 5; copy++) crash("a", CRASHING);
      expect(suspects.lost(makeEndpoint("a"), CRASHING)).to.equal(1);
    });

    it("counts each run of an endpoint that keeps its id", () => {
      for (const start of [1, 2, 3]) {
        const startedAt = numbered<ReplicaStart>(start);
        suspects.lost(makeEndpoint("a", { startedAt }), CRASHING);
      }
      expect(isBlocked(CRASHING)).to.equal(true);
    });

    it("keeps few suspects where every request is new", () => {
      for (let index = 0; index < 10_000; index++) {
        const digest = identifier<RequestDigest>(`request-${index}`);
        suspects.lost(makeEndpoint(`endpoint-${index}`), digest);
      }
      expect(suspects.size).to.equal(4_096);
    });

    it("does not drop a blocked request for new suspects", () => {
      for (const endpoint of ["a", "b", "c"]) crash(endpoint, CRASHING);
      for (let index = 0; index < 10_000; index++) {
        const digest = identifier<RequestDigest>(`request-${index}`);
        suspects.lost(makeEndpoint(`endpoint-${index}`), digest);
      }
      expect(isBlocked(CRASHING)).to.equal(true);
    });
  });

  describe("a request that was beside the crashing one", () => {
    it("is not blocked for crashes that the other explains", () => {
      crash("a", CRASHING);
      for (const endpoint of ["b", "c", "d"]) crash(endpoint, CRASHING, BESIDE);
      expect(isBlocked(CRASHING)).to.equal(true);
      expect(isBlocked(BESIDE)).to.equal(false);
      expect(blocked).to.deep.equal([CRASHING]);
    });

    it("is cleared when an endpoint has run it to its end", () => {
      crash("a", CRASHING, BESIDE);
      crash("b", CRASHING, BESIDE);
      suspects.completed(BESIDE);
      crash("c", CRASHING, BESIDE);
      expect(isBlocked(CRASHING)).to.equal(true);
      expect(isBlocked(BESIDE)).to.equal(false);
    });
  });

  describe("answered", () => {
    it("takes back a loss at an endpoint that answers right after it", async () => {
      for (const endpoint of ["a", "b", "c"]) {
        suspects.lost(makeEndpoint(endpoint), CRASHING);
      }
      await timer.advance(200);
      suspects.answered(makeEndpoint("a"), timer.now() - 20);
      expect(isBlocked(CRASHING)).to.equal(false);
      expect(suspects.lost(makeEndpoint("d"), CRASHING)).to.equal(3);
    });

    it("takes nothing back for an answer to an earlier request", async () => {
      const sentAt = timer.now();
      await timer.advance(10);
      suspects.lost(makeEndpoint("a"), CRASHING);
      suspects.answered(makeEndpoint("a"), sentAt);
      expect(suspects.lost(makeEndpoint("b"), CRASHING)).to.equal(2);
    });

    it("takes nothing back once the endpoint had time to start again", async () => {
      suspects.lost(makeEndpoint("a"), CRASHING);
      await timer.advance(1_500);
      suspects.answered(makeEndpoint("a"), timer.now());
      expect(suspects.lost(makeEndpoint("b"), CRASHING)).to.equal(2);
    });

    it("takes nothing back once the endpoint has refused connections", async () => {
      suspects.lost(makeEndpoint("a"), CRASHING);
      await timer.advance(50);
      suspects.refusedConnection(makeEndpoint("a"));
      await timer.advance(500);
      suspects.answered(makeEndpoint("a"), timer.now());
      expect(suspects.lost(makeEndpoint("b"), CRASHING)).to.equal(2);
    });
  });

  describe("blockedMilliseconds", () => {
    beforeEach(() => {
      for (const endpoint of ["a", "b", "c"]) crash(endpoint, CRASHING);
    });

    it("ends ten minutes after the last crash", async () => {
      await timer.advance(10 * MINUTE_MILLISECONDS - 1);
      expect(isBlocked(CRASHING)).to.equal(true);
      await timer.advance(1);
      expect(isBlocked(CRASHING)).to.equal(false);
    });

    it("begins anew with one further crash", async () => {
      await timer.advance(11 * MINUTE_MILLISECONDS);
      crash("d", CRASHING);
      expect(isBlocked(CRASHING)).to.equal(true);
    });

    it("is over for good once the request has been answered", async () => {
      await timer.advance(11 * MINUTE_MILLISECONDS);
      suspects.completed(CRASHING);
      crash("d", CRASHING);
      expect(isBlocked(CRASHING)).to.equal(false);
    });
  });

  describe("what peers are told", () => {
    it("is each loss at once, and again for some seconds", async () => {
      crash("a", CRASHING);
      expect(suspects.hasUntold).to.equal(true);
      const [loss] = suspects.takeUntold({ again: false });
      expect(loss).to.deep.equal([CRASHING, "a", null]);
      expect(suspects.takeUntold({ again: false })).to.deep.equal([]);
      expect(suspects.takeUntold({ again: true })).to.deep.equal([loss]);
      await timer.advance(4_000);
      expect(suspects.takeUntold({ again: true })).to.deep.equal([]);
    });

    it("adds up with what this entry has seen", () => {
      crash("a", CRASHING);
      suspects.peerLost([CRASHING, "b", 5]);
      suspects.peerLost([CRASHING, "b", 5]);
      expect(isBlocked(CRASHING)).to.equal(false);
      suspects.peerLost([CRASHING, "c", null]);
      expect(isBlocked(CRASHING)).to.equal(true);
    });

    it("is all that is known of a request that a peer still sends", () => {
      for (const endpoint of ["a", "b", "c"]) crash(endpoint, CRASHING);
      suspects.takeUntold({ again: false });
      suspects.peerLost([CRASHING, "d", null]);
      expect(suspects.takeUntold({ again: false })).to.have.length(4);
    });

    it("names what is blocked to one that has just started", () => {
      crash("a", BESIDE);
      expect(suspects.lossesOfBlocked()).to.deep.equal([]);
      for (const endpoint of ["a", "b", "c"]) crash(endpoint, CRASHING);
      expect(suspects.lossesOfBlocked()).to.have.length(3);
    });

    it("fits a datagram after many losses", () => {
      for (let index = 0; index < 200; index++) {
        crash("a", identifier<RequestDigest>(`request-${index}`));
      }
      expect(suspects.takeUntold({ again: true })).to.have.length.at.most(128);
      expect(suspects.hasUntold).to.equal(true);
    });
  });
});
