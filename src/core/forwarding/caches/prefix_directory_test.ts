import { expect } from "chai";
import { makePrompt } from "../../../../test/support/forwarding_fixtures.ts";
import { type EndpointId, identifier } from "../../identity/mod.ts";
import { PrefixDirectory } from "../mod.ts";

describe("PrefixDirectory", () => {
  const engine = identifier<EndpointId>("engine");
  let prefixes: PrefixDirectory;

  beforeEach(() => {
    prefixes = new PrefixDirectory();
  });

  function record(subject: string, memoryTokens = 100_000): void {
    const { parts } = makePrompt(subject);
    prefixes.recordCached({ engine, parts, memoryTokens });
  }

  it("finds the prefix that two prompts share", () => {
    record("river");
    const again = [...makePrompt("river").parts.slice(0, 2), {
      id: "new",
      tokens: 3_000,
    }];
    expect(prefixes.keptTokens(engine, again)).to.equal(6_000);
    expect(prefixes.keptTokens(engine, makePrompt("hill").parts))
      .to.equal(3_000);
  });

  it("counts nothing after a missing part", () => {
    record("river");
    const [, subject, own] = makePrompt("river").parts;
    const parts = [{ id: "other", tokens: 3_000 }, subject, own];
    expect(prefixes.keptTokens(engine, parts)).to.equal(0);
  });

  // Evicting for ever freezes the entry, with all requests that it has open.
  it("ends evicting where the engine's memory is below 0", () => {
    record("river", -1e308);
    expect(prefixes.keptTokens(engine, makePrompt("river").parts)).to.equal(0);
  });

  // An engine's memory holds some tens of subjects. Without a bound the entry
  // would send prompts to engines that evicted their parts long ago.
  it("evicts the least recently used part", () => {
    for (const subject of ["one", "two", "three"]) record(subject, 20_000);
    expect(prefixes.keptTokens(engine, makePrompt("one").parts))
      .to.equal(3_000);
    expect(prefixes.keptTokens(engine, makePrompt("three").parts))
      .to.equal(9_000);
  });

  it("reports each prompt of its own once, and none of its peers", () => {
    record("river");
    prefixes.recordPeerCached({
      engine,
      parts: makePrompt("hill").parts,
      memoryTokens: 100_000,
    });
    expect(prefixes.takeUnreported()).to.have.length(1);
    expect(prefixes.takeUnreported()).to.have.length(0);
  });
});
