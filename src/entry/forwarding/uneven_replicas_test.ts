import { expect } from "chai";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import {
  makeConfiguration,
  makeEndpoint,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import {
  type SimulatedReplica,
  SimulatedReplicas,
} from "../../../test/support/simulated_replicas.ts";
import type { EndpointLoadReport } from "../../core/forwarding/mod.ts";
import {
  type AvailabilityZoneId,
  identifier,
  numbered,
  type ProcessId,
  type ReplicaStartTime,
  type RequestId,
} from "../../core/identity/mod.ts";
import { rendezvousOrder } from "../../core/membership/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";

const ENTRIES = 23;
const ZONES = 4;
const SPEEDS = [0.55, 0.8, 1, 1.2];
const TARGET_MILLISECONDS = 148;
const TIMEOUT_MILLISECONDS = 1_570;
const WARM_UP_MILLISECONDS = 1_500;
const TROUBLE_FACTOR = 2.5;

interface ServiceOptions {
  readonly speeds?: readonly number[];
  /** False: today's placement, as in a pool that sends three figures. */
  readonly hasFactors?: boolean;
  readonly lossRate?: number;
}

/** Callers, entries and the uneven replicas of a plain service. */
class UnevenService {
  readonly fleet: EntryFleet;
  readonly simulated: SimulatedReplicas;
  readonly replicas: SimulatedReplica[];
  /** Entries that get no requests from callers. */
  readonly avoided = new Set<number>();
  readonly #random = seededRandom(9);
  #count = 0;

  constructor(options: ServiceOptions = {}) {
    const { hasFactors, lossRate, speeds = SPEEDS } = options;
    const route = makeRoute({
      repeat: "once",
      mostAttempts: 1,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    this.fleet = new EntryFleet({
      entries: ENTRIES,
      zones: ZONES,
      lossRate,
      configuration: makeConfiguration({ routes: [route] }),
      endpoints: speeds.map((_, index) => makeReplica(index, 1)),
    });
    this.simulated = new SimulatedReplicas(this.fleet, { hasFactors });
    this.replicas = speeds.map((speed, index) => {
      const jitter = seededRandom(index);
      const factor = () => 0.8 + 0.4 * jitter();
      return this.simulated.add(`replica-${index}`, { speed, factor });
    });
  }

  /** Sends requests for this long; returns the share of responses on time. */
  async run(rate: number, milliseconds: number): Promise<number> {
    const { timer } = this.fleet;
    if (timer.now() === 0) await timer.advance(WARM_UP_MILLISECONDS);
    let asked = 0;
    let onTime = 0;
    for (let passed = 0; passed < milliseconds; passed++) {
      if (this.#random() < rate / 1_000) {
        asked += 1;
        this.#ask(() => onTime += 1);
      }
      await timer.advance(1);
    }
    await timer.advance(TARGET_MILLISECONDS);
    return onTime / asked;
  }

  /** Sends requests for this long; returns each replica's share of them. */
  async shares(rate: number, milliseconds: number): Promise<number[]> {
    const { received } = this.simulated;
    received.clear();
    await this.run(rate, milliseconds);
    const counts = this.replicas.map((_, index) =>
      received.get(`replica-${index}`) ?? 0
    );
    const total = counts.reduce((sum, count) => sum + count, 0);
    return counts.map((count) => count / total);
  }

  /** Index of the entry that owns the replica. */
  ownerOf(replica: number): number {
    const entries = this.fleet.entries.map((_, index) => ({
      id: identifier<ProcessId>(`entry-${index}`),
    }));
    const [owner] = rendezvousOrder(entries, `replica-${replica}`);
    return entries.indexOf(owner);
  }

  restart(replica: number): void {
    for (const { registry } of this.fleet.entries) {
      registry.upsert(makeReplica(replica, 2));
    }
  }

  #ask(onTime: () => void): void {
    this.#count += 1;
    let entry = Math.floor(ENTRIES * this.#random());
    while (this.avoided.has(entry)) entry = (entry + 1) % ENTRIES;
    const { timer } = this.fleet;
    const arrived = timer.now();
    const sink = this.fleet.submit(
      entry,
      makeRequest({
        id: identifier<RequestId>(`request-${this.#count}`),
        deadlineMilliseconds: TIMEOUT_MILLISECONDS,
      }),
    );
    sink.finish = () => {
      const isOnTime = sink.status === 200 &&
        timer.now() - arrived <= TARGET_MILLISECONDS;
      if (isOnTime) onTime();
    };
  }
}

function makeReplica(index: number, run: number) {
  return makeEndpoint(`replica-${index}`, {
    startedAt: numbered<ReplicaStartTime>(run),
    availabilityZone: identifier<AvailabilityZoneId>(`zone-${index % ZONES}`),
  });
}

describe("placement at uneven replicas", () => {
  const service = (options?: ServiceOptions) => new UnevenService(options);

  describe("under load", () => {
    for (const rate of [123, 300, 450]) {
      // Slow replicas would get as many requests as fast ones, and fill up.
      it(`has more responses on time than by open requests, at ${rate}/s`, async () => {
        const today = await service({ hasFactors: false }).run(rate, 5_000);
        const now = await service().run(rate, 5_000);
        expect(now).to.be.greaterThan(0.96);
        expect(now).to.be.at.least(today);
      });
    }

    // Entries see each other's requests late and would all choose the replica
    // that was idle last.
    it("does not herd requests at the fastest replica", async () => {
      const uneven = service();
      let longest = 0;
      uneven.fleet.timer.every(1, () => {
        const queues = uneven.replicas.map(({ waiting }) => waiting.length);
        longest = Math.max(longest, ...queues);
      });
      const shares = await uneven.shares(300, 5_000);
      expect(longest).to.be.lessThan(12);
      expect(Math.max(...shares)).to.be.within(0.3, 0.6);
    });

    it("never runs a request twice that may run only once", async () => {
      const uneven = service();
      await uneven.run(900, 3_000);
      expect(uneven.simulated.rejected).to.be.greaterThan(0);
      expect(Math.max(...uneven.simulated.runs.values())).to.equal(1);
    });
  });

  describe("when reports fail", () => {
    const failures: Record<
      string,
      (service: UnevenService) => (
        load: EndpointLoadReport,
      ) => EndpointLoadReport | undefined
    > = {
      "nine of ten are lost": () => {
        const random = seededRandom(4);
        return (load) => random() < 0.9 ? undefined : load;
      },
      "they are late by two seconds": ({ fleet: { timer } }) => {
        const history: [number, EndpointLoadReport][] = [];
        return (load) => {
          history.push([timer.now(), load]);
          while (history[0][0] < timer.now() - 2_000) history.shift();
          return history[0][1];
        };
      },
      "they are constant": () => (load) => ({
        ...load,
        running: 0,
        waiting: 0,
        workFactor: 1,
      }),
    };
    for (const [what, intercept] of Object.entries(failures)) {
      it(`responds on time, where ${what}`, async () => {
        const uneven = service();
        uneven.simulated.intercept = intercept(uneven);
        uneven.replicas[3].factor = () => TROUBLE_FACTOR;
        const onTime = await uneven.run(250, 5_000);
        expect(onTime).to.be.greaterThan(0.97);
      });
    }
  });

  describe("when replicas fail", () => {
    it("avoids one that reports no running requests while it stalls", async () => {
      const uneven = service();
      await uneven.run(200, 2_000);
      uneven.replicas[3].isStalled = true;
      uneven.replicas[3].running.clear();
      await uneven.run(200, 500);
      const shares = await uneven.shares(200, 1_000);
      expect(shares[3]).to.be.lessThan(0.06);
      expect(await uneven.run(200, 1_000)).to.be.greaterThan(0.95);
    });

    it("avoids one that reports the usual factor while it is slow", async () => {
      const uneven = service();
      uneven.replicas[3].reportedFactor = 1;
      const [, , , before] = await uneven.shares(200, 3_000);
      uneven.replicas[3].factor = () => 4;
      await uneven.run(200, 4_000);
      const [, , , after] = await uneven.shares(200, 3_000);
      expect(after).to.be.lessThan(before / 3);
    });

    // Entries of the zone prefer it, and their requests would queue there.
    it("leaves a zone whose replicas are all slow, and returns to it", async () => {
      const uneven = service({ speeds: [1, 1, 1, 1, 1, 1, 1, 1] });
      const inZone = [uneven.replicas[0], uneven.replicas[4]];
      const usual = inZone.map(({ factor }) => factor);
      const zoneShare = async () => {
        const shares = await uneven.shares(300, 2_000);
        return shares[0] + shares[4];
      };
      for (const each of inZone) each.factor = () => TROUBLE_FACTOR;
      await uneven.run(300, 1_000);
      expect(await uneven.run(300, 2_000)).to.be.greaterThan(0.97);
      expect(await zoneShare()).to.be.lessThan(0.08);
      inZone.forEach((each, index) => each.factor = usual[index]);
      await uneven.run(300, 6_000);
      expect(await zoneShare()).to.be.greaterThan(0.18);
    });

    it("drops what it knows of a replica that restarts under its id", async () => {
      const uneven = service();
      uneven.replicas[3].factor = () => 8;
      await uneven.run(200, 3_000);
      uneven.replicas[3].factor = () => 1;
      uneven.restart(3);
      const shares = await uneven.shares(200, 500);
      expect(shares[3]).to.be.greaterThan(0.2);
    });
  });

  describe("when the owner of a replica fails", () => {
    const outages = {
      "is cut off": { hasCallers: true },
      "dies, or freezes for seconds": { hasCallers: false },
    };
    for (const [what, { hasCallers }] of Object.entries(outages)) {
      it(`responds on time while it ${what}, and after`, async () => {
        const uneven = service();
        await uneven.run(300, 2_000);
        const owner = uneven.ownerOf(3);
        uneven.fleet.partitioned.add(owner);
        if (!hasCallers) uneven.avoided.add(owner);
        const during = await uneven.run(300, 4_000);
        uneven.fleet.partitioned.clear();
        uneven.avoided.clear();
        const after = await uneven.run(300, 2_000);
        expect(during).to.be.greaterThan(0.97);
        expect(after).to.be.greaterThan(0.97);
      });
    }

    it("responds on time where a fifth of all datagrams is lost", async () => {
      const onTime = await service({ lossRate: 0.2 }).run(300, 4_000);
      expect(onTime).to.be.greaterThan(0.97);
    });
  });
});
