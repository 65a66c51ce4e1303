import { expect } from "chai";
import type { EngineCharacteristics } from "../../generated/inventory.ts";
import { minTransferTokens } from "./mod.ts";

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

describe("Minimum tokens of a cache transfer", () => {
  it("is where the prefill saved equals transfer and calls", () => {
    const minimum = minTransferTokens(ENGINE) as number;
    const prefillMilliseconds = minimum / 8_000 * 1_000;
    const transferMilliseconds = minimum * 131_072 / 10e9 * 1_000;
    expect(prefillMilliseconds - transferMilliseconds).to.be.within(20, 20.2);
  });

  // The engines are connected by a slow network. Transferring the cache would
  // keep the caller waiting longer than computing it again.
  it("is undefined where the transfer is slower than the prefill", () => {
    const slowNetwork = { ...ENGINE, keyValueCacheBytesPerSecond: 1e9 };
    expect(minTransferTokens(slowNetwork)).to.equal(undefined);
  });

  it("is undefined without engine support or inventory figures", () => {
    const withoutExport = { ...ENGINE, exportsKeyValueCache: false };
    const withoutFigures = { ...ENGINE, keyValueCacheBytesPerToken: undefined };
    expect(minTransferTokens(withoutExport)).to.equal(undefined);
    expect(minTransferTokens(withoutFigures)).to.equal(undefined);
    expect(minTransferTokens(undefined)).to.equal(undefined);
  });
});
