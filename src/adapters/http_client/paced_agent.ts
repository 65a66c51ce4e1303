import { Agent, type AgentOptions } from "node:http";
import { Socket, type TcpNetConnectOpts } from "node:net";
import { hasUnparsedBytes, paceReads } from "../paced_reads/mod.ts";

/** Methods that Node's agent calls. */
interface AgentHooks {
  createConnection(options: TcpNetConnectOpts): Socket;
  keepSocketAlive(socket: Socket): boolean;
}
const AGENT_PROTOTYPE = Agent.prototype as unknown as AgentHooks;

/** An agent whose connections share the event loop with all others. */
export class PacedAgent extends Agent {
  constructor(options: AgentOptions = {}) {
    super(options);
    const hooks = this as unknown as AgentHooks;
    hooks.createConnection = openPaced;
    // Bytes behind an answer would be taken for the next one.
    hooks.keepSocketAlive = (socket) =>
      !hasUnparsedBytes(socket) &&
      AGENT_PROTOTYPE.keepSocketAlive.call(this, socket);
  }
}

/** Opens a connection as `net.connect` does, to read it as the agent's are. */
export function openPaced(options: TcpNetConnectOpts): Socket {
  const socket = new Socket(options);
  paceReads(socket);
  if (options.timeout !== undefined) socket.setTimeout(options.timeout);
  return socket.connect(options);
}
