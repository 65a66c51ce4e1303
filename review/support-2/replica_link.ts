/** The link to a replica, which can be cut. */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Forwards connections; what passes a cut arrives behind it. */
export class ReplicaLink {
  readonly #upstreamPort: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #held: (() => void)[] = [];
  #isCut = false;

  constructor(upstreamPort: number) {
    this.#upstreamPort = upstreamPort;
    this.#server = createServer(
      { allowHalfOpen: true },
      (client) => this.#pass(() => this.#forward(client)),
    );
  }

  /** Resolves with the port that leads to the replica. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return this.port;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  cut(): void {
    this.#isCut = true;
  }

  /** Passes on what was held, in order. */
  heal(): void {
    this.#isCut = false;
    for (const action of this.#held.splice(0)) action();
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #pass(action: () => void): void {
    if (this.#isCut) this.#held.push(action);
    else action();
  }

  #forward(client: Socket): void {
    const upstream = connect({
      port: this.#upstreamPort,
      host: "127.0.0.1",
      allowHalfOpen: true,
    });
    this.#forwardBytes(client, upstream);
    this.#forwardBytes(upstream, client);
  }

  #forwardBytes(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on("data", (chunk) => this.#pass(() => to.write(chunk)));
    from.on("end", () => this.#pass(() => to.end()));
    from.on("error", () => this.#pass(() => to.resetAndDestroy()));
    from.on("close", () => this.#sockets.delete(from));
  }
}
