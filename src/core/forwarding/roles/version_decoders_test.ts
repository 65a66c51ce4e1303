import { expect } from "chai";
import { makeEngine } from "../../../../test/support/forwarding_fixtures.ts";
import {
  type EndpointId,
  identifier,
  type SoftwareVersion,
} from "../../identity/mod.ts";
import { ManualTimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";
import { VersionDecoders } from "./version_decoders.ts";

function engine(
  id: string,
  version: string,
  role: "prefill" | "decode",
): RegisteredEndpoint {
  const softwareVersion = identifier<SoftwareVersion>(version);
  return makeEngine(id, role, { softwareVersion });
}

describe("VersionDecoders", () => {
  const decoder = engine("a", "v1", "decode");
  const prefillers = [
    engine("b", "v1", "prefill"),
    engine("c", "v1", "prefill"),
  ];
  const newer = [engine("d", "v2", "decode"), engine("e", "v2", "prefill")];
  let timer: ManualTimerService;
  let decoders: VersionDecoders;

  beforeEach(() => {
    timer = new ManualTimerService();
    decoders = new VersionDecoders(timer);
  });

  function optionsFor(engines: readonly RegisteredEndpoint[]) {
    return {
      engines,
      openRequests: (id: EndpointId) => id === "b" ? 5 : 0,
      changing: new Map<EndpointId, "prefill" | "decode">(),
    };
  }

  // The streams of the version could not go on, though two engines serve.
  it("turns a prefill engine of a version whose decoders are gone", () => {
    const before = optionsFor([decoder, ...prefillers, ...newer]);
    expect(decoders.plan(before)).to.deep.equal([]);
    const after = optionsFor([...prefillers, ...newer]);
    expect(
      decoders.plan(after).map(({ endpoint, role }) => [endpoint.id, role]),
    )
      .to.deep.equal([["c", "decode"]]);
    after.changing.set(identifier<EndpointId>("c"), "decode");
    expect(decoders.plan(after)).to.deep.equal([]);
  });

  it("changes nothing for a version that has written no stream lately", async () => {
    expect(decoders.plan(optionsFor([...prefillers, ...newer])))
      .to.deep.equal([]);
    decoders.plan(optionsFor([decoder, ...prefillers, ...newer]));
    await timer.advance(30_000);
    expect(decoders.plan(optionsFor([...prefillers, ...newer])))
      .to.deep.equal([]);
  });

  it("changes nothing for a single version or a single engine", () => {
    decoders.plan(optionsFor([decoder, ...prefillers, ...newer]));
    expect(decoders.plan(optionsFor(prefillers))).to.deep.equal([]);
    expect(decoders.plan(optionsFor([prefillers[0], ...newer])))
      .to.deep.equal([]);
  });

  it("keeps the last decoder of a version", () => {
    const second = engine("f", "v2", "decode");
    const options = optionsFor([decoder, ...prefillers, ...newer, second]);
    const changes = [decoder, newer[0], second].map((endpoint) => ({
      endpoint,
      role: "prefill" as const,
    }));
    const retained = decoders.retain(changes, options);
    expect(retained.map(({ endpoint }) => endpoint.id)).to.deep.equal(["d"]);
  });
});
