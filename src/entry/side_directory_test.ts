import { expect } from "chai";
import { err, ok } from "neverthrow";
import { defineError, failure } from "../core/errors/mod.ts";
import type { EndpointId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { PeerAddress, SideLink } from "../core/links/mod.ts";
import { ManualTimerService } from "../core/time/mod.ts";
import type { SideReport } from "../generated/messages.ts";
import { SideDirectory } from "./side_directory.ts";

const LOST = defineError<Record<never, never>>()({
  name: "link_lost",
  title: "Lost",
  message: () => "Gone",
  hint: "",
});

function reportOf(endpoint: string): SideReport {
  return {
    side: endpoint,
    incarnation: "1",
    endpoint,
    state: "serving",
    load: { running: 0, waiting: 0, limit: 8, millisecondsBetweenTokens: 0 },
    configurationVersion: 1,
    ordersRead: 0,
    orderTaken: -1,
  };
}

/** Time that passes a little between any two looks, as real time does. */
class PassingTimerService extends ManualTimerService {
  #looks = 0;
  /** Alarms stand still, as in a process that is paused. */
  pausedMilliseconds = 0;

  override now(): number {
    return super.now() + this.pausedMilliseconds + this.#looks++ / 1_000;
  }
}

describe("SideDirectory", () => {
  let timer: PassingTimerService;
  let asked: number;
  let silent: Set<string>;
  let suspicions: string[];
  let directory: SideDirectory;

  beforeEach(() => {
    timer = new PassingTimerService();
    asked = 0;
    silent = new Set();
    suspicions = [];
    const sides = {
      report(address: string) {
        asked += 1;
        return Promise.resolve(
          silent.has(address) ? err(failure(LOST, {})) : ok(reportOf(address)),
        );
      },
    } as unknown as SideLink;
    directory = new SideDirectory({
      timer,
      sides,
      reportMilliseconds: 1_000,
      suspectMilliseconds: 3_500,
      accepts: () => true,
      onReport() {},
      onSuspicion: (endpoint, suspected) =>
        suspicions.push(`${endpoint} ${suspected}`),
    });
    directory.start();
  });

  afterEach(() => directory.stop());

  function use(count: number): EndpointId[] {
    const ids = Array.from(
      { length: count },
      (_, index) => identifier<EndpointId>(`e-${index}`),
    );
    directory.use(
      new Map(ids.map((id) => [id, identifier<PeerAddress>(id)])),
    );
    return ids;
  }

  // The fleet grows to a hundred sides for each entry. Asking all of them every
  // second would take the node's whole allowance for control twelve times.
  it("asks at a bounded rate however many sides there are", async () => {
    use(112);
    await timer.advance(0);
    asked = 0;
    await timer.advance(60_000);
    expect(asked).to.be.within(200, 260);
    expect(suspicions).to.deep.equal([]);
  });

  // A side hangs with an attempt of this entry in it. The caller hears nothing
  // until the entry gives the side up.
  it("suspects a silent side with work after the short time", async () => {
    const [endpoint] = use(112);
    await timer.advance(2_000);
    directory.attemptBegins(endpoint);
    silent.add(endpoint);
    await timer.advance(5_000);
    expect(suspicions).to.deep.equal([`${endpoint} true`]);
  });

  // A side's VM is gone. The first lost message is enough to ask, and the
  // unanswered question is enough to send nothing more there.
  it("suspects a side at once when message and question are lost", async () => {
    const [endpoint] = use(3);
    await timer.advance(2_000);
    silent.add(endpoint);
    directory.messageLost(endpoint);
    await timer.advance(0);
    expect(suspicions).to.deep.equal([`${endpoint} true`]);
    silent.delete(endpoint);
    await timer.advance(2_000);
    expect(suspicions.at(-1)).to.equal(`${endpoint} false`);
  });

  // A side restarts. Left suspected, it would get no work for good.
  it("trusts a side again once it reports", async () => {
    const [endpoint] = use(3);
    silent.add(endpoint);
    await timer.advance(20_000);
    silent.delete(endpoint);
    await timer.advance(5_000);
    expect(suspicions).to.deep.equal([`${endpoint} true`, `${endpoint} false`]);
  });

  // The entry's own VM is paused for half a minute. When it wakes up, the sides
  // have been silent for it only; their streams are healthy.
  it("blames no side for its own pause", async () => {
    const [endpoint] = use(3);
    directory.attemptBegins(endpoint);
    await timer.advance(2_000);
    timer.pausedMilliseconds = 30_000;
    await timer.advance(3_000);
    expect(suspicions).to.deep.equal([]);
  });

  it("suspects an idle side that stays silent for some rounds", async () => {
    const [endpoint] = use(8);
    silent.add(endpoint);
    await timer.advance(30_000);
    expect(suspicions).to.deep.equal([`${endpoint} true`]);
  });
});
