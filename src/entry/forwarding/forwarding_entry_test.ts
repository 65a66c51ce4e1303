import { makeConnection } from "../../../test/support/endpoint_connection.ts";
import { expect } from "chai";
import { err } from "neverthrow";
import {
  digestOf,
  partDigestOf,
  streamDigestOf,
} from "../../adapters/forwarding/mod.ts";
import {
  makeEndpoint,
  makeEngine,
  PORTAL,
} from "../../../test/support/forwarding_fixtures.ts";
import {
  CrashTracker,
  EndpointAvailability,
  EngineSlowness,
  FleetLoad,
  PrefixDirectory,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import {
  type AvailabilityZoneId,
  identifier,
  numbered,
  type ReplicaStartTime,
} from "../../core/identity/mod.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { makePlannedStop } from "../../../test/support/planned_stop.ts";
import { ForwardingEntry, type RoleLink } from "./mod.ts";
import { FleetOutcomes } from "./fleet_outcomes.ts";
import { RoleController } from "./role_controller.ts";

/** A log that never responds, so that no order is given. */
const SILENT_ROLE_LINK: RoleLink = {
  readClaim: () => new Promise(() => {}),
  appendClaim: () => new Promise(() => {}),
  order: () => new Promise(() => {}),
};

/**
 * Entries that exchange notifications without delay; every registration reader
 * is at `position`.
 */
function makeEntries(
  count: number,
  {
    position = 0,
    timer = new ManualTimerService(),
    onEndpointRemoved = () => {},
    hasList = true,
  } = {},
): ForwardingEntry[] {
  const entries: ForwardingEntry[] = Array.from(
    { length: count },
    (_, index) =>
      new ForwardingEntry({
        process: `entry-${index}`,
        incarnation: "1",
        linkMegabitsPerSecond: undefined,
        loopDelayMilliseconds: () => 0,
        readDelayMilliseconds: () => 0,
        plannedStop: makePlannedStop(timer),
        availabilityZone: identifier<AvailabilityZoneId>("zone-1"),
        timer,
        random: () => 0.5,
        endpointClient: {
          send: () => ({
            answer: new Promise(() => {}),
            evidence: undefined,
            abort() {},
          }),
          parseCacheHandle: () => undefined,
          listCachedParts: () => Promise.resolve(undefined),
          checkHealth: () => Promise.resolve(undefined),
          connect: () => makeConnection(true),
          release() {},
        },
        digestOf,
        partDigestOf,
        streamDigestOf,
        sendToPeers: (_, { method, params }) => {
          for (const entry of entries) {
            if (entry === entries[index]) continue;
            entry.onNotification(method, JSON.parse(JSON.stringify(params)));
          }
        },
        observe() {},
        logger: NOOP_LOGGER,
        isFirstStart: true,
        retry: { ratio: 0.2, windowMilliseconds: 10_000, minimum: 50 },
        peerStateFallback: {
          peers: () => [],
          listEntries: () => [],
          adoptEntries() {},
          addressOf: () => undefined,
          ask: () =>
            Promise.resolve(
              err({ name: "link_lost", title: "", message: "", hint: "" }),
            ),
        },
        onEndpointRemoved,
        roles: { link: SILENT_ROLE_LINK, leaseMilliseconds: 3_000 },
        checkConfiguration() {},
        onConfigurationConfirmed() {},
        recordPeerRead: ({ from, to }) => {
          if (position > to) return "older";
          return from === position ? "ahead" : "apart";
        },
        onUnlistedPeer() {},
        persistBlocked() {},
        removeBlocked() {},
        onLoadQuery() {},
        onPermit() {},
      }),
  );
  for (const entry of hasList ? entries : []) {
    entry.peers.setPeers(new Map([["other", "peer:1"]]));
  }
  return entries;
}

/** Every component with state per endpoint; add new ones here. */
const STATE_HOLDERS = {
  "open work": FleetLoad,
  "cached prefixes": PrefixDirectory,
  outcomes: EndpointAvailability,
  "fleet outcomes": FleetOutcomes,
  slowness: EngineSlowness,
  crashes: CrashTracker,
  orders: RoleController,
} as const;
const STATE_HOLDER_NAMES = [
  ...Object.keys(STATE_HOLDERS),
  "connections",
];

/**
 * Calls back when the component forgets an endpoint; returns a function that
 * removes the spy.
 */
function spyOnForget(holder: string, onForget: () => void): () => void {
  if (!(holder in STATE_HOLDERS)) return () => {};
  const { prototype } = STATE_HOLDERS[holder as keyof typeof STATE_HOLDERS];
  const { forget } = prototype;
  prototype.forget = function (...given: Parameters<typeof forget>) {
    onForget();
    return forget.apply(this as never, given as never);
  };
  return () => prototype.forget = forget;
}

describe("ForwardingEntry", () => {
  const endpoint = makeEndpoint("a");
  const { id } = endpoint;

  // One entry has read that an endpoint is leaving, while the next read of the
  // others is a second away. Without the notification they keep sending to it
  // until then.
  it("notifies peers of a leaving endpoint", () => {
    const [first, second] = makeEntries(2);
    for (const entry of [first, second]) {
      entry.registrationSync.applyRead([{ id, endpoint }]);
    }
    first.registrationSync.applyRead([{
      id,
      endpoint: { ...endpoint, leaving: true },
    }]);
    expect(second.registry.inPool(PORTAL)).to.deep.equal([]);
  });

  // An entry that is behind reads the registration of an endpoint that the
  // others know to be removed. If they applied its notification, they would
  // send there indefinitely: they have already read past the removal.
  it("does not restore an endpoint from a peer that is behind", () => {
    const [late, ahead] = makeEntries(2);
    ahead.registrationSync.applyRead([{ id, endpoint }]);
    ahead.registrationSync.applyRead([{ id }]);
    late.registrationSync.applyRead([{ id, endpoint }]);
    expect(ahead.registry.size).to.equal(0);
    expect(late.registry.size).to.equal(1);
  });

  describe("when one entry reads the registrations for all", () => {
    const span = { from: 10, to: 14 };

    // An endpoint registers, and the other entries do not read for a second.
    // Until then callers wait at full endpoints although one is free.
    it("applies a new endpoint from a peer whose span continues its own", () => {
      const [first, second] = makeEntries(2, { position: 10 });
      first.registrationSync.applyRead([{ id, endpoint }], span);
      expect(second.registry.get(id)).to.deep.equal(endpoint);
    });

    it("applies no new endpoint if there are records in between", () => {
      const [first, second] = makeEntries(2, { position: 9 });
      first.registrationSync.applyRead([{ id, endpoint }], span);
      expect(second.registry.get(id)).to.equal(undefined);
    });

    // An endpoint expires and registers again, and the peer's datagram on the
    // expiry is delayed. Applied late, it removes an endpoint whose record this
    // entry has already read past, so the entry never sends to it again.
    it("applies nothing from a span that it has read past", () => {
      const [first, second] = makeEntries(2, { position: 20 });
      for (const entry of [first, second]) entry.registry.upsert(endpoint);
      first.registrationSync.applyRead([{ id }], span);
      expect(second.registry.get(id)).to.deep.equal(endpoint);
    });

    // A peer is between two records of the span. For the entry that has read
    // both nothing has changed, as the second record reverts the first.
    it("sends a change that was reverted within the span", () => {
      const [first, second] = makeEntries(2, { position: 10 });
      first.registrationSync.applyRead([{ id, endpoint }], span);
      const other = { ...endpoint, slots: 99 };
      second.registry.upsert(other);
      first.registrationSync.applyRead(
        [{ id, endpoint: other }, { id, endpoint }],
        { from: 10, to: 16 },
      );
      expect(second.registry.get(id)?.slots).to.equal(endpoint.slots);
    });

    // A record that is left out is lost to a peer that counts it as read.
    it("sends a departure that it had heard of before it read it", () => {
      const [first, second] = makeEntries(2, { position: 10 });
      for (const entry of [first, second]) entry.registry.upsert(endpoint);
      const departure = { id, endpoint: { ...endpoint, leaving: true } };
      first.registrationSync.onPeerChanges({ changes: [departure] });
      first.registrationSync.applyRead([departure], span);
      expect(second.registry.inPool(PORTAL)).to.deep.equal([]);
    });

    it("sends an endpoint that it had from a peer's state", () => {
      const [first, second] = makeEntries(2, { position: 10 });
      first.registrationSync.adoptPeerState([endpoint]);
      first.registrationSync.applyRead([{ id, endpoint }], span);
      expect(second.registry.get(id)).to.deep.equal(endpoint);
    });
  });

  // All entries are killed at once and restart under load. Each reads the list
  // of the fleet before the others have registered in it.
  it("assumes that others share its limits during startup", async () => {
    const timer = new ManualTimerService();
    const [entry] = makeEntries(1, { timer });
    entry.peers.setPeers(new Map());
    expect(entry.entriesSharingLimits).to.equal(8);
    await timer.advance(5_000);
    expect(entry.entriesSharingLimits).to.equal(1);
  });

  // Each entry without a list would use the whole minimum of the retry budget.
  it("assumes that others share its limits until it has the list", async () => {
    const timer = new ManualTimerService();
    const [entry] = makeEntries(1, { timer, hasList: false });
    await timer.advance(60_000);
    expect(entry.entriesSharingLimits).to.equal(8);
    entry.peers.setPeers(new Map([["peer", "127.0.0.1:1"]]));
    expect(entry.entriesSharingLimits).to.equal(2);
  });

  // An engine with caches, open prompts and recorded failures crashes and
  // restarts under the same id. State kept from the previous run sends callers
  // to caches that are gone or excludes a healthy engine.
  describe("an engine that restarts under the same id", () => {
    const startedAt = (time: number) => numbered<ReplicaStartTime>(time);
    const first = makeEngine("e", "prefill", { startedAt: startedAt(1_000) });
    const second = { ...first, startedAt: startedAt(2_000) };
    const workAt = (run: RegisteredEndpoint) => ({
      entry: "other",
      incarnation: "1",
      sequence: run.startedAt,
      whole: true,
      work: [[run.id, 3, 100, 0, run.startedAt]],
      prompts: [[run.id, 200_000, run.startedAt, "part", 5_000]],
      refusals: [],
    });

    for (const holder of STATE_HOLDER_NAMES) {
      it(`is forgotten by ${holder}`, () => {
        const forgotten: string[] = [];
        const restore = spyOnForget(holder, () => forgotten.push(holder));
        try {
          const [entry] = makeEntries(1, {
            onEndpointRemoved: () => forgotten.push("connections"),
          });
          entry.registry.upsert(first);
          entry.registry.upsert(second);
        } finally {
          restore();
        }
        expect(forgotten).to.include(holder);
      });
    }

    it("ignores a notification with malformed work of pools", () => {
      const [entry] = makeEntries(1);
      entry.registry.upsert(second);
      for (const poolWork of [5, [["engines", 1]], [["engines", -1]]]) {
        const params = { ...workAt(second), poolWork };
        entry.onNotification("entry.work", params);
      }
      expect(entry.openWorkAt(second.id).requests).to.equal(0);
    });

    it("ignores work of a peer that only knows the previous run", () => {
      const [entry] = makeEntries(1);
      entry.registry.upsert(second);
      entry.onNotification("entry.work", workAt(first));
      expect(entry.openWorkAt(second.id).requests).to.equal(0);
      entry.onNotification("entry.work", workAt(second));
      expect(entry.openWorkAt(second.id).requests).to.equal(3);
    });
  });
});
