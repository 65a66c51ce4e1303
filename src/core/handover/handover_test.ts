import { expect } from "chai";
import type { EngineCharacteristics } from "../../generated/inventory.ts";
import { fewestTokensToHandOver } from "./mod.ts";

const ENGINE: EngineCharacteristics = {
  slots: 8,
  prefillTokensPerSecond: 8_000,
  millisecondsBetweenTokens: 20,
  keyValueCacheTokens: 100_000,
  roleChangeSeconds: 5,
  exportsKeyValueCache: true,
  keyValueCacheBytesPerToken: 131_072,
  keyValueCacheBytesPerSecond: 10e9,
};

describe("fewestTokensToHandOver", () => {
  it("is where the saved prefill pays for transfer and calls", () => {
    const fewest = fewestTokensToHandOver(ENGINE) as number;
    const made = fewest / 8_000 * 1_000;
    const sent = fewest * 131_072 / 10e9 * 1_000;
    expect(made - sent).to.be.within(20, 20.2);
  });

  // The engines stand on a thin network. Taking the cache along would keep the
  // caller waiting longer than making it anew.
  it("is never where the transfer is slower than the prefill", () => {
    const thin = { ...ENGINE, keyValueCacheBytesPerSecond: 1e9 };
    expect(fewestTokensToHandOver(thin)).to.equal(undefined);
  });

  it("is never where the engines can't or the register does not say", () => {
    const cannot = { ...ENGINE, exportsKeyValueCache: false };
    const unsaid = { ...ENGINE, keyValueCacheBytesPerToken: undefined };
    expect(fewestTokensToHandOver(cannot)).to.equal(undefined);
    expect(fewestTokensToHandOver(unsaid)).to.equal(undefined);
    expect(fewestTokensToHandOver(undefined)).to.equal(undefined);
  });
});
