import { expect } from "chai";
import {
  ForwardingHarness,
  type RecordingSink,
} from "../../../test/support/forwarding_harness.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import type { ForwardingConfiguration } from "../../core/forwarding/mod.ts";
import { identifier, type WorkspaceId } from "../../core/identity/mod.ts";

const TARGET_MILLISECONDS = 400;
const WORKSPACES = ["large", "small"];
const LARGE = identifier<WorkspaceId>("large");

function configuration(
  workspaces: readonly string[],
  version = 1,
): ForwardingConfiguration {
  return makeConfiguration({
    version,
    routes: [makeRoute({
      repeat: "stream",
      targetMilliseconds: TARGET_MILLISECONDS,
      shares: [{ pool: ENGINES, weight: 1 }],
    })],
    workspaces: workspaces.map((id) => ({
      id: identifier<WorkspaceId>(id),
      keys: [identifier(id)],
    })),
  });
}

describe("fair shares of workspaces", () => {
  let harness: ForwardingHarness;
  const engine = makeEngine("prefill", "prefill");

  beforeEach(() => {
    harness = new ForwardingHarness(configuration(WORKSPACES));
    harness.dependencies.registry.upsert(engine);
    harness.dependencies.registry.upsert(makeEngine("decode", "decode"));
    // "large" has got nearly everything while "small" was refused.
    const shares = harness.dependencies.shares.forPool(ENGINES);
    shares.recordAsked(LARGE, { milliseconds: 3_000, rank: 0 });
    shares.record(LARGE, 900);
    shares.recordAsked(identifier("small"), { milliseconds: 500, rank: 0 });
  });

  function reportLoad(workFactor: number | undefined): void {
    harness.dependencies.loadReports.record(engine, {
      running: 0,
      waiting: 0,
      slots: 32,
      workFactor,
      sentAt: 0,
      receivedAt: 0,
    });
  }

  function occupy(milliseconds: number, { id } = engine) {
    return harness.dependencies.load.started(id, {
      milliseconds,
      tokens: 0,
    });
  }

  function submit(
    workspace: string,
    subject = "s",
    own = 3_000,
  ): Promise<RecordingSink> {
    return harness.submit(makeRequest({
      deadlineMilliseconds: 800,
      credentials: { kind: "key", digest: identifier(workspace) },
      prompt: makePrompt(`${workspace}-${subject}`, { own }),
    }));
  }

  // Without a work factor the pool has not asked for fair shares.
  it("are not applied where engines send no work factor", async () => {
    reportLoad(undefined);
    occupy(100);
    await submit("large");
    expect(harness.sent).to.have.length(1);
  });

  it("make a large workspace wait while the engine has other work", async () => {
    reportLoad(1);
    const work = occupy(100);
    const large = await submit("large");
    expect(harness.sent).to.have.length(0);
    await submit("small");
    expect(harness.sent).to.have.length(1);
    work.end();
    await harness.timer.advance(45);
    expect(large.refusal).to.equal(undefined);
    expect(harness.sent).to.have.length(2);
  });

  // Refusing a caller while an engine is idle helps nobody.
  it("never keep an idle engine idle", async () => {
    reportLoad(1);
    await submit("large");
    expect(harness.sent).to.have.length(1);
  });

  // The engines become idle between two polls of the queue, which still holds
  // the first prompt when the second arrives.
  it("refuse none of two prompts for two engines that have become idle", async () => {
    reportLoad(1);
    const second = makeEngine("second", "prefill");
    harness.dependencies.registry.upsert(second);
    const works = [engine, second].map((each) => occupy(100, each));
    const one = await submit("large", "one", 12_000);
    for (const work of works) work.end();
    const other = await submit("large", "other", 12_000);
    await harness.timer.advance(25);
    expect([one.refusal, other.refusal]).to.deep.equal([undefined, undefined]);
    expect(harness.sent).to.have.length(2);
  });

  it("refuse after an eighth of the target, and say whose turn it is", async () => {
    reportLoad(1);
    occupy(100);
    const large = await submit("large");
    await harness.timer.advance(TARGET_MILLISECONDS / 8 + 20);
    expect(large.refusal?.status).to.equal(503);
    expect(harness.sent).to.have.length(0);
    const refused = harness.decisions.find(({ decision }) =>
      decision === "refused"
    );
    expect(refused).to.include({
      reason: "above_share",
      workspace: "large",
      workspacePercent: 100,
      sends: 0,
    });
  });

  // The caller has lost its key; its prompt must not reach an engine later, and
  // those behind it must not wait for it.
  it("refuse a held prompt at once when its key is removed", async () => {
    reportLoad(1);
    const work = occupy(500);
    const small = await submit("small");
    expect(harness.dependencies.held.count).to.equal(1);
    harness.applyConfiguration(configuration(["large"], 2));
    await harness.timer.advance(25);
    expect(small.refusal).to.include({ status: 401, reason: "key_removed" });
    expect(harness.dependencies.held.count).to.equal(0);
    work.end();
    await harness.timer.advance(100);
    expect(harness.sent).to.have.length(0);
  });

  // Both prompts are late. The engine has time for one of them before their
  // callers give up.
  it("refuse at once what a smaller workspace displaces", async () => {
    reportLoad(1);
    occupy(500);
    const { dependencies } = harness;
    // Work that is on time leaves a twentieth of the engine.
    dependencies.onTimeWork.recordStarted(1_000);
    const large = await submit("large");
    expect(dependencies.held.count).to.equal(1);
    const small = await submit("small");
    expect(large.refusal).to.include({ status: 503, reason: "displaced" });
    expect(small.refusal).to.equal(undefined);
    expect(dependencies.held.count).to.equal(1);
  });

  // Callers don't honor a retry time beyond a third of their remaining time.
  it("give successive retry times that callers honor", async () => {
    reportLoad(1);
    occupy(900);
    const callers: RecordingSink[] = [];
    for (let index = 0; index < 8; index++) {
      callers.push(await submit("small", `s${index}`));
    }
    const times = callers.map(({ refusal }) =>
      refusal?.retryAfterMilliseconds ?? 0
    );
    for (const time of times) expect(time).to.be.within(20, 800 / 3);
    expect(times[1]).to.be.greaterThan(times[0]);
    expect(times[3]).to.be.greaterThan(times[1]);
    const reports = harness.dependencies.returningCallers.takeUnreported();
    expect(reports[0][2]).to.equal(Math.round(times[0]));
  });
});
