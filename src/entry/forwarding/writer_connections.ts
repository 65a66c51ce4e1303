import type { RegisteredEndpoint } from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import { MAX_IDLE_MILLISECONDS } from "../../core/links/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type {
  EndpointClient,
  EndpointConnection,
} from "./network_interfaces.ts";

/** Idle connections to one endpoint, which count towards its maximum. */
const MAX_IDLE_CONNECTIONS = 2;

interface IdleConnection {
  readonly connection: EndpointConnection;
  readonly idleSince: number;
}

/** A connection for a question. */
export interface WriterConnection {
  readonly connection: EndpointConnection;
  /** True if it was idle for so long that it may have gone silent. */
  readonly mayBeSilent: boolean;
}

/**
 * Connections to endpoints for questions behind the ends of their bodies. Those
 * on which a question was answered are kept: an endpoint that leaves may accept
 * no further ones, and answers on those that it has.
 */
export class WriterConnections {
  readonly #client: Pick<EndpointClient, "connect">;
  readonly #timer: TimerService;
  readonly #idle = new Map<EndpointId, IdleConnection[]>();

  constructor(client: Pick<EndpointClient, "connect">, timer: TimerService) {
    this.#client = client;
    this.#timer = timer;
  }

  /** Takes an idle connection, or opens one. */
  take(endpoint: RegisteredEndpoint): WriterConnection {
    const open = this.#openOf(endpoint.id);
    const idle = open.pop();
    this.#store(endpoint.id, open);
    if (idle === undefined) {
      return { connection: this.open(endpoint), mayBeSilent: false };
    }
    const idleMilliseconds = this.#timer.now() - idle.idleSince;
    return {
      connection: idle.connection,
      mayBeSilent: idleMilliseconds > MAX_IDLE_MILLISECONDS,
    };
  }

  open({ address }: RegisteredEndpoint): EndpointConnection {
    return this.#client.connect(address);
  }

  /** Keeps a connection for the next question, or closes it. */
  release(
    { id }: RegisteredEndpoint,
    connection: EndpointConnection,
  ): void {
    for (const each of [...this.#idle.keys()]) {
      this.#store(each, this.#openOf(each));
    }
    const open = this.#openOf(id);
    const isKept = connection.state === "open" &&
      open.length < MAX_IDLE_CONNECTIONS;
    if (!isKept) return connection.close();
    const idleSince = this.#timer.now();
    this.#store(id, [...open, { connection, idleSince }]);
  }

  /** Closes the idle connections to an endpoint. */
  closeIdle({ id }: RegisteredEndpoint): void {
    for (const { connection } of this.#idle.get(id) ?? []) connection.close();
    this.#idle.delete(id);
  }

  #openOf(id: EndpointId): IdleConnection[] {
    return (this.#idle.get(id) ?? [])
      .filter(({ connection }) => connection.state === "open");
  }

  #store(id: EndpointId, connections: IdleConnection[]): void {
    if (connections.length === 0) this.#idle.delete(id);
    else this.#idle.set(id, connections);
  }
}
