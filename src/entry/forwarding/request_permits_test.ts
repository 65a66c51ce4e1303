import { expect } from "chai";
import { deliverNotification } from "../../../test/support/deliver_notification.ts";
import { makeEndpoint } from "../../../test/support/forwarding_fixtures.ts";
import { flushPromises } from "../../../test/support/forwarding_harness.ts";
import {
  EndpointLimits,
  EndpointRegistry,
  LoadOwners,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ProcessId,
  type ReplicaStartTime,
} from "../../core/identity/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import {
  PERMIT_ANSWER_METHOD,
  PERMIT_REQUEST_METHOD,
} from "./notifications/permit_notification.ts";
import { type PermitOutcome, RequestPermits } from "./request_permits.ts";

const SELF = identifier<ProcessId>("entry-0");
const PEER = identifier<ProcessId>("entry-1");
const URGENT = { rank: 0, waiting: [] };
const BULK = { rank: 2, waiting: [] };

/** An entry with one peer; which of the two issues depends on the endpoint. */
class PermitScenario {
  readonly timer = new ManualTimerService();
  readonly limits = new EndpointLimits();
  readonly registry = new EndpointRegistry({ timer: this.timer });
  readonly owners = new LoadOwners({ self: SELF, timer: this.timer });
  readonly sent: { readonly method: string; readonly params: unknown }[] = [];
  readonly outcomes: PermitOutcome[] = [];
  readonly permits = new RequestPermits({
    self: SELF,
    timer: this.timer,
    limits: this.limits,
    registry: this.registry,
    owners: this.owners,
    send: (_peer, notification) => void this.sent.push(notification),
    share: () => 1,
    onOutcome: (outcome) => void this.outcomes.push(outcome),
  });

  constructor() {
    this.owners.setMembers([PEER]);
    this.owners.recordMessage(PEER);
  }

  /** Registers an endpoint that this entry or its peer issues permits for. */
  limitedEndpoint(owner: ProcessId, requestsPerSecond = 10) {
    const index = Array.from({ length: 100 }, (_, each) => each).find((each) =>
      this.owners.ownerOf(identifier<EndpointId>(`e${each}`)) === owner
    );
    const endpoint = makeEndpoint(`e${index}`);
    this.registry.upsert(endpoint);
    this.limits.record(endpoint.id, {
      requestsPerSecond,
      sentAt: this.timer.now(),
      receivedAt: this.timer.now(),
    });
    return endpoint;
  }

  /** Delivers a request for permits; returns whether it is valid. */
  request(params: unknown): boolean {
    return deliverNotification(PERMIT_REQUEST_METHOD, params, {
      handler: (request) => this.permits.onRequest(request),
    });
  }

  /** Delivers an answer; returns whether it is valid. */
  receive(params: unknown): boolean {
    return deliverNotification(PERMIT_ANSWER_METHOD, params, {
      handler: (answer) => this.permits.onAnswer(answer),
    });
  }

  /** Answers the last request to the peer. */
  async answer(granted: number, id = this.#lastRequestId): Promise<void> {
    this.receive({
      entry: PEER,
      id,
      granted,
      retryMilliseconds: 40,
      expectedPerSecond: 12.5,
    });
    await flushPromises();
  }

  get #lastRequestId(): unknown {
    const { params } = this.sent[this.sent.length - 1];
    return (params as { readonly id: unknown }).id;
  }
}

describe("RequestPermits", () => {
  it("needs none for an endpoint without a limit", async () => {
    const { permits } = new PermitScenario();
    expect(await permits.acquire(makeEndpoint("free"), BULK)).to.equal(true);
  });

  it("issues permits itself as the owner", async () => {
    const scenario = new PermitScenario();
    const endpoint = scenario.limitedEndpoint(SELF);
    expect(await scenario.permits.acquire(endpoint, BULK)).to.equal(false);
    await scenario.timer.advance(1_000);
    expect(await scenario.permits.acquire(endpoint, BULK)).to.equal(true);
    expect(scenario.sent).to.deep.equal([]);
  });

  describe("from a peer", () => {
    it("go to the more urgent request first", async () => {
      const scenario = new PermitScenario();
      const { permits } = scenario;
      const endpoint = scenario.limitedEndpoint(PEER);
      const first = permits.acquire(endpoint, URGENT);
      const bulk = permits.acquire(endpoint, BULK);
      const urgent = permits.acquire(endpoint, URGENT);
      await scenario.answer(1);
      expect(await first).to.equal(true);
      await scenario.answer(1);
      expect(await Promise.all([bulk, urgent])).to.deep.equal([false, true]);
    });

    it("are not asked for again before the time that the peer named", async () => {
      const scenario = new PermitScenario();
      const { permits } = scenario;
      const endpoint = scenario.limitedEndpoint(PEER);
      const denied = permits.acquire(endpoint, BULK);
      await scenario.answer(0);
      expect(await denied).to.equal(false);
      expect(permits.waitMilliseconds(endpoint.id, BULK.rank)).to.equal(40);
      expect(permits.waitMilliseconds(endpoint.id, URGENT.rank)).to.equal(0);
      expect(await permits.acquire(endpoint, BULK)).to.equal(false);
      expect(scenario.sent).to.have.length(1);
    });

    // Guards against a request that waits for a peer that is suspended.
    it("are given up if it does not answer", async () => {
      const scenario = new PermitScenario();
      const endpoint = scenario.limitedEndpoint(PEER);
      const permit = scenario.permits.acquire(endpoint, URGENT);
      await scenario.timer.advance(30);
      expect(await permit).to.equal(false);
      expect(scenario.outcomes).to.deep.equal(["unanswered"]);
      await scenario.answer(1);
      expect(scenario.permits.waitMilliseconds(endpoint.id, 0)).to.be.above(0);
    });

    it("are used by another request if the first one is not sent", async () => {
      const scenario = new PermitScenario();
      const { permits } = scenario;
      const endpoint = scenario.limitedEndpoint(PEER);
      const permit = permits.acquire(endpoint, BULK);
      await scenario.answer(1);
      expect(await permit).to.equal(true);
      permits.release(endpoint);
      expect(await permits.acquire(endpoint, BULK)).to.equal(true);
      expect(scenario.sent).to.have.length(1);
      permits.release(endpoint);
      await scenario.timer.advance(1_000);
      void permits.acquire(endpoint, BULK);
      expect(scenario.sent).to.have.length(2);
    });
  });

  describe("for a peer", () => {
    const request = (endpoint: string, values = {}) => ({
      entry: PEER,
      id: 7,
      limit: [endpoint, 10, 3, 1],
      wanted: [[0, 1]],
      waiting: [],
      ...values,
    });

    it("are issued, and its limit is learned", async () => {
      const scenario = new PermitScenario();
      scenario.registry.upsert(makeEndpoint("a"));
      expect(scenario.request(request("a"))).to.equal(true);
      await scenario.timer.advance(1_000);
      expect(scenario.request(request("a"))).to.equal(true);
      const granted = scenario.sent.map(({ params }) =>
        (params as { readonly granted: number }).granted
      );
      expect(granted).to.deep.equal([0, 1]);
      expect(scenario.sent[0].method).to.equal(PERMIT_ANSWER_METHOD);
      const id = identifier<EndpointId>("a");
      expect(scenario.limits.requestsPerSecond(id)).to.equal(10);
    });

    // Guards against the limit of a run that is applied to the next one.
    it("are not issued for another run of the endpoint", () => {
      const scenario = new PermitScenario();
      const startedAt = numbered<ReplicaStartTime>(7);
      scenario.registry.upsert(makeEndpoint("a", { startedAt }));
      expect(scenario.request(request("a"))).to.equal(true);
      expect(scenario.sent).to.deep.equal([]);
      expect(scenario.limits.isEmpty).to.equal(true);
    });

    it("are not issued for a malformed request", () => {
      const scenario = new PermitScenario();
      scenario.registry.upsert(makeEndpoint("a"));
      const malformed = [
        undefined,
        "text",
        {},
        request("a", { wanted: [] }),
        request("a", { wanted: [[0]] }),
        request("a", { waiting: 3 }),
        request("a", { limit: ["a", -1, 0, 0] }),
        request("a", { limit: ["a", "ten", 0, 0] }),
        request("a", { limit: ["a", null, 0, 0] }),
      ];
      for (const each of malformed) scenario.request(each);
      expect(scenario.sent).to.deep.equal([]);
    });
  });

  it("ignores a malformed answer", async () => {
    const scenario = new PermitScenario();
    const endpoint = scenario.limitedEndpoint(PEER);
    const permit = scenario.permits.acquire(endpoint, BULK);
    expect(scenario.sent[0].method).to.equal(PERMIT_REQUEST_METHOD);
    for (const each of [undefined, 3, {}, { entry: PEER, id: 1 }]) {
      expect(scenario.receive(each)).to.equal(false);
    }
    await scenario.answer(1);
    expect(await permit).to.equal(true);
  });
});
