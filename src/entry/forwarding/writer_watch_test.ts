import { expect } from "chai";
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

/** What a connection does with a question: answers it, or not. */
type Behaviour = "answers" | "rejects" | "silent" | { readonly after: number };

const timer = new SystemTimerService();

class ScriptedConnection implements EndpointConnection {
  readonly state: EndpointConnectionState;
  readonly opened = Promise.resolve();
  isClosed = false;
  questions = 0;
  behaviour: Behaviour;
  #settle: (process: AnsweringProcess) => void = () => {};

  constructor(behaviour: Behaviour) {
    this.behaviour = behaviour;
    this.state = behaviour === "rejects" ? "rejected" : "open";
  }

  identify(): Promise<AnsweringProcess> {
    this.questions += 1;
    const { behaviour } = this;
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
  readonly writerConnections = new WriterConnections({
    connect: () => this.#connect(),
  });
  readonly #behaviours: Behaviour[];

  constructor(...behaviours: readonly Behaviour[]) {
    this.#behaviours = [...behaviours];
  }

  watch(): WriterWatch {
    const dependencies = {
      readDelayMilliseconds: () => 0,
      registry: { get: () => ENDPOINT },
      timer,
      writerConnections: this.writerConnections,
    } as unknown as ForwardingDependencies;
    const endpoint = ENDPOINT;
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
