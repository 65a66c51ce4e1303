import type { Agent } from "node:http";
import type { Socket } from "node:net";
import { MAX_IDLE_MILLISECONDS } from "../../core/links/mod.ts";

/** The method that Node's agent calls when a socket becomes idle. */
interface AgentHooks {
  keepSocketAlive(socket: Socket): boolean;
}

/** Closes the agent's connections that were idle for the maximum. */
export function limitIdleTime<Limited extends Agent>(agent: Limited): Limited {
  const hooks = agent as unknown as AgentHooks;
  const keepSocketAlive = hooks.keepSocketAlive.bind(agent);
  hooks.keepSocketAlive = (socket) => {
    const isKept = keepSocketAlive(socket);
    // Node closes a connection whose time runs out only while it is idle.
    if (isKept) socket.setTimeout(MAX_IDLE_MILLISECONDS);
    return isKept;
  };
  return agent;
}
