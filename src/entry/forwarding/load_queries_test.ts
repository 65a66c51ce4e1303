import { expect } from "chai";
import { deliverNotification } from "../../../test/support/deliver_notification.ts";
import { makeEngine } from "../../../test/support/forwarding_fixtures.ts";
import {
  EndpointLoadReports,
  EndpointRegistry,
  FleetLoad,
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
import { LoadReportExchange } from "./load_report_exchange.ts";
import { LoadQueries, type LoadQueryOutcome } from "./load_queries.ts";
import {
  LOAD_ANSWER_METHOD,
  LOAD_QUERY_METHOD,
} from "./notifications/load_notification.ts";

const ENGINE = makeEngine("engine", "prefill", {
  startedAt: numbered<ReplicaStartTime>(5),
});
const ONE_WAY_MILLISECONDS = 1;

/** One entry with its load state, connected to other entries. */
class Member {
  readonly load: FleetLoad;
  readonly loadReports = new EndpointLoadReports();
  readonly owners: LoadOwners;
  readonly queries: LoadQueries;
  readonly outcomes: LoadQueryOutcome[] = [];

  constructor(
    readonly name: ProcessId,
    timer: ManualTimerService,
    send: (peer: ProcessId, method: string, params: unknown) => void,
  ) {
    this.load = new FleetLoad(timer);
    this.owners = new LoadOwners({ self: name, timer });
    const registry = new EndpointRegistry({ timer });
    registry.upsert(ENGINE);
    this.queries = new LoadQueries({
      self: name,
      timer,
      registry,
      load: this.load,
      owners: this.owners,
      reportExchange: new LoadReportExchange({
        timer,
        registry,
        loadReports: this.loadReports,
        entries: () => 3,
      }),
      send: (peer, { method, params }) => send(peer, method, params),
      onOutcome: (outcome) => this.outcomes.push(outcome),
    });
  }
}

describe("LoadQueries", () => {
  let timer: ManualTimerService;
  let members: Map<ProcessId, Member>;
  let asker: Member;
  let owner: Member;
  /** Modifies a message in transit; undefined drops it. */
  let intercept: (params: unknown) => unknown;
  /** Whether the last query could be decoded. */
  let isQueryValid: boolean | undefined;

  function send(peer: ProcessId, method: string, params: unknown): void {
    const sent = intercept(JSON.parse(JSON.stringify(params)));
    if (sent === undefined) return;
    timer.after(ONE_WAY_MILLISECONDS, () => {
      const { queries } = members.get(peer) as Member;
      if (method === LOAD_QUERY_METHOD) {
        isQueryValid = deliverNotification(method, sent, {
          handler: (query) => queries.onQuery(query),
        });
      }
      if (method === LOAD_ANSWER_METHOD) {
        deliverNotification(method, sent, {
          handler: (answer) => queries.onAnswer(answer),
        });
      }
    });
  }

  beforeEach(() => {
    timer = new ManualTimerService();
    intercept = (params) => params;
    const names = ["one", "two", "three"].map((name) =>
      identifier<ProcessId>(name)
    );
    members = new Map(
      names.map((name) => [name, new Member(name, timer, send)]),
    );
    for (const { name, owners } of members.values()) {
      const others = names.filter((each) => each !== name);
      owners.setMembers(others);
      for (const other of others) owners.recordMessage(other);
    }
    const ownerName = (members.get(names[0]) as Member).owners
      .ownerOf(ENGINE.id);
    owner = members.get(ownerName) as Member;
    asker = [...members.values()].find((each) => each !== owner) as Member;
  });

  /** Runs a query and returns its duration in milliseconds. */
  async function ask(member = asker): Promise<number> {
    const before = timer.now();
    let took = -1;
    void member.queries.refresh([ENGINE.id]).then(() => {
      took = timer.now() - before;
    });
    await timer.advance(20);
    return took;
  }

  function startWork(member: Member, milliseconds: number): void {
    member.load.started(ENGINE.id, { milliseconds, tokens: 100 });
  }

  it("returns the work of the others, to which its own is added", async () => {
    startWork(owner, 30);
    startWork(asker, 10);
    owner.load.applyPeerReport(asker.name, {
      incarnation: "1",
      sequence: 1,
      whole: true,
      work: [[ENGINE.id, 1, 10, 100]],
    });
    expect(await ask()).to.equal(2 * ONE_WAY_MILLISECONDS);
    expect(asker.outcomes).to.deep.equal(["answered"]);
    expect(asker.load.total(ENGINE.id).prefillMilliseconds).to.equal(40);
    startWork(asker, 5);
    expect(asker.load.total(ENGINE.id).prefillMilliseconds).to.equal(45);
  });

  it("sends no query for endpoints that this entry owns", async () => {
    expect(await ask(owner)).to.equal(0);
  });

  // The owner is suspended. Waiting for its answer delays the request and all
  // requests behind it.
  it("waits for a few milliseconds, and not at all after three timeouts", async () => {
    intercept = () => undefined;
    expect(await ask()).to.equal(6);
    await ask();
    await ask();
    expect(await ask()).to.equal(0);
  });

  it("uses the peers' reports once the owner's answer is old", async () => {
    startWork(owner, 30);
    await ask();
    expect(asker.load.total(ENGINE.id).requests).to.equal(1);
    await timer.advance(200);
    expect(asker.load.total(ENGINE.id).requests).to.equal(0);
  });

  // A replica restarts under the same id while the owner answers for the
  // previous run, whose work ended with it.
  it("ignores an answer for another run of the replica", async () => {
    startWork(owner, 30);
    intercept = (params) => {
      const { work } = params as { work?: unknown[][] };
      if (work !== undefined) work[0][4] = 4;
      return params;
    };
    await ask();
    expect(asker.load.total(ENGINE.id).requests).to.equal(0);
  });

  describe("ignores malformed data", () => {
    const malformedQueries: Record<
      string,
      (params: Record<string, unknown>) => unknown
    > = {
      "no object": () => null,
      "no endpoints": ({ entry, id }) => ({ entry, id }),
      "an endpoint that is no text": (params) => ({
        ...params,
        endpoints: [1],
      }),
      "an id that is no number": (params) => ({ ...params, id: "1" }),
    };
    for (const [what, corrupt] of Object.entries(malformedQueries)) {
      it(`in a query: ${what}`, async () => {
        startWork(owner, 30);
        intercept = (params) => corrupt(params as Record<string, unknown>);
        expect(await ask()).to.equal(6);
        expect(isQueryValid).to.equal(false);
        expect(owner.outcomes).to.deep.equal([]);
        expect(asker.outcomes).to.deep.equal(["unanswered"]);
        expect(asker.load.total(ENGINE.id).requests).to.equal(0);
      });
    }

    const malformedWork: Record<string, unknown> = {
      "no list": "work",
      "a row that is no list": [7],
      "a short row": [[ENGINE.id, 1]],
      "a number that is a text": [[ENGINE.id, "1", 2, 3]],
      "another engine": [["other", 1, 2, 3]],
    };
    for (const [what, work] of Object.entries(malformedWork)) {
      it(`in an answer: ${what}`, async () => {
        startWork(owner, 30);
        intercept = (params) => {
          const isAnswer = "work" in (params as object);
          return isAnswer ? { ...params as object, work } : params;
        };
        await ask();
        expect(asker.load.total(ENGINE.id).requests).to.equal(0);
      });
    }
  });

  it("ignores an answer from an entry that was not queried", async () => {
    const third = [...members.values()].find((each) =>
      each !== owner && each !== asker
    ) as Member;
    intercept = (params) => {
      const isAnswer = "work" in (params as object);
      return isAnswer ? { ...params as object, entry: third.name } : params;
    };
    startWork(owner, 30);
    await ask();
    expect(asker.load.total(identifier<EndpointId>("engine")).requests)
      .to.equal(0);
  });
});
