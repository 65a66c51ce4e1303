import { expect } from "chai";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import {
  identifier,
  numbered,
  type PartDigest,
  type ReplicaStartTime,
  type RequestDigest,
  type SuspectDigest,
} from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { CrashTracker } from "./crash_tracker.ts";

const MINUTE_MILLISECONDS = 60_000;
const CRASHING = identifier<RequestDigest>("crashing");
const BYSTANDER = identifier<RequestDigest>("bystander");

describe("CrashTracker", () => {
  let timer: ManualTimerService;
  let tracker: CrashTracker;
  let blocked: string[];
  let ownBlocked: string[];

  beforeEach(() => {
    timer = new ManualTimerService();
    blocked = [];
    ownBlocked = [];
    tracker = new CrashTracker({
      timer,
      onBlocked: ({ digest }, { isOwn }) => {
        blocked.push(digest);
        if (isOwn) ownBlocked.push(digest);
      },
    });
  });

  /**
   * Sends the request to the endpoint and loses it; returns its crash count.
   */
  function lose(
    endpoint: string,
    digest: RequestDigest,
    values: Partial<RegisteredEndpoint> = {},
  ): number {
    const knownBefore = tracker.crashCount(digest);
    tracker.lost(makeEndpoint(endpoint, values), { digest, knownBefore });
    return tracker.crashCount(digest);
  }

  /** Crashes the endpoint with these requests on it. */
  function crash(endpoint: string, ...digests: RequestDigest[]): void {
    for (const digest of digests) lose(endpoint, digest);
    tracker.forget(makeEndpoint(endpoint));
  }

  function isBlocked(digest: SuspectDigest): boolean {
    return tracker.blockedMilliseconds([digest]) > 0;
  }

  describe("confirmLosses", () => {
    const run = makeEndpoint("a");

    function loseUnconfirmed(...endpoints: string[]): void {
      for (const endpoint of endpoints) {
        tracker.lost(makeEndpoint(endpoint), {
          digest: CRASHING,
          knownBefore: tracker.crashCount(CRASHING),
          isConfirmed: false,
        });
      }
    }

    it("counts and reports losses that were not retracted", () => {
      loseUnconfirmed("a", "b", "c");
      expect(isBlocked(CRASHING)).to.equal(false);
      expect(tracker.reports.take()).to.equal(undefined);
      for (const id of ["a", "b", "c"]) {
        expect(ownBlocked).to.deep.equal([]);
        tracker.confirmLosses(makeEndpoint(id));
      }
      expect(isBlocked(CRASHING)).to.equal(true);
      expect(ownBlocked).to.deep.equal([CRASHING]);
      expect(tracker.reports.take()?.losses).to.have.length(3);
    });

    it("neither counts nor reports losses of a run that has answered", () => {
      loseUnconfirmed("a", "b", "c");
      tracker.answered(run, timer.now());
      for (const id of ["a", "b", "c"]) {
        tracker.confirmLosses(makeEndpoint(id));
      }
      expect(isBlocked(CRASHING)).to.equal(false);
      expect(tracker.reports.take()?.losses).to.have.length(2);
    });
  });

  describe("lost", () => {
    it("blocks a request after the third endpoint that crashes", () => {
      crash("a", CRASHING);
      crash("b", CRASHING);
      expect(isBlocked(CRASHING)).to.equal(false);
      crash("c", CRASHING);
      expect(isBlocked(CRASHING)).to.equal(true);
      expect(blocked).to.deep.equal([CRASHING]);
      expect(tracker.blocked).to.equal(1);
    });

    it("counts one crash once, however many copies of the request ran there", () => {
      for (let copy = 0; copy < 5; copy++) crash("a", CRASHING);
      expect(tracker.crashCount(CRASHING)).to.equal(1);
    });

    it("counts endpoints that crash at the same time once", () => {
      for (const endpoint of ["a", "b", "c", "d"]) {
        tracker.lost(makeEndpoint(endpoint), {
          digest: BYSTANDER,
          knownBefore: 0,
        });
      }
      expect(tracker.crashCount(BYSTANDER)).to.equal(1);
      expect(isBlocked(BYSTANDER)).to.equal(false);
    });

    it("counts each run of an endpoint that keeps its id", () => {
      for (const start of [1, 2, 3]) {
        lose("a", CRASHING, { startedAt: numbered<ReplicaStartTime>(start) });
      }
      expect(isBlocked(CRASHING)).to.equal(true);
    });

    it("bounds the number of suspects", () => {
      for (let index = 0; index < 10_000; index++) {
        const digest = identifier<RequestDigest>(`request-${index}`);
        lose(`endpoint-${index}`, digest);
      }
      expect(tracker.size).to.equal(4_096);
    });

    it("does not evict a blocked request for new suspects", () => {
      for (const endpoint of ["a", "b", "c"]) crash(endpoint, CRASHING);
      for (let index = 0; index < 10_000; index++) {
        const digest = identifier<RequestDigest>(`request-${index}`);
        lose(`endpoint-${index}`, digest);
      }
      expect(isBlocked(CRASHING)).to.equal(true);
    });
  });

  describe("a request in flight with the crashing one", () => {
    it("is not blocked for crashes that the other explains", () => {
      crash("a", CRASHING);
      for (const endpoint of ["b", "c", "d"]) {
        crash(endpoint, CRASHING, BYSTANDER);
      }
      expect(isBlocked(CRASHING)).to.equal(true);
      expect(isBlocked(BYSTANDER)).to.equal(false);
      expect(blocked).to.deep.equal([CRASHING]);
    });

    it("does not hide the crashing one with its own losses", () => {
      // Long responses that began before the first crash and end with the last
      // one.
      for (const endpoint of ["a", "b", "c", "d"]) {
        tracker.lost(makeEndpoint(endpoint), {
          digest: BYSTANDER,
          knownBefore: 0,
        });
      }
      for (const endpoint of ["a", "b", "c"]) crash(endpoint, CRASHING);
      expect(isBlocked(CRASHING)).to.equal(true);
      expect(isBlocked(BYSTANDER)).to.equal(false);
    });

    it("is cleared when an endpoint has completed it", () => {
      crash("a", CRASHING, BYSTANDER);
      crash("b", CRASHING, BYSTANDER);
      tracker.recordCompletion([BYSTANDER]);
      crash("c", CRASHING, BYSTANDER);
      expect(isBlocked(CRASHING)).to.equal(true);
      expect(isBlocked(BYSTANDER)).to.equal(false);
    });
  });

  describe("the first part of prompts", () => {
    const FIRST = identifier<PartDigest>("first");

    /** Crashes endpoints with the first part and another suspect in flight. */
    function crashWithFirst(
      endpoint: string,
      ...others: SuspectDigest[]
    ): void {
      for (const digest of [FIRST, ...others]) {
        const knownBefore = tracker.crashCount(digest);
        tracker.lost(makeEndpoint(endpoint), {
          digest,
          knownBefore,
          isFirstPart: digest === FIRST,
        });
      }
      tracker.forget(makeEndpoint(endpoint));
    }

    // All requests share it, so it is in flight whenever an endpoint crashes.
    it("is not blocked for crashes that several other parts account for", () => {
      const [one, other] = ["one", "other"].map((each) =>
        identifier<PartDigest>(each)
      );
      for (const endpoint of ["a", "b"]) crashWithFirst(endpoint, one);
      for (const endpoint of ["c", "d"]) crashWithFirst(endpoint, other);
      expect(tracker.crashCount(FIRST)).to.equal(4);
      expect(isBlocked(FIRST)).to.equal(false);
    });

    it("is blocked for a short time until its fifth crash", async () => {
      for (const endpoint of ["a", "b", "c"]) crashWithFirst(endpoint);
      expect(tracker.blockedMilliseconds([FIRST])).to.equal(2_000);
      await timer.advance(2_000);
      expect(tracker.verdictOn([FIRST]).kind).to.equal("held");
      crashWithFirst("d");
      expect(tracker.blockedMilliseconds([FIRST])).to.equal(5_000);
      await timer.advance(5_000);
      crashWithFirst("e");
      expect(tracker.blockedMilliseconds([FIRST]))
        .to.equal(10 * MINUTE_MILLISECONDS);
    });

    describe("beside sound parts", () => {
      const [document, otherDocument] = ["document", "other-document"].map(
        (each) => identifier<PartDigest>(each),
      );
      const OTHER_FIRST = identifier<PartDigest>("other-first");

      /** Loses a first part with endpoints, at the same time. */
      function loseFirst(digest: PartDigest, ...endpoints: string[]): void {
        const knownBefore = tracker.crashCount(digest);
        for (const endpoint of endpoints) {
          const options = { digest, knownBefore, isFirstPart: true };
          tracker.lost(makeEndpoint(endpoint), options);
        }
      }

      /** Clears the suspect by a run that begins now. */
      async function clear(digest: PartDigest): Promise<void> {
        await timer.advance(1);
        tracker.recordCompletion([digest]);
      }

      // Documents that are asked for often were blocked in its place, and freed
      // it again, so that it went on to crash endpoints.
      it("is blocked if only the other first parts of its crashes are cleared", async () => {
        crashWithFirst("a", document);
        crashWithFirst("b", document, otherDocument);
        crashWithFirst("c", document, otherDocument);
        expect(isBlocked(document)).to.equal(true);
        loseFirst(OTHER_FIRST, "a", "b");
        await clear(OTHER_FIRST);
        expect(isBlocked(document)).to.equal(true);
        crashWithFirst("d", otherDocument);
        expect(isBlocked(FIRST)).to.equal(true);
        expect(isBlocked(document)).to.equal(false);
        expect(isBlocked(otherDocument)).to.equal(false);
      });

      it("is not blocked if it is cleared like the others", async () => {
        for (const endpoint of ["a", "b", "c"]) {
          crashWithFirst(endpoint, document);
        }
        loseFirst(OTHER_FIRST, "a", "b");
        await timer.advance(1);
        tracker.recordCompletion([OTHER_FIRST, FIRST]);
        crashWithFirst("d", document);
        expect(isBlocked(document)).to.equal(true);
        expect(isBlocked(FIRST)).to.equal(false);
      });

      // An entry that has just started knows no run of a sound part.
      it("is not blocked as long as nothing is cleared", () => {
        for (const endpoint of ["a", "b"]) crashWithFirst(endpoint, document);
        for (const endpoint of ["c", "d", "e"]) {
          crashWithFirst(endpoint, otherDocument);
        }
        loseFirst(OTHER_FIRST, "a", "b", "c", "d");
        expect(isBlocked(FIRST)).to.equal(false);
      });

      // Five endpoints that crashed before the first loss was known gave the
      // block of three, and each trial behind it crashed a further one.
      it("has the block of all lost runs if only others are cleared", async () => {
        loseFirst(FIRST, "a", "b", "c");
        for (const endpoint of ["d", "e"]) crashWithFirst(endpoint);
        expect(tracker.blockedMilliseconds([FIRST])).to.equal(2_000);
        tracker = new CrashTracker({ timer });
        loseFirst(FIRST, "a", "b", "c");
        loseFirst(OTHER_FIRST, "a", "b");
        await clear(OTHER_FIRST);
        for (const endpoint of ["d", "e"]) crashWithFirst(endpoint);
        expect(tracker.blockedMilliseconds([FIRST]))
          .to.equal(10 * MINUTE_MILLISECONDS);
      });

      // A run that clears a document may be too short for what it holds besides.
      it("is not compared with what a shorter run clears", async () => {
        tracker.lost(makeEndpoint("a"), {
          digest: FIRST,
          isFirstPart: true,
          knownBefore: 0,
          lasted: 300,
        });
        for (const endpoint of ["b", "c"]) {
          crashWithFirst(endpoint, document, otherDocument);
        }
        crashWithFirst("d", document);
        await clear(otherDocument);
        expect(isBlocked(document)).to.equal(true);
        expect(isBlocked(FIRST)).to.equal(false);
      });

      // Trials run one at a time, so that each of them tells.
      it("has the block of all lost runs with a trial that crashes", async () => {
        loseFirst(FIRST, "a", "b");
        loseFirst(OTHER_FIRST, "a");
        await clear(OTHER_FIRST);
        for (const endpoint of ["c", "d"]) crashWithFirst(endpoint);
        expect(tracker.blockedMilliseconds([FIRST])).to.equal(2_000);
        await timer.advance(2_000);
        crashWithFirst("e");
        expect(tracker.blockedMilliseconds([FIRST]))
          .to.equal(10 * MINUTE_MILLISECONDS);
      });

      // What is blocked has no runs that could clear it.
      it("keeps a short block if others are cleared by runs behind its start", async () => {
        loseFirst(FIRST, "a", "b", "c");
        for (const endpoint of ["d", "e"]) crashWithFirst(endpoint);
        loseFirst(OTHER_FIRST, "a", "b", "c", "d", "e");
        await clear(OTHER_FIRST);
        expect(tracker.blockedMilliseconds([FIRST])).to.equal(1_999);
      });

      // It was sent on at any rate as long as a document was in the same crashes.
      it("runs once at a time although others were in several of its crashes", () => {
        for (const endpoint of ["a", "b"]) crashWithFirst(endpoint, document);
        expect(tracker.verdictOn([FIRST])).to.deep.include({
          kind: "held",
          digests: [FIRST],
        });
      });
    });

    it("is free once a run of it has lasted longer than the lost ones", async () => {
      for (const endpoint of ["a", "b", "c"]) crashWithFirst(endpoint);
      await timer.advance(2_000);
      const beganAt = timer.now();
      await timer.advance(200);
      tracker.recordProgress([FIRST], beganAt);
      expect(tracker.verdictOn([FIRST]).kind).to.equal("held");
      await timer.advance(100);
      tracker.recordProgress([FIRST], beganAt);
      expect(tracker.verdictOn([FIRST]).kind).to.equal("free");
    });
  });

  describe("a suspect that several endpoints were lost with", () => {
    function loseAtOnce(): void {
      for (const endpoint of ["a", "b"]) {
        tracker.lost(makeEndpoint(endpoint), {
          digest: BYSTANDER,
          knownBefore: 0,
        });
      }
    }

    it("is held until a run that began later does not crash", async () => {
      loseAtOnce();
      expect(tracker.held).to.equal(1);
      const before = timer.now() - 1;
      await timer.advance(400);
      tracker.recordCompletion([BYSTANDER], before);
      expect(tracker.held).to.equal(1);
      tracker.recordCompletion([BYSTANDER], timer.now() - 100);
      expect(tracker.held).to.equal(0);
    });

    // Replicas that break off answers and live on would get it held.
    it("is not held for losses that may be retracted", () => {
      for (const endpoint of ["a", "b"]) {
        tracker.lost(makeEndpoint(endpoint), {
          digest: BYSTANDER,
          knownBefore: 0,
          isConfirmed: false,
        });
      }
      expect(tracker.held).to.equal(0);
      for (const endpoint of ["a", "b"]) {
        tracker.confirmLosses(makeEndpoint(endpoint));
      }
      expect(tracker.held).to.equal(1);
    });

    it("is not held if a run has not crashed a moment ago", async () => {
      tracker.recordProof([BYSTANDER], timer.now());
      await timer.advance(300);
      loseAtOnce();
      expect(tracker.held).to.equal(0);
      await timer.advance(1_000);
      expect(tracker.held).to.equal(1);
    });

    // What many requests hold would delay all of them.
    it("is the only one of a request whose other parts do not crash", () => {
      const shared = identifier<PartDigest>("shared");
      loseAtOnce();
      tracker.lost(makeEndpoint("a"), { digest: shared, knownBefore: 0 });
      expect(tracker.verdictOn([BYSTANDER, shared]))
        .to.include({ kind: "held", isAmbiguous: true });
      tracker.recordProof([shared], timer.now());
      expect(tracker.verdictOn([BYSTANDER, shared]))
        .to.include({ kind: "held", isAmbiguous: false });
    });

    it("is not held for a loss that was disproved before it was reported", () => {
      loseAtOnce();
      tracker.recordCompletion([BYSTANDER]);
      tracker.recordPeerLosses([
        [BYSTANDER, "c", null, 1, 0, 700],
        [BYSTANDER, "d", null, 1, 0, 700],
      ]);
      expect(tracker.held).to.equal(0);
    });
  });

  describe("answered", () => {
    it("retracts a loss at an endpoint that answers right after it", async () => {
      for (const endpoint of ["a", "b", "c"]) lose(endpoint, CRASHING);
      await timer.advance(200);
      tracker.answered(makeEndpoint("a"), timer.now() - 20);
      expect(isBlocked(CRASHING)).to.equal(false);
      expect(lose("d", CRASHING)).to.equal(3);
    });

    it("retracts nothing for a response to an earlier request", async () => {
      const sentAt = timer.now();
      await timer.advance(10);
      lose("a", CRASHING);
      tracker.answered(makeEndpoint("a"), sentAt);
      expect(lose("b", CRASHING)).to.equal(2);
    });

    it("retracts nothing once the endpoint had time to restart", async () => {
      lose("a", CRASHING);
      await timer.advance(1_500);
      tracker.answered(makeEndpoint("a"), timer.now());
      expect(lose("b", CRASHING)).to.equal(2);
    });

    it("retracts nothing once the endpoint has refused connections", async () => {
      lose("a", CRASHING);
      await timer.advance(50);
      tracker.recordRefusedConnection(makeEndpoint("a"));
      await timer.advance(500);
      tracker.answered(makeEndpoint("a"), timer.now());
      expect(lose("b", CRASHING)).to.equal(2);
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

    it("starts again after one further crash", async () => {
      await timer.advance(11 * MINUTE_MILLISECONDS);
      crash("d", CRASHING);
      expect(isBlocked(CRASHING)).to.equal(true);
    });

    it("ends permanently once the request has been completed", async () => {
      await timer.advance(11 * MINUTE_MILLISECONDS);
      tracker.recordCompletion([CRASHING]);
      crash("d", CRASHING);
      expect(isBlocked(CRASHING)).to.equal(false);
    });
  });

  // A proof in the future would acquit the request of each later crash.
  it("blocks a request behind a peer's proof that is dated in the future", async () => {
    tracker.recordPeerAcquittals([[CRASHING, -1e15]]);
    await timer.advance(20_000);
    for (const endpoint of ["a", "b", "c"]) crash(endpoint, CRASHING);
    expect(isBlocked(CRASHING)).to.equal(true);
  });

  describe("restore", () => {
    it("blocks what was blocked less than ten minutes ago", () => {
      const losses = ["a", "b", "c"].map((endpoint, index) =>
        [CRASHING, endpoint, null, index + 1] as const
      );
      const age = 9 * MINUTE_MILLISECONDS;
      expect(tracker.restore(losses, { ageMilliseconds: age })).to.equal(true);
      expect(isBlocked(CRASHING)).to.equal(true);
    });

    // A loss in the future would outlast each block, and each proof.
    it("ends the block of losses that are dated in the future", async () => {
      const losses = ["a", "b", "c"].map((endpoint, index) =>
        [CRASHING, endpoint, null, index + 1, 0, -1e15] as const
      );
      tracker.restore(losses, { ageMilliseconds: 0 });
      await timer.advance(21 * MINUTE_MILLISECONDS);
      expect(isBlocked(CRASHING)).to.equal(false);
    });

    it("ignores requests whose block is over", () => {
      const losses = [[CRASHING, "a", null, 1]] as const;
      const age = 10 * MINUTE_MILLISECONDS;
      expect(tracker.restore(losses, { ageMilliseconds: age }))
        .to.equal(false);
      expect(tracker.size).to.equal(0);
    });
  });

  describe("reports to peers", () => {
    it("contain each loss once", () => {
      let calls = 0;
      tracker.reports.onPending(() => calls += 1);
      crash("a", CRASHING);
      expect(calls).to.equal(1);
      expect(tracker.reports.take()).to.deep.equal({
        losses: [[CRASHING, "a", null, 1, 0, 0]],
        cleared: [],
      });
      expect(tracker.reports.take()).to.equal(undefined);
    });

    it("repeat own losses for some seconds", async () => {
      crash("a", CRASHING);
      tracker.recordPeerLosses([[CRASHING, "b", null, 2]]);
      expect(tracker.reports.recentLosses()).to.have.length(1);
      await timer.advance(4_000);
      expect(tracker.reports.recentLosses()).to.deep.equal([]);
    });

    it("contain a completed request, and no more of its losses", () => {
      crash("a", BYSTANDER);
      tracker.reports.take();
      tracker.recordCompletion([BYSTANDER]);
      expect(tracker.reports.take()).to.deep.equal({
        losses: [],
        cleared: [[BYSTANDER, 0]],
      });
      expect(tracker.reports.recentLosses()).to.deep.equal([]);
      tracker.recordCompletion([BYSTANDER]);
      expect(tracker.reports.take()).to.equal(undefined);
    });

    it("end a block when a peer has completed the request", () => {
      for (const endpoint of ["a", "b", "c"]) crash(endpoint, BYSTANDER);
      tracker.recordPeerAcquittals([[BYSTANDER, 0]]);
      expect(isBlocked(BYSTANDER)).to.equal(false);
      expect(tracker.reports.recentLosses()).to.deep.equal([]);
    });

    it("add to the losses observed by this entry", () => {
      crash("a", CRASHING);
      tracker.recordPeerLosses([[CRASHING, "b", 5, 2]]);
      tracker.recordPeerLosses([[CRASHING, "b", 5, 2]]);
      expect(isBlocked(CRASHING)).to.equal(false);
      tracker.recordPeerLosses([[CRASHING, "c", null, 3]]);
      expect(isBlocked(CRASHING)).to.equal(true);
    });

    it("mark a block as own only where a loss was observed", () => {
      lose("a", CRASHING);
      tracker.recordPeerLosses([
        [CRASHING, "b", null, 2],
        [CRASHING, "c", null, 3],
      ]);
      tracker.recordPeerLosses([
        [BYSTANDER, "d", null, 1],
        [BYSTANDER, "e", null, 2],
        [BYSTANDER, "f", null, 3],
      ]);
      expect(blocked).to.deep.equal([CRASHING, BYSTANDER]);
      expect(ownBlocked).to.deep.equal([CRASHING]);
    });

    it("contain all losses of a blocked request that a peer still sends", () => {
      for (const endpoint of ["a", "b", "c"]) crash(endpoint, CRASHING);
      tracker.reports.take();
      tracker.recordPeerLosses([[CRASHING, "d", null, 1]]);
      expect(tracker.reports.take()?.losses).to.have.length(4);
    });

    it("contain the blocked requests for a peer that has just started", () => {
      crash("a", BYSTANDER);
      expect(tracker.seriousLosses()).to.deep.equal([]);
      for (const endpoint of ["a", "b", "c"]) crash(endpoint, CRASHING);
      expect(tracker.seriousLosses()).to.have.length(3);
    });

    it("fit a datagram after many losses", () => {
      for (let index = 0; index < 200; index++) {
        crash("a", identifier<RequestDigest>(`request-${index}`));
      }
      expect(tracker.reports.take()?.losses).to.have.length(64);
      expect(tracker.reports.take()?.losses).to.have.length(64);
    });
  });
});
