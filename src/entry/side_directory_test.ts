import { expect } from "chai";
import { err, ok } from "neverthrow";
import { defineError, failure } from "../core/errors/mod.ts";
import type { EndpointId } from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { PeerAddress, SideLink } from "../core/links/mod.ts";
import { ManualTimerService } from "../core/time/mod.ts";
import type { SideReport } from "../generated/messages.ts";
import { SideDirectory } from "./side_directory.ts";

const LINK_LOST = defineError<Record<never, never>>()({
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

/** A clock that advances slightly with every read, as a real one does. */
class AdvancingTimerService extends ManualTimerService {
  #reads = 0;
  /**
   * Time for which the process was paused: the clock advances but no timer
   * fires.
   */
  pausedMilliseconds = 0;

  override now(): number {
    return super.now() + this.pausedMilliseconds + this.#reads++ / 1_000;
  }
}

describe("SideDirectory", () => {
  let timer: AdvancingTimerService;
  let requestCount: number;
  let silentSides: Set<string>;
  let suspicions: string[];
  let directory: SideDirectory;

  beforeEach(() => {
    timer = new AdvancingTimerService();
    requestCount = 0;
    silentSides = new Set();
    suspicions = [];
    const sides = {
      report(address: string) {
        requestCount += 1;
        return Promise.resolve(
          silentSides.has(address)
            ? err(failure(LINK_LOST, {}))
            : ok(reportOf(address)),
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

  function useSides(count: number): EndpointId[] {
    const ids = Array.from(
      { length: count },
      (_, index) => identifier<EndpointId>(`e-${index}`),
    );
    directory.setSides(
      new Map(ids.map((id) => [id, identifier<PeerAddress>(id)])),
    );
    return ids;
  }

  // With a hundred sides per entry, polling all of them every second would take
  // twelve times the VM's control traffic budget.
  it("polls at a bounded rate for any number of sides", async () => {
    useSides(112);
    await timer.advance(0);
    requestCount = 0;
    await timer.advance(60_000);
    expect(requestCount).to.be.within(200, 260);
    expect(suspicions).to.deep.equal([]);
  });

  // A side hangs with a running attempt of this entry. The caller gets nothing
  // until the entry ends the attempt as lost.
  it("suspects a silent side with work after the short timeout", async () => {
    const [endpoint] = useSides(112);
    await timer.advance(2_000);
    directory.trackAttempt(endpoint);
    silentSides.add(endpoint);
    await timer.advance(5_000);
    expect(suspicions).to.deep.equal([`${endpoint} true`]);
  });

  // A side's VM is lost. The first lost message triggers a report request, and
  // its failure is enough to stop sending work there.
  it("suspects a side at once when a message and the report request are lost", async () => {
    const [endpoint] = useSides(3);
    await timer.advance(2_000);
    silentSides.add(endpoint);
    directory.onMessageLost(endpoint);
    await timer.advance(0);
    expect(suspicions).to.deep.equal([`${endpoint} true`]);
    silentSides.delete(endpoint);
    await timer.advance(2_000);
    expect(suspicions.at(-1)).to.equal(`${endpoint} false`);
  });

  // A side restarts. If it stayed suspected, it would never get work again.
  it("clears the suspicion once the side reports", async () => {
    const [endpoint] = useSides(3);
    silentSides.add(endpoint);
    await timer.advance(20_000);
    silentSides.delete(endpoint);
    await timer.advance(5_000);
    expect(suspicions).to.deep.equal([`${endpoint} true`, `${endpoint} false`]);
  });

  // The entry's own VM is paused for half a minute. After it resumes, the sides
  // only appear to have been silent; their streams are healthy.
  it("suspects no side because of its own pause", async () => {
    const [endpoint] = useSides(3);
    directory.trackAttempt(endpoint);
    await timer.advance(2_000);
    timer.pausedMilliseconds = 30_000;
    await timer.advance(3_000);
    expect(suspicions).to.deep.equal([]);
  });

  it("suspects an idle side that is silent for several poll cycles", async () => {
    const [endpoint] = useSides(8);
    silentSides.add(endpoint);
    await timer.advance(30_000);
    expect(suspicions).to.deep.equal([`${endpoint} true`]);
  });
});
