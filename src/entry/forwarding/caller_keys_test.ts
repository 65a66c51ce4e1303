import { expect } from "chai";
import { ForwardingHarness } from "../../../test/support/forwarding_harness.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import type {
  Credentials,
  ForwardingConfiguration,
  Route,
  WorkspaceKeys,
} from "../../core/forwarding/mod.ts";
import { identifier, type WorkspaceId } from "../../core/identity/mod.ts";

const KEY: Credentials = { kind: "key", digest: identifier("digest") };
const IDENTITY = ["Authorization", "Bearer secret", "X-Workspace", "forged"];

function makeWorkspace(values: Partial<WorkspaceKeys> = {}): WorkspaceKeys {
  return {
    id: identifier<WorkspaceId>("workspace"),
    keys: [identifier("digest")],
    ...values,
  };
}

function configurationFor(
  workspaces: readonly WorkspaceKeys[] | undefined,
  route: Partial<Route> = {},
): ForwardingConfiguration {
  return makeConfiguration({ routes: [makeRoute(route)], workspaces });
}

describe("callers' keys", () => {
  function portal(configuration: ForwardingConfiguration): ForwardingHarness {
    const harness = new ForwardingHarness(configuration);
    harness.dependencies.registry.upsert(makeEndpoint("a"));
    return harness;
  }

  it("identify the workspace to the endpoint and are not forwarded", async () => {
    const harness = portal(configurationFor([makeWorkspace()]));
    await harness.submit(
      makeRequest({ credentials: KEY, identityHeaders: IDENTITY }),
    );
    const [{ options, request }] = harness.sent;
    expect(options.workspace).to.equal("workspace");
    expect(request.identityHeaders).to.deep.equal([]);
  });

  it("are refused without a send if no workspace has them", async () => {
    const harness = portal(configurationFor([makeWorkspace({ keys: [] })]));
    const caller = await harness.submit(makeRequest({ credentials: KEY }));
    expect(caller.refusal).to.deep.equal({
      status: 401,
      reason: "unknown_key",
    });
    expect(harness.sent).to.deep.equal([]);
    expect(harness.decisions).to.deep.include({
      decision: "refused",
      requestId: "request-1",
      route: "",
      status: 401,
      reason: "unknown_key",
      version: 1,
    });
  });

  it("are not checked before the route, which may be 404", async () => {
    const harness = portal(configurationFor([], { pathPrefix: "/other/" }));
    const caller = await harness.submit(makeRequest());
    expect(caller.status).to.equal(404);
  });

  it("are optional on a public route, and not forwarded either", async () => {
    const harness = portal(configurationFor([], { isPublic: true }));
    await harness.submit(
      makeRequest({ credentials: KEY, identityHeaders: IDENTITY }),
    );
    const [{ options, request }] = harness.sent;
    expect(options.workspace).to.equal(undefined);
    expect(request.identityHeaders).to.deep.equal([]);
  });

  it("are forwarded unchanged if no workspaces are configured", async () => {
    const harness = portal(configurationFor(undefined));
    await harness.submit(makeRequest({ identityHeaders: IDENTITY }));
    expect(harness.sent[0].request.identityHeaders).to.deep.equal(IDENTITY);
  });

  it("prevent further sends once they are removed", async () => {
    const harness = portal(configurationFor([makeWorkspace()]));
    harness.dependencies.registry.upsert(makeEndpoint("b"));
    const caller = await harness.submit(makeRequest({ credentials: KEY }));
    harness.applyConfiguration(configurationFor([makeWorkspace({ keys: [] })]));
    await harness.sent[0].respondNotRun();
    expect(harness.sent).to.have.length(1);
    expect(caller.refusal).to.deep.equal({
      status: 401,
      reason: "key_removed",
    });
  });

  it("do not interrupt a response that has begun when they are removed", async () => {
    const harness = portal(configurationFor([makeWorkspace()]));
    const caller = await harness.submit(makeRequest({ credentials: KEY }));
    harness.applyConfiguration(configurationFor([]));
    await harness.sent[0].respond("case 7");
    expect(caller).to.deep.include({ status: 200, body: "case 7" });
  });

  describe("of a workspace with a rank", () => {
    it("send the workspace's rank to engines instead of the route's", async () => {
      const harness = new ForwardingHarness(configurationFor(
        [makeWorkspace({ rank: 1 })],
        { rank: 4, repeat: "stream", shares: [{ pool: ENGINES, weight: 1 }] },
      ));
      harness.dependencies.registry.upsert(makeEngine("reader", "prefill"));
      harness.dependencies.registry.upsert(makeEngine("maker", "decode"));
      await harness.submit(
        makeRequest({ credentials: KEY, prompt: makePrompt("a") }),
      );
      expect(harness.sent[0].options.priority).to.equal(1);
      await harness.sent[0].respond("handle");
      expect(harness.sent[1].options).to.deep.include({
        priority: 1,
        workspace: "workspace",
      });
    });
  });

  describe("count a request that started to run", () => {
    function keyed(values: Partial<Route> = {}): ForwardingHarness {
      return portal(configurationFor([makeWorkspace()], values));
    }

    it("at a plain service when it was sent", async () => {
      const harness = keyed();
      await harness.submit(makeRequest({ credentials: KEY }));
      await harness.timer.advance(40);
      await harness.sent[0].respond("case 7");
      expect(harness.started).to.deep.equal([["workspace", 0]]);
    });

    it("at an engine with its first byte", async () => {
      const harness = keyed({
        repeat: "stream",
        shares: [{ pool: ENGINES, weight: 1 }],
      });
      harness.dependencies.registry.upsert(makeEngine("maker", "decode"));
      const prompt = makePrompt("a", { shared: 20, own: 10 });
      await harness.submit(makeRequest({ credentials: KEY, prompt }));
      await harness.timer.advance(40);
      await harness.sent[0].respond("token");
      expect(harness.started).to.deep.equal([["workspace", 40]]);
    });

    it("once if it was sent twice", async () => {
      const harness = keyed({ repeat: "idempotent" });
      harness.dependencies.registry.upsert(makeEndpoint("b"));
      await harness.submit(makeRequest({ credentials: KEY }));
      await harness.sent[0].respond("", { status: 500 });
      await harness.sent[1].respond("case 7");
      expect(harness.started).to.deep.equal([["workspace", 0]]);
    });

    it("if its response was lost or its caller disconnected", async () => {
      const harness = keyed({ repeat: "once" });
      await harness.submit(makeRequest({ credentials: KEY }));
      await harness.sent[0].fail("exchange_lost");
      const caller = await harness.submit(makeRequest({ credentials: KEY }));
      caller.disconnect();
      expect(harness.started).to.have.length(2);
    });

    it("never if no endpoint ran it", async () => {
      const harness = keyed({ repeat: "once" });
      await harness.submit(makeRequest({ credentials: KEY }));
      await harness.sent[0].respondNotRun();
      await harness.submit(makeRequest({ credentials: KEY }));
      await harness.sent.at(-1)?.fail("exchange_not_sent");
      expect(harness.started).to.deep.equal([]);
    });
  });
});
