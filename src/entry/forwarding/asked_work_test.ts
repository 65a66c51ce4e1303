import { expect } from "chai";
import { ForwardingHarness } from "../../../test/support/forwarding_harness.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import type { Prompt } from "../../core/forwarding/mod.ts";

describe("the work that callers ask of a pool", () => {
  const prefillEngine = makeEngine("p", "prefill");
  const decodeEngine = makeEngine("d", "decode");
  const long = makePrompt("long", { shared: 0, own: 9_000 });
  let harness: ForwardingHarness;

  beforeEach(() => start({ workFactor: 1 }));

  /** Starts an entry with engines that report this work factor. */
  function start(report: { readonly workFactor?: number }): void {
    harness = new ForwardingHarness(makeConfiguration({
      routes: [makeRoute({
        repeat: "stream",
        targetMilliseconds: 300,
        shares: [{ pool: ENGINES, weight: 1 }],
      })],
    }));
    for (const engine of [prefillEngine, decodeEngine]) {
      harness.dependencies.registry.upsert(engine);
    }
    harness.dependencies.loadReports.record(prefillEngine, {
      running: 0,
      waiting: 0,
      slots: 32,
      ...report,
      sentAt: 0,
      receivedAt: 0,
    });
  }

  /** Submits a prompt; returns the totals of the pool without its name. */
  async function ask(prompt: Prompt): Promise<readonly unknown[]> {
    await harness.submit(makeRequest({ prompt }));
    const [row = []] = harness.dependencies.roleWork?.report() ?? [];
    return row.slice(1);
  }

  it("is prefill work where the prompt is handed over", async () => {
    const [prompts, prefill, inline, tokens, context, handedOver] = await ask(
      long,
    );
    expect([prompts, inline, tokens, handedOver]).to.deep.equal([
      1,
      0,
      100,
      100,
    ]);
    expect(prefill).to.be.within(20, 40);
    expect(context).to.equal(905);
  });

  it("is decode work where a decode engine prefills the prompt", async () => {
    const short = makePrompt("short", { shared: 0, own: 1_000 });
    const [prompts, prefill, inline, , , handedOver] = await ask(short);
    expect([prompts, prefill, handedOver]).to.deep.equal([1, 0, 0]);
    expect(inline).to.be.within(5, 10);
  });

  // Capacity is short. If refused prompts were left out, the plan would see no
  // more work than the engines do, and never give them more engines.
  it("includes refused prompts, but not their repetition", async () => {
    harness.dependencies.registry.upsert({ ...decodeEngine, leaving: true });
    harness.dependencies.registry.upsert({ ...prefillEngine, leaving: true });
    expect((await ask(long)).slice(0, 1)).to.deep.equal([1]);
    await harness.timer.advance(100);
    expect((await ask(long)).slice(0, 1)).to.deep.equal([1]);
    const other = makePrompt("other", { shared: 0, own: 9_000 });
    expect((await ask(other)).slice(0, 1)).to.deep.equal([2]);
  });

  it("includes prompts that are held until an engine is idle", async () => {
    harness.dependencies.load.started(prefillEngine.id, {
      milliseconds: 270,
      tokens: 1,
    });
    expect((await ask(long)).slice(0, 1)).to.deep.equal([1]);
    expect(harness.dependencies.held.count).to.equal(1);
  });

  it("is not recorded in pools without work factors", async () => {
    start({});
    expect(await ask(long)).to.deep.equal([]);
    expect(harness.sent).to.have.length(1);
  });
});
