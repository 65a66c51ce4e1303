import { expect } from "chai";
import { makeConnection } from "../../../../test/support/endpoint_connection.ts";
import { makeEndpoint } from "../../../../test/support/forwarding_fixtures.ts";
import {
  CrashTracker,
  EndpointRegistry,
} from "../../../core/forwarding/mod.ts";
import { identifier, type PartDigest } from "../../../core/identity/mod.ts";
import { ManualTimerService } from "../../../core/time/mod.ts";
import type { EndpointConnection } from "../network_interfaces.ts";
import { LostRunChecks } from "./lost_run_checks.ts";

const PART = identifier<PartDigest>("part");
const OTHER_PART = identifier<PartDigest>("other");
/** Longer than the delay of a check. */
const CHECK_MILLISECONDS = 60;
const OPENING_MILLISECONDS = 20;

describe("LostRunChecks", () => {
  const endpoint = makeEndpoint("a");
  let timer: ManualTimerService;
  let crashes: CrashTracker;
  let checks: LostRunChecks;
  /** Whether the endpoint accepts the next connections. */
  let isListening: boolean;
  let connections: number;
  /** Whether connections are reset once they have been accepted. */
  let isResetting: boolean;

  beforeEach(() => {
    timer = new ManualTimerService();
    crashes = new CrashTracker({ timer });
    isListening = true;
    connections = 0;
    isResetting = false;
    const registry = new EndpointRegistry({ timer });
    registry.upsert(endpoint);
    checks = new LostRunChecks({
      timer,
      registry,
      crashes,
      endpointClient: { connect },
      healthPathOf: () => undefined,
    });
  });

  function connect(): EndpointConnection {
    connections += 1;
    return {
      ...makeConnection(isListening),
      ...(isResetting && { state: "ended" }),
      opened: new Promise((resolve) =>
        timer.after(OPENING_MILLISECONDS, resolve)
      ),
    };
  }

  function lose(digest: PartDigest): void {
    crashes.lost(endpoint, { digest, knownBefore: 0, isConfirmed: false });
    checks.check(endpoint);
  }

  function reportedDigests(): string[] {
    const losses = crashes.reports.take()?.losses ?? [];
    return losses.map(([digest]) => digest).sort();
  }

  /** Loses a part, and then another one while the check is in progress. */
  async function loseDuringCheck(): Promise<void> {
    lose(PART);
    await timer.advance(CHECK_MILLISECONDS);
    expect(connections).to.equal(1);
    // Another response of the run retracts the first loss.
    if (isListening) crashes.answered(endpoint, timer.now());
    lose(OTHER_PART);
  }

  it("confirms the losses of a run that has ended", async () => {
    isListening = false;
    lose(PART);
    await timer.advance(CHECK_MILLISECONDS + OPENING_MILLISECONDS);
    expect(reportedDigests()).to.deep.equal([PART]);
  });

  it("retracts the losses of a run that listens", async () => {
    lose(PART);
    await timer.advance(CHECK_MILLISECONDS + OPENING_MILLISECONDS);
    expect(reportedDigests()).to.deep.equal([]);
    expect(crashes.size).to.equal(0);
  });

  // Whether the event loop sees such a connection open depends on how late it is.
  it("retracts the losses of a run whose connections are reset", async () => {
    isResetting = true;
    lose(PART);
    await timer.advance(CHECK_MILLISECONDS + OPENING_MILLISECONDS);
    expect(reportedDigests()).to.deep.equal([]);
    expect(crashes.size).to.equal(0);
  });

  // Such a loss was reported to peers as a crash, and blocked sound parts.
  it("confirms no loss of a living run that came during a check", async () => {
    await loseDuringCheck();
    await timer.advance(10 * CHECK_MILLISECONDS);
    expect(reportedDigests()).to.deep.equal([]);
    expect(crashes.size).to.equal(0);
    expect(connections).to.equal(2);
  });

  it("confirms a loss that came during a check once the run has ended", async () => {
    isListening = false;
    await loseDuringCheck();
    await timer.advance(10 * CHECK_MILLISECONDS);
    expect(reportedDigests()).to.deep.equal([PART, OTHER_PART].sort());
  });
});
