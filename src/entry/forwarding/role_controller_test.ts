import { expect } from "chai";
import { err, ok } from "neverthrow";
import { flushPromises } from "../../../test/support/forwarding_harness.ts";
import {
  ENGINE_POOL,
  makeEngine,
} from "../../../test/support/forwarding_fixtures.ts";
import {
  type CurrentClaim,
  EndpointRegistry,
  FleetLoad,
  type StoreFailure,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStartTime,
  type SoftwareVersion,
} from "../../core/identity/mod.ts";
import { NOOP_LOGGER } from "../../core/observation/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { type OrderOutcome, RoleController } from "./role_controller.ts";

const UNAVAILABLE: StoreFailure = {
  name: "store_unavailable",
  title: "",
  message: "",
  hint: "",
};

/** The log of claims and the engines, shared by all controllers. */
class Platform {
  claims: CurrentClaim[] = [];
  /** Offset of the first record; each restore starts a higher epoch. */
  #firstOffset = 0;
  onOrder = () => {};
  orders: { holder: string; fencing: number; endpoint: string; at: number }[] =
    [];
  answer: OrderOutcome = "accepted";
  /** Appends take effect, but their responses are lost. */
  losesAnswers = false;
  readonly #timer: ManualTimerService;

  constructor(timer: ManualTimerService) {
    this.#timer = timer;
  }

  readonly link = {
    readClaim: () =>
      Promise.resolve(
        ok({ claim: this.claims.at(-1), end: this.#end }),
      ),
    appendClaim: (holder: string, at: number) => {
      if (at !== this.#end) return Promise.resolve(ok(undefined));
      this.claims.push({ holder, offset: at });
      return Promise.resolve(this.losesAnswers ? err(UNAVAILABLE) : ok(at));
    },
    order: (
      change: { readonly endpoint: { readonly id: string } },
      options: { readonly holder: string; readonly fencing: number },
    ) => {
      const endpoint = String(change.endpoint.id);
      this.orders.push({ ...options, endpoint, at: this.#timer.now() });
      this.onOrder();
      return Promise.resolve(this.answer);
    },
  };

  /** Restores a copy of the log from before the first claim. */
  restore(): void {
    this.#firstOffset += 1_000;
    this.claims = [];
  }

  get #end(): number {
    return this.#firstOffset + this.claims.length;
  }
}

describe("RoleController", () => {
  let timer: ManualTimerService;
  let platform: Platform;
  let controllers: RoleController[];
  let registries: EndpointRegistry[];

  function startControllers(count: number, isBroadcasting = true): void {
    registries = [];
    controllers = Array.from({ length: count }, (_, index) => {
      const registry = new EndpointRegistry({ timer });
      registries.push(registry);
      for (let engine = 0; engine < 10; engine++) {
        const role = engine < 5 ? "prefill" : "decode";
        registry.upsert(makeEngine(`engine-${engine}`, role));
      }
      return new RoleController({
        self: `entry-${index}`,
        timer,
        random: seededRandom(index + 1),
        registry,
        load: new FleetLoad(timer),
        link: platform.link,
        logger: NOOP_LOGGER,
        leaseMilliseconds: 3_000,
        pools: () => [ENGINE_POOL],
        hasResumableStreams: () => true,
        broadcastOrders: (orders) => {
          if (!isBroadcasting) return;
          for (const controller of controllers) {
            controller.onPeerOrders({ orders });
          }
        },
      });
    });
    for (const controller of controllers) controller.start();
  }

  async function advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      await timer.advance(50);
      await flushPromises();
    }
  }

  beforeEach(() => {
    timer = new ManualTimerService();
    platform = new Platform(timer);
  });

  afterEach(() => {
    for (const controller of controllers) controller.stop();
  });

  it("gives a missing order once, from any entry", async () => {
    startControllers(5);
    await advance(10_000);
    expect(platform.orders).to.have.length(1);
    expect(
      controllers.every((controller) =>
        controller.isChanging("engine-5" as never)
      ),
    )
      .to.equal(true);
  });

  // The notification to the peers is lost, and the engine takes long to change.
  // Another entry repeats the order, but never within the lease of the first
  // and never with its fencing token.
  it("separates two holders by lease and fencing token", async () => {
    startControllers(3, false);
    await advance(40_000);
    const { orders } = platform;
    for (let index = 1; index < orders.length; index++) {
      const [one, next] = [orders[index - 1], orders[index]];
      expect(next.fencing).to.be.greaterThan(one.fencing);
      if (next.holder === one.holder) continue;
      expect(next.at - one.at).to.be.greaterThan(3_000);
    }
  });

  // Two holders would order the same engines within one lease.
  it("waits for the lease of a claim that a restore may have lost", async () => {
    startControllers(3, false);
    platform.onOrder = () => {
      platform.onOrder = () => {};
      platform.restore();
      for (const controller of controllers) controller.onStoreRestored();
    };
    await advance(40_000);
    const { orders } = platform;
    const other = orders.find(({ holder }) => holder !== orders[0].holder);
    expect(other).not.to.equal(undefined);
    const last = orders.findLast(({ at, holder }) =>
      holder === orders[0].holder && at < other!.at
    );
    expect(other!.at - last!.at).to.be.greaterThan(3_000);
  });

  // The claim took effect but its response was lost. An order with a guessed
  // fencing token could use that of another holder; the next check reads the
  // claim.
  it("gives no order under a claim whose response was lost", async () => {
    platform.losesAnswers = true;
    startControllers(1);
    await advance(4_000);
    expect(platform.claims.length).to.be.greaterThan(0);
    expect(platform.orders).to.deep.equal([]);
  });

  // An engine has seen a higher fencing token, so another entry holds the
  // claim.
  it("stops when an engine refuses its fencing token", async () => {
    platform.answer = "refused";
    startControllers(1);
    await advance(6_000);
    expect(platform.orders).to.have.length(1);
  });

  it("gives no orders for seconds when decode engines are lost", async () => {
    startControllers(1);
    await advance(6_000);
    const before = platform.orders.length;
    for (const lost of ["engine-8", "engine-9"]) {
      const engine = makeEngine(lost, "decode", { leaving: true });
      registries[0].upsert(engine);
      controllers[0].onEngineChange(engine);
    }
    await advance(5_000);
    expect(platform.orders).to.have.length(before);
  });

  // The streams of the version could not go on, although engines of it serve.
  it("orders an engine of a version without decoders to decode at once", async () => {
    startControllers(1);
    const [registry] = registries;
    const softwareVersion = identifier<SoftwareVersion>("v2");
    const newer = ["prefill", "prefill", "decode"] as const;
    newer.forEach((role, index) =>
      registry.upsert(makeEngine(`newer-${index}`, role, { softwareVersion }))
    );
    await advance(12_000);
    platform.orders = [];
    registry.remove(identifier<EndpointId>("newer-2"));
    await advance(1_500);
    const ordered = platform.orders.map(({ endpoint }) => endpoint);
    expect(ordered.filter((id) => id.startsWith("newer")))
      .to.deep.equal(["newer-0"]);
  });

  describe("an engine that restarts during a role change", () => {
    const id = identifier<EndpointId>("engine-5");

    /** Registers the engine as a new run with this role. */
    function restart(role: "prefill" | "decode", startedAt: number): void {
      const engine = makeEngine(id, role, {
        startedAt: numbered<ReplicaStartTime>(startedAt),
      });
      registries[0].upsert(engine);
      controllers[0].forget(engine);
      controllers[0].onEngineChange(engine);
    }

    // The order went to the previous run and ended with it. If the change
    // counted as pending, the engine would get neither work nor another order
    // for twelve seconds.
    it("gets work immediately, and a new order with a new fencing token", async () => {
      startControllers(1);
      await advance(6_000);
      expect(platform.orders).to.have.length(1);
      restart("decode", 2);
      expect(controllers[0].isChanging(id)).to.equal(false);
      await advance(12_000);
      const [first, second] = platform.orders;
      expect(second.endpoint).to.equal(id);
      expect(second.fencing).to.be.greaterThan(first.fencing);
    });

    // The order to the previous run reaches the new one and is carried out
    // there. The engine then has the planned role; another order would revert
    // it.
    it("gets no further order if the late one is carried out", async () => {
      startControllers(1);
      await advance(6_000);
      restart("decode", 2);
      await advance(2_000);
      restart("prefill", 2);
      await advance(20_000);
      expect(platform.orders).to.have.length(1);
      expect(controllers[0].isChanging(id)).to.equal(false);
    });
  });
});
