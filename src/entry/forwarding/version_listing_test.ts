import { expect } from "chai";
import { err, ok } from "neverthrow";
import {
  makeEndpoint,
  PORTAL,
} from "../../../test/support/forwarding_fixtures.ts";
import {
  EndpointRegistry,
  ListedVersions,
  type RegisteredEndpoint,
  type ServingVersion,
  STREAM_LIFETIME_MILLISECONDS,
} from "../../core/forwarding/mod.ts";
import {
  identifier,
  type ProcessId,
  type SoftwareVersion,
} from "../../core/identity/mod.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import { ManualTimerService, sleep } from "../../core/time/mod.ts";
import { encodeVersion } from "./notifications/version_notification.ts";
import { keyOf, VersionListing } from "./version_listing.ts";

const SELF = identifier<ProcessId>("entry-0");
const REMOVAL_MILLISECONDS = 200;
const STEP_MILLISECONDS = 50;
/** Time until the entry has looked at its registered replicas again. */
const SWEEP_MILLISECONDS = 31_000;
const STORE_FAILURE = {
  name: "store_unavailable" as const,
  title: "",
  message: "no response",
  hint: "",
};

describe("VersionListing", () => {
  let timer: ManualTimerService;
  let registry: EndpointRegistry;
  let listing: VersionListing;
  /** The list in the store, by key. */
  let stored: Map<string, ServingVersion>;
  /** Removals that the store has received. */
  let removals: number;
  /** False: removals are executed, and their answers get lost. */
  let answersRemovals: boolean;
  let canRead: boolean;

  const replica = makeEndpoint("replica-0", {
    softwareVersion: identifier<SoftwareVersion>("v1"),
  });
  const newer = makeEndpoint("replica-1", {
    softwareVersion: identifier<SoftwareVersion>("v2"),
  });

  beforeEach(async () => {
    timer = new ManualTimerService();
    stored = new Map();
    removals = 0;
    answersRemovals = true;
    canRead = true;
    start();
    for (const each of [replica, newer]) registry.upsert(each);
    await timer.advance(STEP_MILLISECONDS);
    expect(storedVersions()).to.deep.equal(["v1", "v2"]);
  });

  /** Starts an entry that knows no replica yet. */
  function start(): void {
    registry = new EndpointRegistry({
      timer,
      onChange: (_, endpoint) => listing.onEndpointChange(endpoint),
    });
    listing = new VersionListing({
      self: SELF,
      timer,
      random: () => 0,
      logger: NOOP_LOGGER,
      registry,
      listed: new ListedVersions(),
      link: {
        read: () =>
          Promise.resolve(
            canRead ? ok([...stored.values()]) : err(STORE_FAILURE),
          ),
        add: (version) => {
          stored.set(keyOf(version), version);
          return Promise.resolve(ok(undefined));
        },
        remove: async (version) => {
          removals += 1;
          await sleep(timer, REMOVAL_MILLISECONDS);
          stored.delete(keyOf(version));
          return answersRemovals ? ok(undefined) : err(STORE_FAILURE);
        },
      },
      registrationsFollowedSince: () => 0,
      ranking: () => [SELF],
      peers: () => [],
      broadcast() {},
      send() {},
    });
    listing.start();
  }

  afterEach(() => listing.stop());

  function storedVersions(): string[] {
    return [...stored.values()].map((each) => String(each.softwareVersion));
  }

  function mayBegin(endpoint: RegisteredEndpoint): boolean {
    return listing.filterBeginners(registry.inPool(PORTAL)).some(({ id }) =>
      id === endpoint.id
    );
  }

  /** Ends the replicas of v2, and waits until its removal is under way. */
  async function beginRemoval(): Promise<void> {
    registry.remove(newer.id);
    const end = timer.now() + 2 * STREAM_LIFETIME_MILLISECONDS;
    while (removals === 0 && timer.now() < end) {
      await timer.advance(STEP_MILLISECONDS);
    }
    expect(removals).to.equal(1);
  }

  describe("when a version comes back while it is removed", () => {
    // The entry takes the version for listed until the removal has ended, and
    // would not notice then that its replicas are registered.
    it("lists it again", async () => {
      await beginRemoval();
      registry.upsert(newer);
      await timer.advance(2 * REMOVAL_MILLISECONDS);
      expect(storedVersions()).to.deep.equal(["v1", "v2"]);
    });

    // Another entry could read the list without the version, and go on with a
    // stream of it at the one that is left.
    it("begins no stream of it until it is listed again", async () => {
      await beginRemoval();
      registry.upsert(newer);
      expect(mayBegin(newer)).to.equal(false);
      await timer.advance(2 * REMOVAL_MILLISECONDS);
      expect(storedVersions()).to.include("v2");
      expect(mayBegin(newer)).to.equal(true);
    });
  });

  // The version stays listed at the entries, and is in no list that another
  // entry reads.
  it("lists a version again that the store removed without an answer", async () => {
    answersRemovals = false;
    await beginRemoval();
    await timer.advance(2 * REMOVAL_MILLISECONDS);
    registry.upsert(newer);
    await timer.advance(SWEEP_MILLISECONDS);
    expect(storedVersions()).to.deep.equal(["v1", "v2"]);
  });

  // An entry that starts while the store is silent would begin no stream.
  it("takes versions for listed that a peer names before their replicas are known", async () => {
    listing.stop();
    canRead = false;
    start();
    const added = [...stored.values()].map(encodeVersion);
    listing.onNotification({ added, isWhole: true });
    await timer.advance(STEP_MILLISECONDS);
    registry.upsert(newer);
    expect(mayBegin(newer)).to.equal(true);
  });
});
