import { expect } from "chai";
import { identifier, type WorkspaceId } from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import { FairShares, isPoolShareRows, PoolShares } from "../mod.ts";

const LARGE = identifier<WorkspaceId>("large");
const SMALL = identifier<WorkspaceId>("small");

describe("FairShares", () => {
  let timer: ManualTimerService;
  let shares: FairShares;

  beforeEach(() => {
    timer = new ManualTimerService();
    shares = new FairShares(timer);
  });

  function ask(
    workspace: WorkspaceId,
    asked: number,
    admitted: number,
    rank = 2,
  ): void {
    shares.recordAsked(workspace, { milliseconds: asked, rank });
    shares.record(workspace, admitted);
  }

  describe("isAboveShare", () => {
    // A share is only a reason to refuse while others are refused as well.
    it("is false for everyone while everything asked for is admitted", () => {
      ask(LARGE, 900, 900);
      ask(SMALL, 10, 10);
      expect(shares.isAboveShare(LARGE, 2)).to.equal(false);
    });

    it("is true only for the workspace that others wait for", () => {
      ask(LARGE, 3_000, 900);
      ask(SMALL, 200, 100);
      expect(shares.isAboveShare(LARGE, 2)).to.equal(true);
      expect(shares.isAboveShare(SMALL, 2)).to.equal(false);
      expect(shares.usedShare(LARGE)).to.equal(0.9);
    });

    // The capacity covers all urgent prompts; only bulk prompts exceed it.
    it("is false for a rank that less urgent work does not delay", () => {
      ask(LARGE, 3_000, 900);
      ask(SMALL, 200, 100);
      ask(LARGE, 100, 90, 0);
      expect(shares.isAboveShare(LARGE, 2)).to.equal(true);
      expect(shares.isAboveShare(LARGE, 0)).to.equal(false);
    });

    it("leaves a workspace alone the whole capacity", () => {
      ask(LARGE, 3_000, 900);
      expect(shares.isAboveShare(LARGE, 2)).to.equal(false);
    });
  });

  it("forgets work within seconds, also after a long idle time", async () => {
    ask(LARGE, 3_000, 900);
    await timer.advance(12_000);
    ask(SMALL, 100, 90);
    expect(shares.usedShare(LARGE)).to.be.within(0.3, 0.35);
    await timer.advance(86_400_000);
    ask(SMALL, 100, 90);
    expect(shares.usedShare(SMALL)).to.be.closeTo(1, 1e-6);
    expect(shares.size).to.equal(1);
  });

  it("keeps a bounded number of workspaces, the most active ones", () => {
    ask(LARGE, 100, 90);
    for (let index = 0; index < 3_400; index++) {
      ask(identifier(`workspace-${index}`), 1, 1);
    }
    expect(shares.size).to.be.at.most(640);
    expect(shares.usedShare(LARGE)).to.be.closeTo(90 / 3_490, 1e-9);
  });

  it("reports increments, the largest first, each once", () => {
    ask(LARGE, 300, 90);
    ask(SMALL, 10, 10);
    const peer = new FairShares(timer);
    const rows = [...shares.takeUnreported(1), ...shares.takeUnreported(16)];
    expect(rows).to.deep.equal([["large", 90, 300], ["small", 10, 10]]);
    for (const row of rows) peer.recordPeer(row);
    expect(shares.takeUnreported(16)).to.deep.equal([]);
    expect(peer.takeUnreported(16)).to.deep.equal([]);
    expect(peer.usedShare(LARGE)).to.equal(0.9);
  });
});

describe("PoolShares", () => {
  it("ignores malformed rows and keeps pools apart", () => {
    expect(isPoolShareRows(["a", [["w", 1, 2]]])).to.equal(true);
    for (const rows of [[["w", -1, 2]], [["w", 1]], [[1, 1, 2]], "x"]) {
      expect(isPoolShareRows(["a", rows])).to.equal(false);
    }
    const shares = new PoolShares(new ManualTimerService(), () => 0);
    shares.recordPeer(["a", [["w", 1, 2]]]);
    expect(shares.largest(8)).to.deep.equal([
      { pool: "a", workspace: "w", share: 1 },
    ]);
    expect(shares.forPool(identifier("b")).size).to.equal(0);
  });
});
