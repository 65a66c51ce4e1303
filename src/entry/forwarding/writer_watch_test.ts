import { expect } from "chai";
import { SystemTimerService } from "../../adapters/time/mod.ts";
import { makeEndpoint } from "../../../test/support/forwarding_fixtures.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import type {
  AnsweringProcess,
  EndpointConnection,
} from "./network_interfaces.ts";
import { WriterConnections } from "./writer_connections.ts";
import { WriterWatch } from "./writer_watch.ts";

const MAX_MILLISECONDS = 1_000;

/** A connection whose questions get no answer until it is closed. */
class SilentConnection implements EndpointConnection {
  readonly state = "open";
  readonly opened = Promise.resolve();
  isClosed = false;
  #answer: (process: AnsweringProcess) => void = () => {};

  identify(): Promise<AnsweringProcess> {
    return new Promise((resolve) => this.#answer = resolve);
  }

  close(): void {
    this.isClosed = true;
    this.#answer("none");
  }
}

describe("WriterWatch", () => {
  // Such a connection counts towards the endpoint's maximum until it ends.
  it("leaves no connection open if it is closed during a question", async () => {
    const connections: SilentConnection[] = [];
    const writerConnections = new WriterConnections({
      connect: () => {
        const connection = new SilentConnection();
        connections.push(connection);
        return connection;
      },
    });
    const dependencies = {
      readDelayMilliseconds: () => 0,
      timer: new SystemTimerService(),
      writerConnections,
    } as Partial<ForwardingDependencies> as ForwardingDependencies;
    const watch = new WriterWatch({
      dependencies,
      endpoint: makeEndpoint("writer"),
      healthPath: "/healthz",
    });
    const verdict = watch.judgeEnd(MAX_MILLISECONDS);
    await new Promise(setImmediate);
    watch.close();
    expect((await verdict).endEvidence).to.equal("not_answered");
    expect(connections.map(({ isClosed }) => isClosed)).to.deep.equal([true]);
  });
});
