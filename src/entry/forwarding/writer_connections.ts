import type { RegisteredEndpoint } from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import type {
  EndpointClient,
  EndpointConnection,
} from "./network_interfaces.ts";

/** Idle connections to one endpoint, which count towards its maximum. */
const MAX_IDLE_CONNECTIONS = 2;

/**
 * Connections to endpoints for questions behind the ends of their bodies. Those
 * on which a question was answered are kept: an endpoint that leaves may accept
 * no further ones, and answers on those that it has.
 */
export class WriterConnections {
  readonly #client: Pick<EndpointClient, "connect">;
  readonly #idle = new Map<EndpointId, EndpointConnection[]>();

  constructor(client: Pick<EndpointClient, "connect">) {
    this.#client = client;
  }

  /** Takes an idle connection, or opens one. */
  take(endpoint: RegisteredEndpoint): EndpointConnection {
    const open = this.#openOf(endpoint.id);
    const connection = open.pop();
    this.#store(endpoint.id, open);
    return connection ?? this.open(endpoint);
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
    this.#store(id, [...open, connection]);
  }

  /** Closes the idle connections to an endpoint. */
  closeIdle({ id }: RegisteredEndpoint): void {
    for (const connection of this.#idle.get(id) ?? []) connection.close();
    this.#idle.delete(id);
  }

  #openOf(id: EndpointId): EndpointConnection[] {
    return (this.#idle.get(id) ?? []).filter(({ state }) => state === "open");
  }

  #store(id: EndpointId, connections: EndpointConnection[]): void {
    if (connections.length === 0) this.#idle.delete(id);
    else this.#idle.set(id, connections);
  }
}
