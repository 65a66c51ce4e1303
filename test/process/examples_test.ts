import { readdirSync, readFileSync } from "node:fs";
import { expect } from "chai";
import { parse } from "smol-toml";
import type { Inventory } from "../../src/generated/inventory.ts";
import {
  loadConfiguration,
  loadSettings,
} from "../../src/adapters/settings/mod.ts";

const REPLICA_COUNTS: Readonly<
  Record<string, Readonly<Record<string, number>>>
> = {
  koperasi: { "triage-llm": 10, "member-portal": 3 },
  federatie: { "relining-assistant": 6, "member-portal": 4 },
};

describe("The example deployments", () => {
  for (const [name, pools] of Object.entries(REPLICA_COUNTS)) {
    describe(name, () => {
      const folder = `examples/${name}`;

      it("has a valid inventory and rules", () => {
        const content = loadConfiguration({
          inventory: `${folder}/inventory.toml`,
          rules: `${folder}/rules.toml`,
        });
        expect(content.isOk() || content.error).to.equal(true);
      });

      it("has the specified replica counts, spread over all availability zones", () => {
        const inventory = parse(
          readFileSync(`${folder}/inventory.toml`, "utf8"),
        ) as unknown as Inventory;
        const counts = Object.fromEntries(
          inventory.pools.map((pool) => [pool.name, pool.endpoints.length]),
        );
        expect(counts).to.deep.equal(pools);
        for (const { endpoints } of inventory.pools) {
          const zones = new Set(endpoints.map((each) => each.availabilityZone));
          expect([...zones]).to.have.members(inventory.availabilityZones);
        }
      });

      // A side that is started with the settings of another endpoint would
      // serve that endpoint, so the inventory and the settings must name the
      // same ones.
      it("has settings for each process that the inventory names", () => {
        const inventory = parse(
          readFileSync(`${folder}/inventory.toml`, "utf8"),
        ) as unknown as Inventory;
        const expectedSides = inventory.pools.flatMap((pool) =>
          pool.endpoints.map((each) => `${each.id} at ${each.side}`)
        );
        const settings = readdirSync(`${folder}/sides`).map((file) =>
          loadSettings(`${folder}/sides/${file}`, "side")._unsafeUnwrap()
        ).map(({ endpoint, peers }) =>
          `${endpoint} at ${peers.host}:${peers.port}`
        );
        expect(settings).to.have.members(expectedSides);
        for (const file of readdirSync(`${folder}/entries`)) {
          loadSettings(`${folder}/entries/${file}`, "entry")._unsafeUnwrap();
        }
        loadSettings(`${folder}/operator.toml`, "operator")._unsafeUnwrap();
      });
    });
  }
});
