import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Share of an endpoint's own idle time during which a kept connection is used
 * again. What goes wrong at its end: the endpoint closes the connection while
 * a request is on its way, and nobody can tell whether the request ran.
 */
const IDLE_TIMEOUT_FRACTION = 0.5;
/** Idle time where the endpoint tells none; shorter than common timeouts. */
const DEFAULT_IDLE_MILLISECONDS = 2_000;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/** What Node's agent calls as a connection falls idle and is taken again. */
interface AgentHooks {
  keepSocketAlive(socket: Socket): boolean;
  reuseSocket(socket: Socket, request: ClientRequest): void;
}
const AGENT_PROTOTYPE = Agent.prototype as unknown as AgentHooks;

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
export class KeepAliveAgent extends Agent {
  readonly #idleListeners = new WeakMap<Socket, () => void>();

  constructor(maxConnections: number) {
    super({
      keepAlive: true,
      noDelay: true,
      scheduling: "lifo",
      maxSockets: maxConnections,
      maxFreeSockets: maxConnections,
    });
    const hooks = this as unknown as AgentHooks;
    hooks.keepSocketAlive = (socket) => this.#retainSocket(socket);
    hooks.reuseSocket = (socket, request) =>
      this.#reuseSocketFor(socket, request);
  }

  /** Closes the connections that nobody uses. */
  closeIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  #retainSocket(socket: IdleSocket): boolean {
    const header = socket._httpMessage?.res?.headers["keep-alive"];
    const timeoutMatch = KEEP_ALIVE_TIMEOUT.exec(String(header ?? ""));
    const idleMilliseconds = timeoutMatch === null
      ? DEFAULT_IDLE_MILLISECONDS
      : Number(timeoutMatch[1]) * 1_000 * IDLE_TIMEOUT_FRACTION;
    if (idleMilliseconds <= 0 || socket.destroyed) return false;
    const destroy = () => socket.destroy();
    socket.setTimeout(idleMilliseconds, destroy);
    socket.on("data", destroy);
    socket.on("end", destroy);
    this.#idleListeners.set(socket, destroy);
    socket.unref();
    return true;
  }

  #reuseSocketFor(socket: Socket, request: ClientRequest): void {
    const destroy = this.#idleListeners.get(socket);
    if (destroy !== undefined) {
      socket.off("data", destroy);
      socket.off("end", destroy);
      socket.off("timeout", destroy);
    }
    socket.setTimeout(0);
    AGENT_PROTOTYPE.reuseSocket.call(this, socket, request);
  }
}
