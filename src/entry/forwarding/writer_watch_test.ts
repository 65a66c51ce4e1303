import { expect } from "chai";
import type { RegisteredEndpoint } from "../../core/forwarding/mod.ts";
import { numbered, type ReplicaStartTime } from "../../core/identity/mod.ts";
import { sleep, type TimerService } from "../../core/time/mod.ts";
import { SystemTimerService } from "../../adapters/time/mod.ts";
import { makeEndpoint } from "../../../test/support/forwarding_fixtures.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import type {
  AnsweringProcess,
  EndpointConnection,
  EndpointConnectionState,
} from "./network_interfaces.ts";
import { WriterConnections } from "./writer_connections.ts";
import { WriterWatch } from "./writer_watch.ts";

const MAX_MILLISECONDS = 1_000;
const ENDPOINT = makeEndpoint("writer");

/**
 * What a connection does with a question: answers it, or not. `rejects`: it is
 * not accepted itself.
 */
type Behaviour =
  | "answers"
  | "rejects"
  | "silent"
  | "answers later"
  | { readonly after: number };

const timer = new SystemTimerService();

class ScriptedConnection implements EndpointConnection {
  state: EndpointConnectionState;
  opened = Promise.resolve();
  readonly ended: Promise<void>;
  openMilliseconds = 0;
  isClosed = false;
  questions = 0;
  behaviour: Behaviour;
  #settle: (process: AnsweringProcess) => void = () => {};
  #end = () => {};

  constructor(behaviour: Behaviour) {
    this.ended = new Promise((resolve) => this.#end = resolve);
    this.behaviour = behaviour;
    this.state = behaviour === "rejects" ? "rejected" : "open";
  }

  openAfter(milliseconds: number): void {
    this.state = "opening";
    this.opened = sleep(timer, milliseconds).then(() => {
      this.state = "open";
    });
  }

  async end(): Promise<void> {
    this.state = "ended";
    this.#end();
    await new Promise(setImmediate);
  }

  identify(): Promise<AnsweringProcess> {
    this.questions += 1;
    const { behaviour } = this;
    if (behaviour === "answers later") {
      this.behaviour = "answers";
      return Promise.resolve("rejecting");
    }
    if (behaviour === "answers") return Promise.resolve("expected");
    return new Promise((resolve) => {
      this.#settle = resolve;
      if (typeof behaviour === "object") {
        timer.after(behaviour.after, () => resolve("expected"));
      }
    });
  }

  close(): void {
    this.isClosed = true;
    this.#settle("none");
  }
}

/** Connections that behave in this order, the last one for all further. */
class ScriptedEndpoint {
  readonly connections: ScriptedConnection[] = [];
  /** For how long an end may have waited to be read. */
  readDelayMilliseconds = 0;
  /** For how much longer than in real time connections have been idle. */
  idleMilliseconds = 0;
  readonly writerConnections = new WriterConnections(
    { connect: () => this.#connect() },
    { now: () => timer.now() + this.idleMilliseconds } as TimerService,
  );
  readonly #behaviours: Behaviour[];
  #openedAfter: number | undefined;

  constructor(...behaviours: readonly Behaviour[]) {
    this.#behaviours = [...behaviours];
  }

  /** Further connections open that much later. */
  opensAfter(milliseconds: number): void {
    this.#openedAfter = milliseconds;
  }

  watch(endpoint: RegisteredEndpoint = ENDPOINT): WriterWatch {
    const dependencies = {
      readDelayMilliseconds: () => this.readDelayMilliseconds,
      registry: { get: () => endpoint },
      timer,
      writerConnections: this.writerConnections,
    } as unknown as ForwardingDependencies;
    return new WriterWatch({ dependencies, endpoint, healthPath: "/healthz" });
  }

  /** Leaves as many idle connections as there are watches. */
  async keep(count: number): Promise<void> {
    const watches = Array.from({ length: count }, () => this.watch());
    for (const watch of watches) await watch.judgeEnd(MAX_MILLISECONDS);
  }

  #connect(): ScriptedConnection {
    const [behaviour] = this.#behaviours;
    if (this.#behaviours.length > 1) this.#behaviours.shift();
    const connection = new ScriptedConnection(behaviour);
    if (this.#openedAfter !== undefined) {
      connection.openAfter(this.#openedAfter);
    }
    this.connections.push(connection);
    return connection;
  }
}

describe("WriterWatch", () => {
  // Such a connection counts towards the endpoint's maximum until it ends.
  it("leaves no connection open if it is closed during a question", async () => {
    const endpoint = new ScriptedEndpoint("silent");
    const watch = endpoint.watch();
    const verdict = watch.judgeEnd(MAX_MILLISECONDS);
    await new Promise(setImmediate);
    watch.close();
    expect((await verdict).endEvidence).to.equal("not_answered");
    expect(endpoint.connections.map(({ isClosed }) => isClosed))
      .to.deep.equal([true]);
  });

  describe("if an idle connection has gone silent", () => {
    // A whole answer was cut though its endpoint answered on new connections.
    for (const milliseconds of [100, 500, 5_000]) {
      it(`has the answer of a new connection: ${milliseconds} ms`, async () => {
        const endpoint = new ScriptedEndpoint("answers");
        await endpoint.keep(1);
        endpoint.connections[0].behaviour = "silent";
        const verdict = await endpoint.watch().judgeEnd(milliseconds);
        expect(verdict.endEvidence).to.equal("answered");
        expect(verdict.endVerdictMilliseconds).to.be.lessThan(
          Math.min(milliseconds, 200),
        );
      });
    }

    it("has the answer where a new one is silent, too", async () => {
      const endpoint = new ScriptedEndpoint("silent", "silent", "answers");
      const verdict = await endpoint.watch().judgeEnd(MAX_MILLISECONDS);
      expect(verdict.endEvidence).to.equal("answered");
    });

    // Each later end would wait for the next silent connection.
    it("closes the other idle ones and keeps the one that has answered", async () => {
      const endpoint = new ScriptedEndpoint("answers");
      await endpoint.keep(2);
      const [first, second] = endpoint.connections;
      first.behaviour = "silent";
      second.behaviour = "silent";
      await endpoint.watch().judgeEnd(MAX_MILLISECONDS);
      const { connections } = endpoint;
      expect(connections.map(({ isClosed }) => isClosed))
        .to.deep.equal([true, true, false]);
      await endpoint.watch().judgeEnd(MAX_MILLISECONDS);
      expect(connections.map(({ questions }) => questions))
        .to.deep.equal([1, 2, 2]);
    });
  });

  // An endpoint that leaves accepts no connection, and answers on those it has.
  it("waits for a busy endpoint that accepts no further connections", async () => {
    const endpoint = new ScriptedEndpoint({ after: 300 }, "rejects");
    const verdict = await endpoint.watch().judgeEnd(MAX_MILLISECONDS);
    expect(verdict.endEvidence).to.equal("answered");
  });

  // A run that has started behind the end answers for the one it has replaced,
  // until its registration is read, and a part of a body was taken for whole.
  describe("if the runs of the endpoint share its id", () => {
    const startedAt = numbered<ReplicaStartTime>(1_700_000_000_000);
    const restarting = { ...ENDPOINT, startedAt };

    it("takes no answer on a connection that was opened behind the end", async () => {
      const endpoint = new ScriptedEndpoint("answers");
      const watch = endpoint.watch(restarting);
      const verdict = watch.judgeEnd(MAX_MILLISECONDS);
      endpoint.connections[0].state = "ended";
      expect((await verdict).endEvidence).to.equal("answered_by_unknown_run");
    });

    // Both ends of a killed process arrive at the end of a network partition.
    for (const openedAfter of [0, 20]) {
      it(`takes no answer on one opened shortly before, in ${openedAfter} ms`, async () => {
        const endpoint = new ScriptedEndpoint("answers");
        const watch = endpoint.watch(restarting);
        endpoint.opensAfter(openedAfter);
        await endpoint.connections[0].end();
        const verdict = await watch.judgeEnd(MAX_MILLISECONDS);
        expect(verdict.endEvidence).to.equal("answered_by_unknown_run");
        expect(endpoint.connections).to.have.length(2);
      });
    }

    it("takes no answer on one opened before an end that was read late", async () => {
      const endpoint = new ScriptedEndpoint("answers");
      endpoint.readDelayMilliseconds = 50;
      const watch = endpoint.watch(restarting);
      await endpoint.connections[0].end();
      endpoint.connections[1].openMilliseconds = 30;
      const verdict = await watch.judgeEnd(MAX_MILLISECONDS);
      expect(verdict.endEvidence).to.equal("answered_by_unknown_run");
    });

    // An endpoint closes idle connections while it writes a long answer.
    it("takes an answer on one that was opened within the body", async () => {
      const endpoint = new ScriptedEndpoint("answers");
      const watch = endpoint.watch(restarting);
      await endpoint.connections[0].end();
      endpoint.connections[1].openMilliseconds = 30;
      const verdict = await watch.judgeEnd(MAX_MILLISECONDS);
      expect(verdict.endEvidence).to.equal("answered");
      expect(endpoint.connections).to.have.length(2);
    });

    // The first question waits for a slot, and one on a new connection does not.
    it("waits for the writer's answer behind one of an unknown run", async () => {
      const endpoint = new ScriptedEndpoint({ after: 300 }, "answers");
      const watch = endpoint.watch(restarting);
      const verdict = await watch.judgeEnd(MAX_MILLISECONDS);
      expect(verdict.endEvidence).to.equal("answered");
      expect(endpoint.connections.map(({ isClosed }) => isClosed))
        .to.deep.equal([false, true]);
    });

    it("names the unknown run if the writer does not answer in time", async () => {
      const endpoint = new ScriptedEndpoint("silent", "answers");
      const watch = endpoint.watch(restarting);
      const verdict = await watch.judgeEnd(MAX_MILLISECONDS);
      expect(verdict).to.include({
        endEvidence: "answered_by_unknown_run",
        endQuestions: 2,
      });
    });

    it("asks again where the first question is rejected", async () => {
      const endpoint = new ScriptedEndpoint("answers later");
      const watch = endpoint.watch(restarting);
      const verdict = await watch.judgeEnd(MAX_MILLISECONDS);
      expect(verdict.endEvidence).to.equal("answered");
      expect(endpoint.connections).to.have.length(1);
    });

    it("takes no answer on one whose opening took longer than 100 ms", async () => {
      const endpoint = new ScriptedEndpoint("answers");
      endpoint.opensAfter(150);
      const watch = endpoint.watch(restarting);
      const verdict = await watch.judgeEnd(MAX_MILLISECONDS);
      expect(verdict.endEvidence).to.equal("answered_by_unknown_run");
    });

    it("takes an answer on the connection from before the end", async () => {
      const endpoint = new ScriptedEndpoint("answers");
      for (let body = 0; body < 2; body++) {
        const watch = endpoint.watch(restarting);
        const verdict = await watch.judgeEnd(MAX_MILLISECONDS);
        expect(verdict.endEvidence).to.equal("answered");
      }
      expect(endpoint.connections).to.have.length(1);
    });

    // A whole answer was cut though its endpoint answered on new connections.
    it("has the answer of a second one if the first has gone silent while idle", async () => {
      const endpoint = new ScriptedEndpoint("answers");
      await endpoint.keep(1);
      endpoint.connections[0].behaviour = "silent";
      endpoint.idleMilliseconds = 3_000;
      const verdict = await endpoint.watch(restarting)
        .judgeEnd(MAX_MILLISECONDS);
      expect(verdict.endEvidence).to.equal("answered");
      expect(verdict.endVerdictMilliseconds).to.be.lessThan(200);
    });

    it("closes the second one if the first answers", async () => {
      const endpoint = new ScriptedEndpoint("answers");
      await endpoint.keep(1);
      endpoint.idleMilliseconds = 3_000;
      await endpoint.watch(restarting).judgeEnd(MAX_MILLISECONDS);
      expect(endpoint.connections.map(({ isClosed }) => isClosed))
        .to.deep.equal([false, true]);
    });
  });

  // Questions wait for the slots of a busy endpoint and delay its requests.
  it("asks on at most three connections at a time, and closes them", async () => {
    const endpoint = new ScriptedEndpoint("silent");
    const verdict = await endpoint.watch().judgeEnd(MAX_MILLISECONDS);
    expect(verdict).to.include({
      endEvidence: "not_answered",
      endQuestions: 3,
    });
    expect(endpoint.connections.map(({ isClosed }) => isClosed))
      .to.deep.equal([true, true, true]);
  });
});
