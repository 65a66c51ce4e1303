import { expect } from "chai";
import { err, ok } from "neverthrow";
import { settled } from "../../../test/support/forwarding_bench.ts";
import {
  ENGINE_POOL,
  makeEngine,
} from "../../../test/support/forwarding_values.ts";
import {
  EndpointRegistry,
  LoadPicture,
  type StandingClaim,
  type StoreFailure,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStart,
} from "../../core/identity/mod.ts";
import { SILENT_LOGGER } from "../../core/observation/mod.ts";
import { seededRandom } from "../../core/random/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import { type OrderOutcome, RoleController } from "./role_controller.ts";

const UNAVAILABLE: StoreFailure = {
  name: "store_unavailable",
  title: "",
  message: "",
  hint: "",
};

/** The log of claims and the engines, as all keepers see them. */
class Platform {
  claims: StandingClaim[] = [];
  orders: { holder: string; fencing: number; endpoint: string; at: number }[] =
    [];
  answer: OrderOutcome = "accepted";
  /** Appends take effect, and their answers are lost. */
  losesAnswers = false;
  readonly #timer: ManualTimerService;

  constructor(timer: ManualTimerService) {
    this.#timer = timer;
  }

  readonly link = {
    readClaim: () =>
      Promise.resolve(
        ok({ claim: this.claims.at(-1), end: this.claims.length }),
      ),
    appendClaim: (holder: string, at: number) => {
      if (at !== this.claims.length) return Promise.resolve(ok(undefined));
      this.claims.push({ holder, offset: at });
      return Promise.resolve(this.losesAnswers ? err(UNAVAILABLE) : ok(at));
    },
    order: (
      change: { readonly endpoint: { readonly id: string } },
      options: { readonly holder: string; readonly fencing: number },
    ) => {
      const endpoint = String(change.endpoint.id);
      this.orders.push({ ...options, endpoint, at: this.#timer.now() });
      return Promise.resolve(this.answer);
    },
  };
}

describe("RoleKeeper", () => {
  let timer: ManualTimerService;
  let platform: Platform;
  let keepers: RoleController[];
  let registries: EndpointRegistry[];

  function startKeepers(count: number, isBroadcasting = true): void {
    registries = [];
    keepers = Array.from({ length: count }, (_, index) => {
      const registry = new EndpointRegistry({ timer });
      registries.push(registry);
      for (let engine = 0; engine < 10; engine++) {
        const role = engine < 5 ? "prefill" : "decode";
        registry.put(makeEngine(`engine-${engine}`, role));
      }
      return new RoleController({
        self: `entry-${index}`,
        timer,
        random: seededRandom(index + 1),
        registry,
        load: new LoadPicture(timer),
        link: platform.link,
        logger: SILENT_LOGGER,
        leaseMilliseconds: 3_000,
        pools: () => [ENGINE_POOL],
        broadcastOrders: (orders) => {
          if (!isBroadcasting) return;
          for (const keeper of keepers) keeper.onPeerOrders(orders);
        },
      });
    });
    for (const keeper of keepers) keeper.start();
  }

  async function advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      await timer.advance(50);
      await settled();
    }
  }

  beforeEach(() => {
    timer = new ManualTimerService();
    platform = new Platform(timer);
  });

  afterEach(() => {
    for (const keeper of keepers) keeper.stop();
  });

  it("gives the order that is missing, once, whoever is first", async () => {
    startKeepers(5);
    await advance(10_000);
    expect(platform.orders).to.have.length(1);
    expect(keepers.every((keeper) => keeper.isChanging("engine-5" as never)))
      .to.equal(true);
  });

  // The word to the peers is lost, and the engine takes long to change. Another
  // entry gives the order again: never within the lease of the first, and
  // never with its number.
  it("keeps two holders apart by lease and number", async () => {
    startKeepers(3, false);
    await advance(40_000);
    const { orders } = platform;
    for (let index = 1; index < orders.length; index++) {
      const [one, next] = [orders[index - 1], orders[index]];
      expect(next.fencing).to.be.greaterThan(one.fencing);
      if (next.holder === one.holder) continue;
      expect(next.at - one.at).to.be.greaterThan(3_000);
    }
  });

  // The claim took effect and its answer was lost. An order with a guessed
  // number could be another holder's; the next look reads the claim.
  it("gives no order under a claim whose answer was lost", async () => {
    platform.losesAnswers = true;
    startKeepers(1);
    await advance(4_000);
    expect(platform.claims.length).to.be.greaterThan(0);
    expect(platform.orders).to.deep.equal([]);
  });

  // An engine has seen a higher number: somebody else holds the claim now.
  it("gives up when an engine refuses its number", async () => {
    platform.answer = "refused";
    startKeepers(1);
    await advance(6_000);
    expect(platform.orders).to.have.length(1);
  });

  it("gives no orders for seconds when engines that decode are lost", async () => {
    startKeepers(1);
    await advance(6_000);
    const before = platform.orders.length;
    for (const lost of ["engine-8", "engine-9"]) {
      const engine = makeEngine(lost, "decode", { leaving: true });
      registries[0].put(engine);
      keepers[0].onEngineChange(engine);
    }
    await advance(5_000);
    expect(platform.orders).to.have.length(before);
  });

  describe("an engine that starts again while its change is under way", () => {
    const id = identifier<EndpointId>("engine-5");

    /** The engine registers anew, in this role, as a run of its own. */
    function restart(role: "prefill" | "decode", startedAt: number): void {
      const engine = makeEngine(id, role, {
        startedAt: numbered<ReplicaStart>(startedAt),
      });
      registries[0].put(engine);
      keepers[0].forget(engine);
      keepers[0].onEngineChange(engine);
    }

    // The order went to the former run and ended with it. Taken for under way,
    // the engine would get no work for twelve seconds, and no order either.
    it("gets work at once, and a new order with a number of its own", async () => {
      startKeepers(1);
      await advance(6_000);
      expect(platform.orders).to.have.length(1);
      restart("decode", 2);
      expect(keepers[0].isChanging(id)).to.equal(false);
      await advance(12_000);
      const [first, second] = platform.orders;
      expect(second.endpoint).to.equal(id);
      expect(second.fencing).to.be.greaterThan(first.fencing);
    });

    // The former run's order reaches the new one, and is carried out there. The
    // engine is what was wanted; one more order would only take it away again.
    it("gets no further order where the late one is carried out", async () => {
      startKeepers(1);
      await advance(6_000);
      restart("decode", 2);
      await advance(2_000);
      restart("prefill", 2);
      await advance(20_000);
      expect(platform.orders).to.have.length(1);
      expect(keepers[0].isChanging(id)).to.equal(false);
    });
  });
});
