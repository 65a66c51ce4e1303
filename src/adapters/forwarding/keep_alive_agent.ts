import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { MAX_IDLE_MILLISECONDS } from "../../core/links/mod.ts";
import { PacedAgent } from "../http_client/mod.ts";
import { hasUnparsedBytes } from "../paced_reads/mod.ts";

/**
 * Fraction of the endpoint's idle timeout during which a connection is reused.
 * Close to the timeout the endpoint may close the connection while a request is
 * being sent, and whether the request ran would be unknown.
 */
const IDLE_TIMEOUT_FRACTION = 0.5;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/** Methods that Node's agent calls when a socket becomes idle or is reused. */
interface AgentHooks {
  keepSocketAlive(socket: Socket): boolean;
  reuseSocket(socket: Socket, request: ClientRequest): void;
}
const AGENT_PROTOTYPE = Agent.prototype as unknown as AgentHooks;

/** An idle socket with Node's internal reference to its last request. */
interface IdleSocket extends Socket {
  _httpMessage?: ClientRequest & {
    res?: { headers: Record<string, string | string[] | undefined> };
  };
}

/**
 * Keep-alive connections to endpoints, reused in LIFO order for a short time,
 * whatever longer one the endpoint announces. A connection that receives bytes
 * while idle, for example because an endpoint responds twice, is closed, so that
 * the bytes cannot be taken for the response to the next request.
 */
export class KeepAliveAgent extends PacedAgent {
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

  /** Closes the idle connections. */
  closeIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  #retainSocket(socket: IdleSocket): boolean {
    const header = socket._httpMessage?.res?.headers["keep-alive"];
    const timeoutMatch = KEEP_ALIVE_TIMEOUT.exec(String(header ?? ""));
    const announcedSeconds = Number(timeoutMatch?.[1] ?? Infinity);
    const idleMilliseconds = Math.min(
      announcedSeconds * 1_000 * IDLE_TIMEOUT_FRACTION,
      MAX_IDLE_MILLISECONDS,
    );
    const isReusable = !socket.destroyed && !hasUnparsedBytes(socket);
    if (idleMilliseconds <= 0 || !isReusable) return false;
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
