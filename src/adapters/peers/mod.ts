/** Communication between the system's own processes over HTTP. */
export { HttpPeerClient } from "./peer_client.ts";
export { PeerServer } from "./peer_server.ts";
export type {
  PeerMethods,
  PeerServerOptions,
  RunningAttempt,
} from "./peer_server.ts";
export { PEER_METHODS } from "./protocol.ts";
