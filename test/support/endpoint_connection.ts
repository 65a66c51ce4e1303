import type {
  AnsweringProcess,
  EndpointConnection,
} from "../../src/entry/forwarding/network_interfaces.ts";

/** A connection to a process that answers, or one that was rejected. */
export function makeConnection(
  isAccepted: boolean,
  process: AnsweringProcess = "expected",
): EndpointConnection {
  return {
    state: isAccepted ? "open" : "rejected",
    opened: Promise.resolve(),
    openMilliseconds: 0,
    ended: new Promise(() => {}),
    identify: () => Promise.resolve(isAccepted ? process : "none"),
    close() {},
  };
}
