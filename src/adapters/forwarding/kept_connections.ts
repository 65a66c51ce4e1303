import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Share of an endpoint's own idle time during which a kept connection is used
 * again. What goes wrong at its end: the endpoint closes the connection while
 * a request is on its way, and nobody can tell whether the request ran.
 */
const USABLE_IDLE_SHARE = 0.5;
/** Idle time where the endpoint tells none; shorter than common timeouts. */
const DEFAULT_IDLE_MILLISECONDS = 2_000;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/** What Node's agent calls as a connection falls idle and is taken again. */
interface IdleHooks {
  keepSocketAlive(socket: Socket): boolean;
  reuseSocket(socket: Socket, request: ClientRequest): void;
}
const HOOKS = Agent.prototype as unknown as IdleHooks;

/** A socket that stands idle and must stay silent. */
interface IdleSocket extends Socket {
  _httpMessage?: ClientRequest & {
    res?: { headers: Record<string, string | string[] | undefined> };
  };
}

/**
 * Connections to endpoints that are used again, the freshest first. Bytes that
 * come on an idle connection belong to no request (an endpoint that answers
 * twice): the connection is closed before a request could take them for its
 * own answer.
 */
export class KeptConnections extends Agent {
  readonly #idleListeners = new WeakMap<Socket, () => void>();

  constructor(mostConnections: number) {
    super({
      keepAlive: true,
      noDelay: true,
      scheduling: "lifo",
      maxSockets: mostConnections,
      maxFreeSockets: mostConnections,
    });
    const hooks = this as unknown as IdleHooks;
    hooks.keepSocketAlive = (socket) => this.#keep(socket);
    hooks.reuseSocket = (socket, request) => this.#reuse(socket, request);
  }

  /** Closes the connections that nobody uses. */
  dropIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  #keep(socket: IdleSocket): boolean {
    const header = socket._httpMessage?.res?.headers["keep-alive"];
    const told = KEEP_ALIVE_TIMEOUT.exec(String(header ?? ""));
    const idle = told === null
      ? DEFAULT_IDLE_MILLISECONDS
      : Number(told[1]) * 1_000 * USABLE_IDLE_SHARE;
    if (idle <= 0 || socket.destroyed) return false;
    const destroy = () => socket.destroy();
    socket.setTimeout(idle, destroy);
    socket.on("data", destroy);
    socket.on("end", destroy);
    this.#idleListeners.set(socket, destroy);
    socket.unref();
    return true;
  }

  #reuse(socket: Socket, request: ClientRequest): void {
    const destroy = this.#idleListeners.get(socket);
    if (destroy !== undefined) {
      socket.off("data", destroy);
      socket.off("end", destroy);
      socket.off("timeout", destroy);
    }
    socket.setTimeout(0);
    HOOKS.reuseSocket.call(this, socket, request);
  }
}
