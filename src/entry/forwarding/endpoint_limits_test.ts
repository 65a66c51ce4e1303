import { expect } from "chai";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import {
  makeConfiguration,
  makeEndpoint,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import type { RecordingSink } from "../../../test/support/forwarding_harness.ts";
import { LimitedEndpoints } from "../../../test/support/limited_endpoints.ts";
import { identifier, type RequestId } from "../../core/identity/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";

const REPLICAS = ["a", "b", "c", "d"];

interface LoadOptions {
  readonly milliseconds: number;
  readonly requestsPerSecond: number;
}

/** Entries with uneven traffic before endpoints that name limits. */
class LimitScenario {
  readonly fleet: EntryFleet;
  readonly endpoints: LimitedEndpoints;
  readonly #random = seededRandom(45);
  #lastId = 0;

  constructor(options: { readonly entries: number }) {
    this.fleet = new EntryFleet({
      entries: options.entries,
      zones: 1,
      configuration: makeConfiguration({ routes: [makeRoute()] }),
      endpoints: REPLICAS.map((id) => makeEndpoint(id)),
    });
    this.endpoints = new LimitedEndpoints(this.fleet);
  }

  /** Sends requests for this long; returns the sinks of their callers. */
  async run(
    { milliseconds, requestsPerSecond }: LoadOptions,
  ): Promise<readonly RecordingSink[]> {
    const sinks: RecordingSink[] = [];
    for (let passed = 0; passed < milliseconds; passed += 1) {
      if (this.#random() < requestsPerSecond / 1_000) sinks.push(this.#ask());
      await this.fleet.timer.advance(1);
    }
    return sinks;
  }

  #ask(): RecordingSink {
    this.#lastId += 1;
    const id = identifier<RequestId>(`request-${this.#lastId}`);
    // The square makes the first entries get most of the requests.
    const entry = Math.floor(
      this.#random() ** 2 * this.fleet.entries.length,
    );
    return this.fleet.submit(entry, makeRequest({ id }));
  }
}

describe("an endpoint's request limit", () => {
  // Guards against entries that pass a limit on without keeping to it.
  it("holds for the requests of all entries together", async () => {
    const scenario = new LimitScenario({ entries: 5 });
    const load = { milliseconds: 1_000, requestsPerSecond: 120 };
    await scenario.run(load);
    scenario.endpoints.setLimit("a", 10);
    await scenario.run({ ...load, milliseconds: 12_000 });
    const { allowed, arrivals } = scenario.endpoints.worstWindow("a");
    expect(arrivals).to.be.at.most(allowed);
  });
});
