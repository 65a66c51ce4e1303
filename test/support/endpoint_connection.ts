import type { EndpointConnection } from "../../src/entry/forwarding/network_interfaces.ts";

/** A connection that was accepted and stays open, or was rejected. */
export function makeConnection(isAccepted: boolean): EndpointConnection {
  return {
    state: isAccepted ? "open" : "rejected",
    opened: Promise.resolve(),
    closed: isAccepted ? new Promise(() => {}) : Promise.resolve(),
    millisecondsSinceEnd: 0,
    close() {},
  };
}
