import { expect } from "chai";
import { err, ok } from "neverthrow";
import {
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makePool,
  makeRoute,
  PORTAL,
} from "../../../test/support/forwarding_fixtures.ts";
import {
  type BegunStream,
  VersionedStreams,
  type VersionedStreamsOptions,
} from "../../../test/support/versioned_streams.ts";
import { streamDigestOf } from "../../adapters/forwarding/mod.ts";
import {
  type ServingVersion,
  STREAM_LIFETIME_MILLISECONDS,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStartTime,
  type RequestId,
  type ServiceName,
  type SoftwareVersion,
} from "../../core/identity/mod.ts";
import { sleep } from "../../core/time/mod.ts";
import {
  STREAM_ANSWER_METHOD,
  STREAM_QUERY_METHOD,
  STREAMS_METHOD,
} from "./notifications/stream_notification.ts";
import type { VersionLink } from "./version_listing.ts";

const VERSIONS = ["v1", "v2", "v1", "v2", "v1", "v2"];
const V1 = identifier<SoftwareVersion>("v1");
const STREAMS = 30;
const SETTLE_MILLISECONDS = 2_500;
const STORE_FAILURE = {
  name: "store_unavailable" as const,
  title: "",
  message: "no response",
  hint: "",
};
/** Interval of the reads of the registrations. */
const REGISTRATION_READ_MILLISECONDS = 500;
/** Time in which datagrams are lost. */
const LOSS_MILLISECONDS = 500;
/** Size of the deployment for which the design is made. */
const LARGE_FLEET = 300;

describe("Streams that callers take up", function () {
  this.timeout(60_000);
  let streams: VersionedStreams;

  afterEach(() => streams.close());

  async function start(
    options: Partial<VersionedStreamsOptions> = {},
  ): Promise<void> {
    streams = new VersionedStreams({
      entries: 5,
      versions: VERSIONS,
      ...options,
    });
    await streams.fleet.timer.advance(SETTLE_MILLISECONDS);
  }

  async function beginAll(entry: (index: number) => number) {
    const begun: BegunStream[] = [];
    for (let index = 0; index < STREAMS; index++) {
      begun.push(await streams.begin(entry(index)));
    }
    return begun;
  }

  /** Number of streams that went on; expects none at another version. */
  async function countContinued(
    begun: readonly BegunStream[],
    entry: (index: number) => number,
  ): Promise<number> {
    let continued = 0;
    for (const [index, each] of begun.entries()) {
      const { attempt, caller } = await streams.takeUp(entry(index), each);
      caller.disconnect();
      if (attempt === undefined) continue;
      expect(streams.versionAt(attempt)).to.equal(each.version);
      continued += 1;
    }
    return continued;
  }

  for (const areEngines of [false, true]) {
    it(`go on at their version at any entry, ${areEngines ? "engines" : "plain services"}`, async () => {
      await start({ areEngines });
      const begun = await beginAll((index) => index % 5);
      expect(new Set(begun.map(({ version }) => version)).size).to.equal(2);
      expect(await countContinued(begun, (index) => (index + 2) % 5))
        .to.equal(STREAMS);
    });
  }

  it("go on at their version in a fleet of 300 that loses datagrams", async () => {
    await start({ entries: LARGE_FLEET, lossRate: 0.1 });
    const begun = await beginAll((index) => 7 * index % LARGE_FLEET);
    const continued = await countContinued(
      begun,
      (index) => (11 * index + 5) % LARGE_FLEET,
    );
    expect(continued).to.be.at.least(0.95 * STREAMS);
    // Each stream may cost a second of an entry 1 KB of its control traffic.
    const bytes = streams.fleet.bytesByMethod.get(STREAMS_METHOD) ?? 0;
    expect(bytes / STREAMS).to.be.below(1_000);
    const queried = streams.fleet.bytesByMethod.get(STREAM_QUERY_METHOD) ?? 0;
    expect(queried / STREAMS).to.be.below(1_000);
  });

  it("go on after their entry and two others have crashed", async () => {
    await start();
    const begun = await beginAll(() => 0);
    for (const index of [0, 1, 2]) streams.fleet.partitioned.add(index);
    expect(await countContinued(begun, () => 3)).to.equal(STREAMS);
  });

  it("go on after all entries were restarted one after the other", async () => {
    await start();
    const begun = await beginAll((index) => index % 5);
    for (let index = 0; index < 5; index++) {
      streams.fleet.entries[index].stop();
      await streams.fleet.timer.advance(100);
      streams.fleet.restart(index);
      await streams.fleet.timer.advance(SETTLE_MILLISECONDS);
    }
    expect(await countContinued(begun, (index) => index % 5))
      .to.equal(STREAMS);
  });

  // The first attempt to take it up may have broken off as well.
  it("go on a second time, whichever attempt their caller names", async () => {
    await start();
    const begun = await streams.begin(0);
    const second = await streams.takeUp(1, begun);
    await second.attempt?.head();
    await streams.fleet.timer.advance(20);
    const byFirst = await streams.takeUp(2, begun);
    const bySecond = await streams.takeUp(3, { id: second.id });
    for (const { attempt } of [second, byFirst, bySecond]) {
      expect(attempt && streams.versionAt(attempt)).to.equal(begun.version);
    }
  });

  it("go on twice at once", async () => {
    await start();
    const begun = await streams.begin(0);
    const both = await Promise.all(
      [1, 1].map((entry) => streams.takeUp(entry, begun)),
    );
    for (const { attempt } of both) {
      expect(attempt && streams.versionAt(attempt)).to.equal(begun.version);
    }
  });

  // One answer is enough to go on, but not at once: the others may differ.
  it("go on within 60 ms while an entry that keeps them does not answer", async () => {
    await start();
    streams.fleet.isCut = (from, to) => from === 0 && to === 1;
    const begun = await streams.begin(0);
    await streams.fleet.timer.advance(20);
    streams.fleet.partitioned.add(0);
    const startedAt = streams.fleet.timer.now();
    const { attempt } = await streams.takeUp(1, begun);
    expect(attempt && streams.versionAt(attempt)).to.equal(begun.version);
    expect(streams.fleet.timer.now() - startedAt).to.be.at.most(70);
  });

  // An entry that reads the end of the former run after the stream has begun at
  // the next run must not take the former one for the writer.
  it("go on at an entry that reads their replica's new registration late", async () => {
    await start({ versions: ["v1", "v1"] });
    const next = streams.endpoints.map((endpoint) => ({
      ...endpoint,
      softwareVersion: identifier<SoftwareVersion>("v2"),
      startedAt: numbered<ReplicaStartTime>(1),
    }));
    const [first, late] = streams.fleet.entries;
    for (const endpoint of next) first.registry.upsert(endpoint);
    const begun = await streams.begin(0);
    await streams.fleet.timer.advance(20);
    for (const { id } of next) late.registry.remove(id);
    for (const endpoint of next) late.registry.upsert(endpoint);
    const { attempt, caller } = await streams.takeUp(1, begun);
    expect(caller.refusal).to.equal(undefined);
    expect(attempt).to.not.equal(undefined);
  });

  for (const status of [421, 503]) {
    it(`go on at another replica of their version after ${status}`, async () => {
      await start();
      const begun = await streams.begin(0);
      const { attempt } = await streams.takeUp(1, begun);
      await attempt?.respondNotRun(status);
      const next = streams.attempts.at(-1);
      expect(next).to.not.equal(attempt);
      expect(next && streams.versionAt(next)).to.equal(begun.version);
    });
  }

  // If the only replica of a version leaves, its streams can't go on.
  it("begin at versions that more than one replica has", async () => {
    await start({ versions: ["v1", "v2", "v2", "v3", "v3"] });
    const begun = await beginAll((index) => index % 5);
    expect(new Set(begun.map(({ version }) => version)))
      .to.deep.equal(new Set(["v2", "v3"]));
  });

  // A caller that has received no event begins a new stream.
  it("may begin at any version if the first attempt brought no event", async () => {
    await start();
    const first = await streams.submit(0);
    first.caller.disconnect();
    const { caller } = await streams.submit(1);
    expect(caller.refusal).to.equal(undefined);
  });

  describe("are refused at once", () => {
    async function expectRefused(
      taken: ReturnType<VersionedStreams["takeUp"]>,
      reason: string,
    ): Promise<number | undefined> {
      const { attempt, caller } = await taken;
      expect(attempt).to.equal(undefined);
      expect(caller.refusal).to.deep.include({ status: 503, reason });
      return caller.refusal?.retryAfterMilliseconds;
    }

    it("where no entry knows them, without a time to return", async () => {
      await start();
      const id = identifier<RequestId>("nobody");
      const retry = await expectRefused(
        streams.takeUp(1, { id }),
        "stream_origin_unknown",
      );
      expect(retry).to.equal(undefined);
    });

    it("where the entries that may know them can't be reached, with one", async () => {
      await start();
      const begun = await streams.begin(0);
      await streams.fleet.timer.advance(20);
      streams.fleet.groupOf = (index) => index === 4 ? 1 : 0;
      streams.fleet.restart(4);
      await streams.fleet.timer.advance(SETTLE_MILLISECONDS);
      const retry = await expectRefused(
        streams.takeUp(4, begun),
        "stream_origin_unknown",
      );
      expect(retry).to.be.within(1, 500);
    });

    // A peer was suspended while the entry that asked it was restarted.
    it("where an answer to another query arrives late", async () => {
      await start();
      const late = {
        id: 1,
        stream: "another",
        origin: [String(PORTAL), "v1"],
      };
      const taken = streams.takeUp(1, { id: identifier<RequestId>("nobody") });
      for (const entry of ["entry-0", "entry-2", "entry-3", "entry-4"]) {
        streams.fleet.entries[1].onNotification(STREAM_ANSWER_METHOD, {
          ...late,
          entry,
        });
      }
      await expectRefused(taken, "stream_origin_unknown");
    });

    it("where their caller names no attempt and versions differ", async () => {
      await start();
      const taken = streams.submit(0, { lastEventId: "1" });
      await expectRefused(taken, "stream_origin_unknown");
    });

    it("where another version has replaced theirs", async () => {
      await start();
      const begun = await streams.begin(0);
      for (const { registry } of streams.fleet.entries) {
        for (const endpoint of streams.endpoints) {
          if (endpoint.softwareVersion === begun.version) {
            registry.remove(endpoint.id);
          }
        }
      }
      const retry = await expectRefused(
        streams.takeUp(1, begun),
        "stream_version_gone",
      );
      expect(retry).to.be.at.least(1_000);
      await streams.fleet.timer.advance(20_000);
      const later = streams.takeUp(1, begun);
      expect(await expectRefused(later, "stream_version_gone"))
        .to.equal(undefined);
    });

    it("where their route has moved to another pool", async () => {
      await start();
      const begun = await streams.begin(0);
      const moved = makeConfiguration({
        version: 2,
        routes: [makeRoute({
          repeat: "stream",
          resumable: true,
          shares: [{ pool: ENGINES, weight: 1 }],
        })],
      });
      for (const entry of streams.fleet.entries) {
        entry.applyConfiguration(moved);
      }
      await expectRefused(streams.takeUp(1, begun), "stream_pool_changed");
    });

    // The registration of the new run is late: the entry that sent the request
    // took the replica for one of the former version.
    it("where the replica may have been restarted at another version", async () => {
      await start({ versions: ["v1", "v1"] });
      const begun = await streams.begin(0);
      for (const { registry } of streams.fleet.entries) {
        for (const endpoint of streams.endpoints) {
          registry.upsert({
            ...endpoint,
            softwareVersion: identifier<SoftwareVersion>("v2"),
            startedAt: numbered<ReplicaStartTime>(1),
          });
        }
      }
      await streams.fleet.timer.advance(20);
      await expectRefused(streams.takeUp(1, begun), "stream_origin_ambiguous");
    });

    /** Registers the replica that wrote the stream as one of version 2. */
    function restartWriter(entries: readonly number[]): void {
      const writer = streams.endpoints.find(({ id }) =>
        id === streams.attempts[0].options.endpoint
      );
      if (writer === undefined) throw new Error("Nothing was written");
      for (const entry of entries) {
        streams.fleet.entries[entry].registry.upsert({
          ...writer,
          softwareVersion: identifier<SoftwareVersion>("v2"),
          startedAt: numbered<ReplicaStartTime>(1),
        });
      }
    }

    // The first entry to answer may lack what the others know.
    it("where only the entries that answer later know of another version", async () => {
      await start({ versions: ["v1", "v1", "v1"] });
      streams.fleet.isCut = (from, to) => from === 0 && to === 1;
      const begun = await streams.begin(0);
      await streams.fleet.timer.advance(20);
      // Entry 2 keeps the stream, and misses that its version is in doubt.
      streams.fleet.isCut = (from, to) => from === 0 && to <= 2;
      restartWriter([0]);
      await streams.fleet.timer.advance(20);
      streams.fleet.isCut = () => false;
      streams.fleet.extraLatency = (from) => from === 2 ? 0 : 20;
      await expectRefused(streams.takeUp(1, begun), "stream_origin_ambiguous");
    });

    // An announcement that arrives during the search is evidence as well.
    it("where another version is announced while entries are asked", async () => {
      await start({ versions: ["v1", "v1", "v1"] });
      streams.fleet.isCut = (from, to) => from === 0 && to === 1;
      const begun = await streams.begin(0);
      await streams.fleet.timer.advance(20);
      streams.fleet.isCut = () => false;
      streams.fleet.extraLatency = (from) => from === 1 ? 0 : 25;
      const taken = streams.takeUp(1, begun);
      streams.fleet.entries[1].onNotification(STREAMS_METHOD, {
        origins: [[String(PORTAL), "v2"]],
        streams: [[
          streamDigestOf(begun.id, undefined),
          0,
        ]],
      });
      await expectRefused(taken, "stream_origin_ambiguous");
    });

    // The news of the writer's new version is lost on the way to this entry,
    // which has the registration itself.
    it("where the doubt of the stream's entry does not arrive", async () => {
      await start({ versions: ["v1", "v1", "v1"] });
      const begun = await streams.begin(0);
      await streams.fleet.timer.advance(20);
      streams.fleet.isCut = (from, to) => from === 0 && to === 1;
      restartWriter([0, 1, 2, 3, 4]);
      await streams.fleet.timer.advance(20);
      await expectRefused(streams.takeUp(1, begun), "stream_origin_ambiguous");
    });

    // The stream's entry ends before it learns of the writer's new version.
    it("where the stream's entry was killed before the writer's new version was seen", async () => {
      await start({ versions: ["v1", "v1", "v1"] });
      const begun = await streams.begin(0);
      await streams.fleet.timer.advance(20);
      streams.fleet.partitioned.add(0);
      restartWriter([1, 2, 3, 4]);
      await streams.fleet.timer.advance(20);
      await expectRefused(streams.takeUp(1, begun), "stream_origin_ambiguous");
    });

    // Two attempts with one id at two entries may begin at two versions.
    it("where two versions began them under one id", async () => {
      await start();
      const values = { id: identifier<RequestId>("twice") };
      const versions = new Set<string>();
      for (let entry = 0; entry < 5; entry++) {
        streams.attempts.length = 0;
        versions.add((await streams.begin(entry, values)).version);
      }
      expect(versions.size).to.equal(2);
      streams.attempts.length = 0;
      const taken = streams.takeUp(1, values);
      await expectRefused(taken, "stream_origin_ambiguous");
    });
  });

  describe("whose version is listed in the store", () => {
    function sharedLink(listed: ServingVersion[]): VersionLink {
      return {
        read: () => Promise.resolve(ok([...listed])),
        add: (version) => {
          listed.push(version);
          return Promise.resolve(ok(undefined));
        },
        remove: () => Promise.resolve(ok(undefined)),
      };
    }

    async function startListed(
      listed: ServingVersion[],
      link: Partial<VersionLink> | ((entry: number) => Partial<VersionLink>) =
        {},
    ): Promise<void> {
      const linkOf = typeof link === "function" ? link : () => link;
      await start({
        versions: ["v1", "v1", "v1"],
        entryOptions: (entry) => ({
          versions: { ...sharedLink(listed), ...linkOf(entry) },
        }),
      });
      streams.fleet.timer.every(REGISTRATION_READ_MILLISECONDS, readAll);
    }

    /** Has all entries in reach read the registrations. */
    function readAll(): void {
      const { entries, partitioned } = streams.fleet;
      for (const [index, entry] of entries.entries()) {
        if (!partitioned.has(index)) entry.peerStateFallback.onStoreRead();
      }
    }

    const unknown = { id: identifier<RequestId>("nobody") };

    it("go on without a record if it is the only one", async () => {
      await startListed([]);
      const { attempt } = await streams.takeUp(1, unknown);
      expect(attempt && streams.versionAt(attempt)).to.equal("v1");
    });

    it("are refused without a record if another one is listed", async () => {
      const softwareVersion = identifier<SoftwareVersion>("v0");
      await startListed([{ pool: PORTAL, softwareVersion }]);
      const { caller } = await streams.takeUp(1, unknown);
      expect(caller.refusal?.reason).to.equal("stream_origin_unknown");
    });

    it("are refused without a record while the list can't be read", async () => {
      await startListed([], {
        read: () => Promise.resolve(err(STORE_FAILURE)),
      });
      const { caller } = await streams.takeUp(1, unknown);
      expect(caller.refusal?.reason).to.equal("stream_origin_unknown");
      expect(caller.refusal?.retryAfterMilliseconds).to.be.within(1, 500);
    });

    describe("in a pool that their route has not had for long", () => {
      const other = identifier<ServiceName>("other");

      /** A configuration whose route has the pool. */
      function routedTo(pool: ServiceName, version: number) {
        return makeConfiguration({
          version,
          pools: new Map([
            [PORTAL, makePool()],
            [other, makePool({ name: other })],
          ]),
          routes: [makeRoute({
            repeat: "stream",
            resumable: true,
            timeoutMilliseconds: 10_000,
            shares: [{ pool, weight: 1 }],
          })],
        });
      }

      async function startRouted(): Promise<void> {
        const versions = sharedLink([]);
        await start({
          versions: ["v1", "v1"],
          configuration: routedTo(other, 1),
          entryOptions: () => ({ versions }),
        });
        const replica = makeEndpoint("other-replica", {
          pool: other,
          softwareVersion: identifier<SoftwareVersion>("v2"),
        });
        for (const { registry } of streams.fleet.entries) {
          registry.upsert(replica);
        }
        await streams.fleet.timer.advance(SETTLE_MILLISECONDS);
      }

      function routeToPortal(): void {
        for (const entry of streams.fleet.entries) {
          entry.applyConfiguration(routedTo(PORTAL, 2));
        }
      }

      // The new pool has one version, which did not begin the stream.
      it("are refused without a record", async () => {
        await startRouted();
        await streams.begin(0);
        routeToPortal();
        const { attempt, caller } = await streams.submit(1, {
          lastEventId: "1",
        });
        expect(attempt).to.equal(undefined);
        expect(caller.refusal?.reason).to.equal("stream_origin_unknown");
      });

      it("go on once no stream from before can be taken up", async () => {
        await startRouted();
        routeToPortal();
        await streams.fleet.timer.advance(STREAM_LIFETIME_MILLISECONDS);
        const { attempt } = await streams.takeUp(1, unknown);
        expect(attempt && streams.versionAt(attempt)).to.equal("v1");
      });
    });

    // Its replicas have served while the store could not be written.
    it("counts also while it can't be written to the list", async () => {
      const listed: ServingVersion[] = [];
      let isWritable = true;
      await startListed(listed, linkThat(() => isWritable, listed));
      isWritable = false;
      const softwareVersion = identifier<SoftwareVersion>("v2");
      const replica = { ...streams.endpoints[0], softwareVersion };
      const [{ registry }] = streams.fleet.entries;
      registry.upsert({ ...replica, id: identifier("newer") });
      registry.remove(identifier("newer"));
      const refused = await streams.takeUp(0, unknown);
      expect(refused.caller.refusal?.reason).to.equal("stream_origin_unknown");
      isWritable = true;
      await streams.fleet.timer.advance(2_000);
      expect(listed.map((each) => each.softwareVersion))
        .to.deep.equal(["v1", "v2"]);
    });

    /** A link whose writes fail while `canWrite` says so. */
    function linkThat(
      canWrite: () => boolean,
      listed: ServingVersion[],
    ): Pick<VersionLink, "add"> {
      return {
        add: (version) => {
          if (!canWrite()) return Promise.resolve(err(STORE_FAILURE));
          listed.push(version);
          return Promise.resolve(ok(undefined));
        },
      };
    }

    /** Registers replicas of v2 in the place of those of v1, everywhere. */
    function replaceReplicas(): void {
      for (const { registry } of streams.fleet.entries) {
        for (const endpoint of streams.endpoints) {
          registry.upsert({
            ...endpoint,
            id: identifier(`newer-${endpoint.id}`),
            softwareVersion: identifier<SoftwareVersion>("v2"),
          });
          registry.remove(endpoint.id);
        }
      }
    }

    // Another entry would read a list without the version, and go on with the
    // stream at the listed one.
    it("do not begin at a version that can't be listed", async () => {
      const listed: ServingVersion[] = [];
      let isWritable = true;
      await startListed(listed, linkThat(() => isWritable, listed));
      isWritable = false;
      replaceReplicas();
      const refused = await streams.submit(0);
      expect(refused.attempt).to.equal(undefined);
      expect(refused.caller.refusal?.reason)
        .to.equal("stream_version_unlisted");
      expect(refused.caller.refusal?.retryAfterMilliseconds)
        .to.be.within(1, 500);
      isWritable = true;
      await streams.fleet.timer.advance(1_000);
      expect((await streams.submit(0)).attempt).not.to.equal(undefined);
    });

    it("begin at once at a version that their entry lists for them", async () => {
      const listed: ServingVersion[] = [];
      await startListed(listed);
      replaceReplicas();
      const begun = await Promise.all(
        streams.fleet.entries.map((_, index) => streams.submit(index)),
      );
      expect(begun.map(({ caller }) => caller.refusal))
        .to.deep.equal(begun.map(() => undefined));
    });

    // Its entry knows no listed version until it has read the list.
    it("begin at an entry that has just started while the store is slow", async () => {
      const listed: ServingVersion[] = [];
      let readMilliseconds = 0;
      await startListed(listed, {
        read: async () => {
          if (readMilliseconds > 0) {
            await sleep(streams.fleet.timer, readMilliseconds);
          }
          return ok([...listed]);
        },
      });
      readMilliseconds = 200;
      streams.fleet.restart(0);
      const { attempt, caller } = await streams.submit(0);
      expect(caller.refusal).to.equal(undefined);
      expect(attempt).not.to.equal(undefined);
    });

    it("is listed by one entry, and by another if that fails", async () => {
      const listed: ServingVersion[] = [];
      await startListed(listed);
      expect(listed).to.deep.equal([{ pool: PORTAL, softwareVersion: "v1" }]);
    });

    // A version that stays listed keeps the others from being the only one.
    it("leaves the list also if its removal fails at first", async () => {
      let stored: ServingVersion[] = [];
      let failures = 0;
      await startListed(stored, {
        read: () => Promise.resolve(ok([...stored])),
        remove: () => {
          failures += 1;
          if (failures < 3) return Promise.resolve(err(STORE_FAILURE));
          stored = [];
          return Promise.resolve(ok(undefined));
        },
      });
      for (const { registry } of streams.fleet.entries) {
        for (const { id } of streams.endpoints) registry.remove(id);
      }
      await streams.fleet.timer.advance(450_000);
      expect(stored).to.deep.equal([]);
    });

    it("leaves the list once no stream of it can be taken up", async () => {
      const removed: ServingVersion[] = [];
      const listed: ServingVersion[] = [];
      await startListed(listed, {
        remove: (version) => {
          removed.push(version);
          return Promise.resolve(ok(undefined));
        },
      });
      for (const { registry } of streams.fleet.entries) {
        for (const { id } of streams.endpoints) registry.remove(id);
      }
      await streams.fleet.timer.advance(400_000);
      expect(removed).to.deep.equal([{ pool: PORTAL, softwareVersion: "v1" }]);
    });

    // The store is restored from a copy that lacks versions it had accepted.
    describe("where the store was restored from an older copy", () => {
      let listed: ServingVersion[];
      let isReadable: boolean;

      beforeEach(async () => {
        listed = [];
        isReadable = true;
        await startListed(listed, {
          read: () =>
            Promise.resolve(isReadable ? ok([...listed]) : err(STORE_FAILURE)),
        });
      });

      // An entry that has just started reads the list, finds another version
      // alone, and goes on with the streams of the lost one there.
      it("is listed again, also without replicas", async () => {
        replaceReplicas();
        await streams.fleet.timer.advance(2_000);
        listed.shift();
        for (const entry of streams.fleet.entries) entry.onStoreRestored();
        await streams.fleet.timer.advance(2_000);
        expect(listed.map((each) => each.softwareVersion))
          .to.deep.equal(["v2", "v1"]);
      });

      it("is listed again once the list can be read", async () => {
        listed.length = 0;
        isReadable = false;
        for (const entry of streams.fleet.entries) entry.onStoreRestored();
        await streams.fleet.timer.advance(5_000);
        isReadable = true;
        await streams.fleet.timer.advance(2_000);
        expect(listed.map((each) => each.softwareVersion))
          .to.deep.equal(["v1"]);
      });

      // Another entry has listed a version that this one has not heard of, and
      // has not listed it again yet.
      it("does not count as the only one before all have listed theirs", async () => {
        const [first, ...others] = streams.fleet.entries;
        const [v1] = listed;
        streams.fleet.partitioned.add(0);
        const softwareVersion = identifier<SoftwareVersion>("v2");
        const newer = {
          ...streams.endpoints[0],
          id: identifier<EndpointId>("newer"),
          softwareVersion,
        };
        for (const { registry } of others) registry.upsert(newer);
        await streams.fleet.timer.advance(2_000);
        expect(listed).to.have.length(2);
        listed.splice(0, 2, v1);
        first.onStoreRestored();
        const early = await streams.takeUp(0, unknown);
        expect(early.attempt).to.equal(undefined);
        expect(early.caller.refusal?.reason).to.equal("stream_origin_unknown");
        expect(early.caller.refusal?.retryAfterMilliseconds)
          .to.be.within(1, 500);
        await streams.fleet.timer.advance(12_000);
        for (const each of others) each.onStoreRestored();
        await streams.fleet.timer.advance(10_000);
        const late = await streams.takeUp(0, unknown);
        expect(late.attempt).to.equal(undefined);
        expect(late.caller.refusal?.reason).to.equal("stream_origin_unknown");
      });

      it("counts as the only one again soon", async () => {
        for (const entry of streams.fleet.entries) entry.onStoreRestored();
        await streams.fleet.timer.advance(25_000);
        const { attempt } = await streams.takeUp(0, unknown);
        expect(attempt && streams.versionAt(attempt)).to.equal("v1");
      });
    });

    // An entry has missed the datagram by which another one announces that it has
    // removed the version, and takes it for listed when it comes back.
    it("is listed again if it comes back where its removal was missed", async () => {
      const listed: ServingVersion[] = [];
      let removedBy: number | undefined;
      let removedAt = -Infinity;
      await startListed(listed, (entry) => ({
        remove: ({ softwareVersion }) => {
          const index = listed.findIndex((each) =>
            each.softwareVersion === softwareVersion
          );
          listed.splice(index, 1);
          removedBy = entry;
          removedAt = streams.fleet.timer.now();
          return Promise.resolve(ok(undefined));
        },
      }));
      const versions = () => listed.map((each) => each.softwareVersion);
      replaceReplicas();
      await streams.fleet.timer.advance(2_000);
      expect(versions()).to.deep.equal(["v1", "v2"]);
      streams.fleet.isCut = () =>
        streams.fleet.timer.now() - removedAt < LOSS_MILLISECONDS;
      await streams.fleet.timer.advance(400_000);
      expect(versions()).to.deep.equal(["v2"]);
      // Only entries that missed the removal are left.
      const { entries, timer } = streams.fleet;
      const missed = entries.flatMap((_, index) =>
        index === removedBy ? [] : [index]
      );
      for (const index of missed) {
        for (const endpoint of streams.endpoints) {
          entries[index].registry.upsert(endpoint);
        }
      }
      for (const index of missed) {
        for (let count = 0; count < STREAMS; count++) {
          const { attempt } = await streams.submit(index);
          if (attempt === undefined) continue;
          const { endpoint } = attempt.options;
          const isBack = streams.endpoints.some(({ id }) => id === endpoint);
          if (isBack) expect(versions()).to.include(V1);
        }
      }
      await timer.advance(2_000);
      expect(versions()).to.deep.equal(["v2", "v1"]);
    });

    describe("stays in the list while an entry that missed its replicas", () => {
      const removed: ServingVersion[] = [];
      /** Whether entry 0, which the others don't reach, reaches the store. */
      let isStoreReachable: boolean;

      beforeEach(async () => {
        removed.length = 0;
        isStoreReachable = false;
        await startListed([], {
          remove: (version) => {
            if (!isStoreReachable) return Promise.resolve(err(STORE_FAILURE));
            removed.push(version);
            return Promise.resolve(ok(undefined));
          },
        });
        setRegistered(false);
        await streams.fleet.timer.advance(1_000);
        // The version leaves, and returns where entry 0 doesn't see it.
        streams.fleet.partitioned.add(0);
        await streams.fleet.timer.advance(60_000);
        setRegistered(true);
        await streams.fleet.timer.advance(300_000);
      });

      /** Registers or removes all replicas at the entries in reach. */
      function setRegistered(isRegistered: boolean): void {
        for (const [index, { registry }] of streams.fleet.entries.entries()) {
          if (streams.fleet.partitioned.has(index)) continue;
          for (const endpoint of streams.endpoints) {
            if (isRegistered) registry.upsert(endpoint);
            else registry.remove(endpoint.id);
          }
        }
      }

      // Streams of the version live. An entry that reads the list without it
      // goes on with them at another version.
      it("reaches the store and has not read the registrations", async () => {
        isStoreReachable = true;
        await streams.fleet.timer.advance(60_000);
        expect(removed).to.deep.equal([]);
      });

      // The replicas are gone when it reads, and their last streams live.
      it("has read the registrations after they left", async () => {
        setRegistered(false);
        isStoreReachable = true;
        const [{ peerStateFallback }] = streams.fleet.entries;
        streams.fleet.timer.every(
          REGISTRATION_READ_MILLISECONDS,
          () => peerStateFallback.onStoreRead(),
        );
        await streams.fleet.timer.advance(250_000);
        expect(removed).to.deep.equal([]);
        await streams.fleet.timer.advance(120_000);
        expect(removed).to.deep.include({
          pool: PORTAL,
          softwareVersion: "v1",
        });
      });
    });
  });
});
