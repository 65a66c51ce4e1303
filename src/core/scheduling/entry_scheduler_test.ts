import { expect } from "chai";
import { describe, it } from "mocha";
import {
  type AvailabilityZoneId,
  type EndpointId,
  identifier,
  type RequestId,
  type WorkClassName,
  type WorkspaceId,
} from "../identity/mod.ts";
import { seededRandom } from "../random/mod.ts";
import type { RequestProfile } from "../requests/mod.ts";
import { ManualTimerService } from "../time/mod.ts";
import type { Inventory } from "../../generated/inventory.ts";
import type { Rules } from "../../generated/rules.ts";
import { createScheduler, type Placement } from "./mod.ts";

const INVENTORY: Inventory = {
  region: "region",
  availabilityZones: ["a"],
  pools: [{
    name: "pool",
    kind: "engine",
    models: ["model"],
    engine: {
      slots: 2,
      prefillTokensPerSecond: 1_000,
      millisecondsBetweenTokens: 10,
      keyValueCacheTokens: 10_000,
      roleChangeSeconds: 5,
    },
    endpoints: [{
      id: "one",
      availabilityZone: "a",
      side: "127.0.0.1:1",
      role: "decode",
    }],
  }],
};

const RULES: Rules = {
  defaultClass: "bulk",
  classes: [
    { name: "bulk", priority: 5, deadlineSeconds: 20 },
    { name: "urgent", priority: 0, deadlineSeconds: 5 },
  ],
};

/** Both slots of the endpoint, and one place in the queue of its side. */
const CAPACITY = 3;

let requests = 0;

function profile(changes: Partial<RequestProfile> = {}): RequestProfile {
  return {
    requestId: identifier<RequestId>(`request-${requests++}`),
    workspace: identifier<WorkspaceId>("workspace"),
    className: identifier<WorkClassName>("bulk"),
    pool: "pool",
    kind: "generation",
    promptTokens: 10,
    mostOutputTokens: 100,
    deliveredTokens: 0,
    deadline: 20_000,
    prefixHashes: [],
    idempotent: true,
    excluded: new Set<EndpointId>(),
    availabilityZone: identifier<AvailabilityZoneId>("a"),
    ...changes,
  };
}

function startScheduler(
  limits = { mostQueued: 10, mostQueuedPerWorkspace: 10 },
) {
  const timer = new ManualTimerService();
  const scheduler = createScheduler({
    timer,
    random: seededRandom(1),
    availabilityZone: "a",
    limits,
  });
  scheduler.configure(INVENTORY, RULES);
  return { timer, scheduler };
}

const ANSWERED = {
  result: "answered",
  tokens: 100,
  totalMilliseconds: 1_000,
} as const;

describe("createScheduler", () => {
  describe("submit", () => {
    it("places a request immediately when a slot is free", async () => {
      const { scheduler } = startScheduler();
      const placed = await scheduler.submit(profile())._unsafeUnwrap().placed;
      expect(placed._unsafeUnwrap().endpoint).to.equal("one");
    });

    it("refuses a request for an unknown pool", () => {
      const { scheduler } = startScheduler();
      const submitted = scheduler.submit(profile({ pool: "other" }));
      expect(submitted._unsafeUnwrapErr().reason).to.equal("not_configured");
    });

    // Both slots are taken and more work waits than can finish before the
    // deadline. Without the refusal the caller waits for an answer that is
    // late, and the engine time spent on it is lost to others.
    it("refuses a request that would be late, with a retry time", () => {
      const { scheduler } = startScheduler({
        mostQueued: 100,
        mostQueuedPerWorkspace: 100,
      });
      const outcomes = Array.from(
        { length: 60 },
        () => scheduler.submit(profile({ deadline: 8_000 })),
      );
      const refused = outcomes.filter((one) => one.isErr());
      expect(refused.length).to.be.greaterThan(10);
      const first = refused[0]._unsafeUnwrapErr();
      expect(first.reason).to.equal("saturated");
      expect(first.retryAfterMilliseconds).to.be.greaterThan(0);
    });

    // The engine takes four times as long as the inventory says. Admission that
    // does not learn this accepts requests that can't finish on time.
    it("learns the error of its predictions", async () => {
      const { scheduler, timer } = startScheduler();
      const inTime = () => profile({ deadline: timer.now() + 2_500 });
      expect(scheduler.submit(profile({ deadline: 2_500 })).isOk()).to.equal(
        true,
      );
      for (let index = 0; index < 100; index++) {
        const waiting = scheduler.submit(profile({ deadline: 1e9 }));
        const placed = await waiting._unsafeUnwrap().placed;
        await timer.advance(4_000);
        placed._unsafeUnwrap().release({
          ...ANSWERED,
          totalMilliseconds: 4_000,
        });
      }
      expect(scheduler.submit(inTime()).isErr()).to.equal(true);
    });

    it("dispatches urgent work before waiting bulk work", async () => {
      const { scheduler } = startScheduler();
      const running: Placement[] = [];
      for (let index = 0; index < CAPACITY; index++) {
        const { placed } = scheduler.submit(profile())._unsafeUnwrap();
        if (index === 0) running.push((await placed)._unsafeUnwrap());
      }
      const urgent = scheduler.submit(
        profile({
          className: identifier<WorkClassName>("urgent"),
          deadline: 5_000,
        }),
      )._unsafeUnwrap();
      running[0].release(ANSWERED);
      expect((await urgent.placed).isOk()).to.equal(true);
    });

    it("refuses a waiting request once it can't finish on time", async () => {
      const { scheduler, timer } = startScheduler();
      for (let index = 0; index < CAPACITY; index++) {
        scheduler.submit(profile({ deadline: 1e6 }));
      }
      const late = scheduler.submit(profile({ deadline: 6_000 }));
      await timer.advance(6_000);
      const placed = await late._unsafeUnwrap().placed;
      expect(placed._unsafeUnwrapErr().reason).to.equal("late");
      expect(scheduler.waiting).to.be.lessThan(2);
    });
  });

  // The last report shows a full endpoint, and no further one arrives. Without
  // a periodic check the request waits in front of an idle endpoint until it is
  // late.
  it("dispatches waiting requests while reports are missing", async () => {
    const { scheduler, timer } = startScheduler();
    scheduler.report({
      side: "one",
      incarnation: "1",
      endpoint: "one",
      state: "serving",
      load: {
        running: 4,
        waiting: 4,
        limit: 2,
        millisecondsBetweenTokens: 10,
      },
      configurationVersion: 1,
      ordersRead: 0,
      orderTaken: 0,
    }, 0);
    const waiting = scheduler.submit(profile({ deadline: 60_000 }));
    expect(scheduler.waiting).to.equal(1);
    await timer.advance(5_000);
    expect(scheduler.waiting).to.equal(0);
    expect((await waiting._unsafeUnwrap().placed).isOk()).to.equal(true);
  });

  describe("a full queue", () => {
    it("evicts bulk work for urgent work", async () => {
      const { scheduler } = startScheduler({
        mostQueued: 1,
        mostQueuedPerWorkspace: 5,
      });
      for (let index = 0; index < CAPACITY; index++) {
        scheduler.submit(profile({ deadline: 1e6 }));
      }
      const bulk = scheduler.submit(profile({ deadline: 1e6 }));
      expect(scheduler.waiting).to.equal(1);
      const urgent = scheduler.submit(
        profile({
          className: identifier<WorkClassName>("urgent"),
          deadline: 1e6,
        }),
      );
      expect(urgent.isOk()).to.equal(true);
      const given = bulk.isErr() ? bulk : await bulk.value.placed;
      expect(given.isErr()).to.equal(true);
    });
  });
});
