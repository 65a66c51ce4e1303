import { expect } from "chai";
import { EntryFleet } from "../../../test/support/entry_fleet.ts";
import {
  FailingReplicas,
  type ReplicaFault,
} from "../../../test/support/failing_replicas.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../../../test/support/forwarding_fixtures.ts";
import { ForwardingHarness } from "../../../test/support/forwarding_harness.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ProcessId,
  type ReplicaStartTime,
} from "../../core/identity/mod.ts";
import { LoadOwners } from "../../core/forwarding/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";

const CALLS = ["/once/x", "/often_failing/x"];

/** Entries in front of replicas of a plain service with one attempt each. */
class Scenario {
  readonly fleet: EntryFleet;
  readonly replicas: FailingReplicas;
  readonly #perSecond: number;

  constructor(
    { entries = 30, replicas = 40, rate = 15, seed }: {
      readonly seed?: number;
      readonly entries?: number;
      readonly replicas?: number;
      /** Requests per second for each replica. */
      readonly rate?: number;
    } = {},
  ) {
    const routes = ["once", "often_failing", "faulty"].map((name) =>
      makeRoute({ name, pathPrefix: `/${name}/`, repeat: "once" })
    );
    this.fleet = new EntryFleet({
      entries,
      seed,
      zones: 1,
      configuration: makeConfiguration({ routes }),
      endpoints: FailingReplicas.endpoints(replicas),
    });
    this.replicas = new FailingReplicas(this.fleet);
    this.replicas.kindRates.set("/often_failing/x", 0.14);
    this.replicas.kindRates.set("/once/x", 0.01);
    this.replicas.kindRates.set("/faulty/x", 1);
    this.#perSecond = rate * replicas;
  }

  run(
    milliseconds: number,
    options: Partial<Parameters<FailingReplicas["run"]>[0]> = {},
  ) {
    const perSecond = this.#perSecond;
    return this.replicas.run({
      milliseconds,
      perSecond,
      paths: CALLS,
      ...options,
    });
  }

  fail(index: number, fault: ReplicaFault = { share: 0.4 }): void {
    this.replicas.faults.set(`replica-${index}`, fault);
  }

  /** Attempts that each of these replicas gets in this time. */
  async attemptsIn(
    milliseconds: number,
    indexes: readonly number[],
  ): Promise<number[]> {
    this.replicas.attempts.clear();
    await this.run(milliseconds);
    return indexes.map((index) =>
      this.replicas.attempts.get(`replica-${index}`) ?? 0
    );
  }

  /** Time until all entries know a verdict on it, milliseconds. */
  async timeToVerdict(replica: number): Promise<number> {
    const id = identifier<EndpointId>(`replica-${replica}`);
    for (let passed = 0; passed < 3_000; passed += 20) {
      if (this.fleet.entries.every((each) => each.isTakenOut(id))) {
        return passed;
      }
      await this.run(20);
    }
    return Infinity;
  }

  /** Highest number of verdicts that an entry knows. */
  get takenOut(): number {
    const { entries } = this.fleet;
    return Math.max(...entries.map((each) => each.endpointsTakenOut));
  }

  /** Index of the entry that owns the replica while all entries live. */
  ownerOf(replica: number): number {
    const names = this.fleet.entries.map((_, index) =>
      identifier<ProcessId>(`entry-${index}`)
    );
    const timer = new ManualTimerService();
    const owners = new LoadOwners({ self: names[0], timer });
    owners.setMembers(names);
    for (const name of names.slice(1)) owners.recordMessage(name);
    const id = identifier<EndpointId>(`replica-${replica}`);
    return names.indexOf(owners.ownerOf(id));
  }
}

/** All entries have to know of a failing replica within half a second. */
const MAX_VERDICT_MILLISECONDS = 500;

function median(values: readonly number[]): number {
  return [...values].sort((one, other) => one - other)[values.length >> 1];
}

describe("Endpoint outcomes of a fleet", () => {
  describe("under load", () => {
    // With one attempt allowed, each failure of the replica is a caller's.
    for (const rate of [10, 20]) {
      it(`take out a failing replica at ${rate} requests a second`, async () => {
        const times: number[] = [];
        for (let replica = 0; replica < 9; replica++) {
          const scenario = new Scenario({ rate });
          await scenario.run(1_500 + 100 * replica);
          scenario.fail(replica);
          times.push(await scenario.timeToVerdict(replica));
        }
        expect(median(times)).to.be.at.most(MAX_VERDICT_MILLISECONDS);
      }).timeout(60_000);
    }

    it("take out five replicas that fail at once", async () => {
      const scenario = new Scenario();
      const failing = [0, 1, 2, 3, 4];
      await scenario.run(2_000);
      for (const index of failing) scenario.fail(index);
      await scenario.run(1_500);
      const attempts = await scenario.attemptsIn(4_000, failing);
      const share = attempts.reduce((sum, each) => sum + each, 0) /
        (5 * 15 * 4);
      expect(share).to.be.at.most(0.3);
    }).timeout(60_000);

    // One kind of request fails at every replica in 14 of 100 attempts.
    it("rarely take out a healthy replica", async () => {
      const scenario = new Scenario();
      let takenOut = 0;
      for (let step = 0; step < 50; step++) {
        await scenario.run(100);
        takenOut += scenario.takenOut;
      }
      expect(takenOut / 50).to.be.at.most(0.05 * 40);
    }).timeout(60_000);

    it("judge three replicas behind two entries", async () => {
      const scenario = new Scenario({ entries: 2, replicas: 3, rate: 20 });
      await scenario.run(2_000);
      scenario.fail(1, { share: 1 });
      await scenario.run(500);
      const [failing, ...others] = await scenario.attemptsIn(500, [1, 0, 2]);
      expect(failing).to.equal(0);
      expect(Math.min(...others)).to.be.above(0);
    });
  });

  // An engine breaks off streams; its response heads look good.
  it("take out an engine that breaks off its streams", async () => {
    const engines = Array.from(
      { length: 6 },
      (_, index) => makeEngine(`replica-${index}`, "decode"),
    );
    const fleet = new EntryFleet({
      entries: 6,
      zones: 1,
      configuration: makeConfiguration({
        routes: [makeRoute({
          repeat: "stream",
          mostAttempts: 1,
          shares: [{ pool: ENGINES, weight: 1 }],
        })],
      }),
      endpoints: engines,
    });
    const replicas = new FailingReplicas(fleet);
    const prompt = makePrompt("urgent", { shared: 40, own: 60 });
    const load = { perSecond: 90, paths: ["/x"], values: { prompt } };
    await replicas.run({ milliseconds: 1_500, ...load });
    replicas.faults.set("replica-2", { share: 0.6, kind: "cut" });
    await replicas.run({ milliseconds: 1_500, ...load });
    replicas.attempts.clear();
    await replicas.run({ milliseconds: 3_000, ...load });
    expect(replicas.attempts.get("replica-2") ?? 0).to.be.at.most(15);
    expect(replicas.attempts.get("replica-1")).to.be.above(30);
  }).timeout(60_000);

  // Many probes of a failing replica cost as much as no verdict.
  it("are probed by the owner alone, with one request at a time", async () => {
    const scenario = new Scenario();
    await scenario.run(1_500);
    scenario.fail(7, { share: 1 });
    await scenario.timeToVerdict(7);
    await scenario.run(100);
    const senders: number[] = [];
    const { onSend } = scenario.fleet;
    scenario.fleet.onSend = (attempt) => {
      const isFailing = String(attempt.options.endpoint) === "replica-7";
      if (isFailing) senders.push(attempt.entry);
      onSend?.(attempt);
    };
    await scenario.run(3_500);
    expect(senders).to.deep.equal([scenario.ownerOf(7), scenario.ownerOf(7)]);
  }).timeout(60_000);

  // A stream that was a probe runs on after the readmission. If its end counted
  // for a later probe, a recovered engine would stay out.
  it("count a long probe once, after it has run for a second", async () => {
    const harness = new ForwardingHarness(makeConfiguration());
    const { loadReports, outcomes, registry } = harness.dependencies;
    const endpoint = makeEndpoint("a");
    registry.upsert(endpoint);
    const load = { running: 1, waiting: 0, slots: 6, workFactor: 1 };
    loadReports.record(endpoint, { ...load, sentAt: 0, receivedAt: 0 });
    const request = { route: "route", isPrefill: false };
    const fail = () => {
      for (let count = 0; count < 6; count++) {
        outcomes.started(endpoint, request).end("failed");
      }
    };
    const probe = () => {
      outcomes.claimProbe([endpoint], { isRepeatable: true });
      return outcomes.started(endpoint, request);
    };
    fail();
    await harness.timer.advance(1_000);
    const first = probe();
    first.recordResponse();
    await harness.timer.advance(1_000);
    expect(outcomes.hasOwnVerdicts).to.equal(false);
    fail();
    await harness.timer.advance(2_000);
    const second = probe();
    first.end("failed");
    second.end("completed");
    expect(outcomes.hasOwnVerdicts).to.equal(false);
  });

  // A chance failure of the probe, or of the first work after it, must not take
  // it out again.
  for (const seed of [3, 15, 26, 29, 45, 52, 58]) {
    it(`readmit a replica that has recovered, seed ${seed}`, async () => {
      const scenario = new Scenario({ seed });
      await scenario.run(1_500);
      scenario.fail(7, { share: 1 });
      await scenario.timeToVerdict(7);
      scenario.replicas.faults.clear();
      await scenario.run(1_500);
      const [attempts] = await scenario.attemptsIn(1_000, [7]);
      expect(attempts).to.be.at.least(5);
    }).timeout(60_000);
  }

  describe("of a request that fails everywhere", () => {
    // A faulty caller must not take healthy replicas from all others.
    it("do not take out the pool", async () => {
      const scenario = new Scenario();
      await scenario.run(1_500);
      let most = 0;
      for (let step = 0; step < 20; step++) {
        const flood = { perSecond: 300, paths: ["/faulty/x"] };
        await scenario.run(50, { ...flood, entries: [3] });
        await scenario.run(50, flood);
        most = Math.max(most, scenario.takenOut);
      }
      expect(most).to.be.at.most(0.1 * 40);
    }).timeout(60_000);
  });

  describe("of an entry whose link breaks", () => {
    it("do not take out replicas for the others", async () => {
      const scenario = new Scenario({ entries: 6, replicas: 9 });
      await scenario.run(1_500);
      for (let index = 0; index < 9; index++) {
        scenario.fail(index, { share: 1, kind: "lost", entry: 2 });
      }
      await scenario.run(1_000, { paths: ["/once/x"] });
      const other = scenario.fleet.entries[0];
      expect(other.endpointsTakenOut).to.equal(0);
    }).timeout(60_000);
  });

  describe("whose owner", () => {
    let scenario: Scenario;
    let owner: number;

    beforeEach(async () => {
      scenario = new Scenario();
      owner = scenario.ownerOf(7);
      await scenario.run(1_500);
      scenario.fail(7, { share: 1 });
      await scenario.timeToVerdict(7);
      scenario.fleet.partitioned.add(owner);
    });

    // Otherwise the replica would stay out of use for good.
    it("dies are used again after the verdict's time", async () => {
      scenario.replicas.faults.clear();
      const entries = scenario.fleet.entries
        .flatMap((_, index) => index === owner ? [] : [index]);
      await scenario.run(2_200, { entries });
      scenario.replicas.attempts.clear();
      await scenario.run(1_000, { entries });
      expect(scenario.replicas.attempts.get("replica-7")).to.be.above(0);
    }).timeout(60_000);

    it("is cut off for 4 s are judged by the next, and again by it", async () => {
      await scenario.run(4_000);
      const others = scenario.fleet.entries
        .filter((_, index) => index !== owner);
      for (const { endpointsTakenOut } of others) {
        expect(endpointsTakenOut).to.be.above(0);
      }
      scenario.fleet.partitioned.clear();
      scenario.replicas.faults.clear();
      await scenario.run(10_000, { perSecond: 200 });
      const [attempts] = await scenario.attemptsIn(1_000, [7]);
      expect(attempts).to.be.above(0);
    }).timeout(60_000);
  });

  // Each group has its own owners, which do not know of the other's verdicts.
  it("take out at most a third in each part of a divided fleet", async () => {
    const scenario = new Scenario({ entries: 10, replicas: 12, rate: 20 });
    scenario.fleet.groupOf = (index) => index % 2;
    for (let index = 0; index < 6; index++) scenario.fail(index);
    await scenario.run(4_000);
    const used = [new Set<string>(), new Set<string>()];
    const { onSend } = scenario.fleet;
    scenario.fleet.onSend = (attempt) => {
      used[attempt.entry % 2].add(String(attempt.options.endpoint));
      onSend?.(attempt);
    };
    await scenario.run(400);
    for (const { size } of used) expect(size).to.be.within(8, 11);
  }).timeout(60_000);

  // A verdict arrives after the replica has restarted under its id.
  it("do not count for another run of the endpoint", () => {
    const scenario = new Scenario({ entries: 2, replicas: 6 });
    const [entry] = scenario.fleet.entries;
    const startedAt = numbered<ReplicaStartTime>(2_000);
    const restarted = { ...FailingReplicas.endpoints(1)[0], startedAt };
    entry.registry.upsert(restarted);
    const verdictOn = (run: number) => ({
      entry: "entry-1",
      verdicts: [[restarted.id, 1_000, 0.5, run]],
    });
    entry.onNotification("entry.verdicts", verdictOn(1_000));
    expect(entry.endpointsTakenOut).to.equal(0);
    entry.onNotification("entry.verdicts", verdictOn(2_000));
    expect(entry.endpointsTakenOut).to.equal(1);
    entry.registry.upsert({
      ...restarted,
      startedAt: numbered<ReplicaStartTime>(3_000),
    });
    expect(entry.endpointsTakenOut).to.equal(0);
  });

  // Earlier deployments send three figures and are served as before.
  it("are not shared for replicas that send no work factor", async () => {
    const scenario = new Scenario();
    scenario.replicas.workFactor = undefined;
    scenario.fail(7);
    await scenario.run(2_000);
    expect(scenario.takenOut).to.equal(0);
  }).timeout(60_000);

  describe("of a request that may run again", () => {
    /** Endpoints of both attempts of a request that fails first. */
    async function attempts(workFactor: number | undefined) {
      const harness = new ForwardingHarness(makeConfiguration());
      const { loadReports, registry } = harness.dependencies;
      const [a, b] = ["a", "b"].map((id) => makeEndpoint(id));
      registry.upsert(a);
      registry.upsert(b);
      // The other replica looks busier, so only the failure speaks against it.
      harness.dependencies.load.started(b.id);
      harness.dependencies.load.started(b.id);
      const load = { running: 1, waiting: 0, slots: 6, workFactor };
      loadReports.record(a, { ...load, sentAt: 0, receivedAt: 0 });
      await harness.submit(makeRequest());
      await harness.sent[0].respond("", { status: 500 });
      return harness.sent.map(({ options }) => String(options.endpoint));
    }

    it("are avoided by its retry", async () => {
      expect(await attempts(1)).to.deep.equal(["a", "b"]);
    });

    it("do not change it for replicas that send no work factor", async () => {
      expect(await attempts(undefined)).to.deep.equal(["a", "a"]);
    });
  });
});
