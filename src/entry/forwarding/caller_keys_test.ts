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
    const bench = new ForwardingHarness(configuration);
    bench.parts.registry.upsert(makeEndpoint("a"));
    return bench;
  }

  it("identify the workspace to the endpoint and are not forwarded", async () => {
    const bench = portal(configurationFor([makeWorkspace()]));
    await bench.submit(
      makeRequest({ credentials: KEY, identityHeaders: IDENTITY }),
    );
    const [{ options, request }] = bench.sent;
    expect(options.workspace).to.equal("workspace");
    expect(request.identityHeaders).to.deep.equal([]);
  });

  it("are refused without a send if no workspace has them", async () => {
    const bench = portal(configurationFor([makeWorkspace({ keys: [] })]));
    const caller = await bench.submit(makeRequest({ credentials: KEY }));
    expect(caller.refusal).to.deep.equal({
      status: 401,
      reason: "unknown_key",
    });
    expect(bench.sent).to.deep.equal([]);
    expect(bench.decisions).to.deep.include({
      decision: "refused",
      requestId: "request-1",
      route: "",
      status: 401,
      reason: "unknown_key",
      version: 1,
    });
  });

  it("are not checked before the route, which may be 404", async () => {
    const bench = portal(configurationFor([], { pathPrefix: "/other/" }));
    const caller = await bench.submit(makeRequest());
    expect(caller.status).to.equal(404);
  });

  it("are optional on a public route, and not forwarded either", async () => {
    const bench = portal(configurationFor([], { isPublic: true }));
    await bench.submit(
      makeRequest({ credentials: KEY, identityHeaders: IDENTITY }),
    );
    const [{ options, request }] = bench.sent;
    expect(options.workspace).to.equal(undefined);
    expect(request.identityHeaders).to.deep.equal([]);
  });

  it("are forwarded unchanged if no workspaces are configured", async () => {
    const bench = portal(configurationFor(undefined));
    await bench.submit(makeRequest({ identityHeaders: IDENTITY }));
    expect(bench.sent[0].request.identityHeaders).to.deep.equal(IDENTITY);
  });

  it("prevent further sends once they are removed", async () => {
    const bench = portal(configurationFor([makeWorkspace()]));
    bench.parts.registry.upsert(makeEndpoint("b"));
    const caller = await bench.submit(makeRequest({ credentials: KEY }));
    bench.applyConfiguration(configurationFor([makeWorkspace({ keys: [] })]));
    await bench.sent[0].respondNotRun();
    expect(bench.sent).to.have.length(1);
    expect(caller.refusal).to.deep.equal({
      status: 401,
      reason: "key_removed",
    });
  });

  it("do not interrupt a response that has begun when they are removed", async () => {
    const bench = portal(configurationFor([makeWorkspace()]));
    const caller = await bench.submit(makeRequest({ credentials: KEY }));
    bench.applyConfiguration(configurationFor([]));
    await bench.sent[0].respond("case 7");
    expect(caller).to.deep.include({ status: 200, body: "case 7" });
  });

  describe("of a workspace with a rank", () => {
    it("send the workspace's rank to engines instead of the route's", async () => {
      const bench = new ForwardingHarness(configurationFor(
        [makeWorkspace({ rank: 1 })],
        { rank: 4, repeat: "stream", shares: [{ pool: ENGINES, weight: 1 }] },
      ));
      bench.parts.registry.upsert(makeEngine("reader", "prefill"));
      bench.parts.registry.upsert(makeEngine("maker", "decode"));
      await bench.submit(
        makeRequest({ credentials: KEY, prompt: makePrompt("a") }),
      );
      expect(bench.sent[0].options.priority).to.equal(1);
      await bench.sent[0].respond("handle");
      expect(bench.sent[1].options).to.deep.include({
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
      const bench = keyed();
      await bench.submit(makeRequest({ credentials: KEY }));
      await bench.timer.advance(40);
      await bench.sent[0].respond("case 7");
      expect(bench.began).to.deep.equal([["workspace", 0]]);
    });

    it("at an engine with its first byte", async () => {
      const bench = keyed({
        repeat: "stream",
        shares: [{ pool: ENGINES, weight: 1 }],
      });
      bench.parts.registry.upsert(makeEngine("maker", "decode"));
      const prompt = makePrompt("a", { shared: 20, own: 10 });
      await bench.submit(makeRequest({ credentials: KEY, prompt }));
      await bench.timer.advance(40);
      await bench.sent[0].respond("token");
      expect(bench.began).to.deep.equal([["workspace", 40]]);
    });

    it("once if it was sent twice", async () => {
      const bench = keyed({ repeat: "idempotent" });
      bench.parts.registry.upsert(makeEndpoint("b"));
      await bench.submit(makeRequest({ credentials: KEY }));
      await bench.sent[0].respond("", { status: 500 });
      await bench.sent[1].respond("case 7");
      expect(bench.began).to.deep.equal([["workspace", 0]]);
    });

    it("if its response was lost or its caller disconnected", async () => {
      const bench = keyed({ repeat: "once" });
      await bench.submit(makeRequest({ credentials: KEY }));
      await bench.sent[0].fail("exchange_lost");
      const caller = await bench.submit(makeRequest({ credentials: KEY }));
      caller.disconnect();
      expect(bench.began).to.have.length(2);
    });

    it("never if no endpoint ran it", async () => {
      const bench = keyed({ repeat: "once" });
      await bench.submit(makeRequest({ credentials: KEY }));
      await bench.sent[0].respondNotRun();
      await bench.submit(makeRequest({ credentials: KEY }));
      await bench.sent.at(-1)?.fail("exchange_not_sent");
      expect(bench.began).to.deep.equal([]);
    });
  });
});
