import { expect } from "chai";
import { makeEngine } from "../../../test/support/forwarding_values.ts";
import {
  EndpointRegistry,
  LoadOwners,
  LoadPicture,
} from "../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ProcessId,
  type ReplicaStart,
} from "../../core/identity/mod.ts";
import { ManualTimerService } from "../../core/time/mod.ts";
import {
  LOAD_ANSWER_METHOD,
  LOAD_QUERY_METHOD,
  LoadQueries,
  type LoadQuestionOutcome,
} from "./load_queries.ts";

const ENGINE = makeEngine("engine", "prefill", {
  startedAt: numbered<ReplicaStart>(5),
});
const ONE_WAY_MILLISECONDS = 1;

/** One entry with its picture, among others that it can tell things. */
class Member {
  readonly load: LoadPicture;
  readonly owners: LoadOwners;
  readonly questions: LoadQueries;
  readonly outcomes: LoadQuestionOutcome[] = [];

  constructor(
    readonly name: ProcessId,
    timer: ManualTimerService,
    send: (peer: ProcessId, method: string, params: unknown) => void,
  ) {
    this.load = new LoadPicture(timer);
    this.owners = new LoadOwners({ self: name, timer });
    const registry = new EndpointRegistry({ timer });
    registry.put(ENGINE);
    this.questions = new LoadQueries({
      self: name,
      timer,
      registry,
      load: this.load,
      owners: this.owners,
      send: (peer, { method, params }) => send(peer, method, params),
      onOutcome: (outcome) => this.outcomes.push(outcome),
    });
  }
}

describe("LoadQuestions", () => {
  let timer: ManualTimerService;
  let members: Map<ProcessId, Member>;
  let asker: Member;
  let owner: Member;
  /** Changes what is sent; undefined loses it. */
  let intercept: (params: unknown) => unknown;

  function send(peer: ProcessId, method: string, params: unknown): void {
    const sent = intercept(JSON.parse(JSON.stringify(params)));
    if (sent === undefined) return;
    timer.after(ONE_WAY_MILLISECONDS, () => {
      const { questions } = members.get(peer) as Member;
      if (method === LOAD_QUERY_METHOD) questions.onQuery(sent);
      if (method === LOAD_ANSWER_METHOD) questions.onAnswer(sent);
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
      for (const other of others) owners.heard(other);
    }
    const ownerName = (members.get(names[0]) as Member).owners
      .ownerOf(ENGINE.id);
    owner = members.get(ownerName) as Member;
    asker = [...members.values()].find((each) => each !== owner) as Member;
  });

  /** Asks, and gives how long it took. */
  async function ask(member = asker): Promise<number> {
    const before = timer.now();
    let took = -1;
    void member.questions.refresh([ENGINE.id]).then(() => {
      took = timer.now() - before;
    });
    await timer.advance(20);
    return took;
  }

  function startWork(member: Member, milliseconds: number): void {
    member.load.started(ENGINE.id, { milliseconds, tokens: 100 });
  }

  it("brings the others' work, to which the own is added", async () => {
    startWork(owner, 30);
    startWork(asker, 10);
    owner.load.peerReported(asker.name, {
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

  it("asks nobody for what this entry owns", async () => {
    expect(await ask(owner)).to.equal(0);
  });

  // The owner is frozen. A request that waits for its word is late by it, and
  // so are all that come behind.
  it("waits for few milliseconds, and after three times not at all", async () => {
    intercept = () => undefined;
    expect(await ask()).to.equal(6);
    await ask();
    await ask();
    expect(await ask()).to.equal(0);
  });

  it("goes by the peers' reports once the owner's word is old", async () => {
    startWork(owner, 30);
    await ask();
    expect(asker.load.total(ENGINE.id).requests).to.equal(1);
    await timer.advance(200);
    expect(asker.load.total(ENGINE.id).requests).to.equal(0);
  });

  // A replica starts again under its id while the owner answers for the run
  // before. Its work there has ended with it.
  it("passes over the word on another run of the replica", async () => {
    startWork(owner, 30);
    intercept = (params) => {
      const { work } = params as { work?: unknown[][] };
      if (work !== undefined) work[0][4] = 4;
      return params;
    };
    await ask();
    expect(asker.load.total(ENGINE.id).requests).to.equal(0);
  });

  describe("passes over what can't be read", () => {
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
      it(`in a question: ${what}`, async () => {
        startWork(owner, 30);
        intercept = (params) => corrupt(params as Record<string, unknown>);
        expect(await ask()).to.equal(6);
        expect(owner.outcomes).to.deep.equal(["unreadable"]);
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

  it("takes no answer from an entry that was not asked", async () => {
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
