/** Network I/O of the forwarding path: callers, endpoints and other entries. */
export {
  CallerServer,
  type CallerServerLimits,
  type CallerServerOptions,
} from "./caller_server.ts";
export {
  EndpointExchanges,
  type OutgoingRequest,
} from "./endpoint_exchanges.ts";
export { PeerDatagrams } from "./peer_datagrams.ts";
export { digestOf } from "./request_digest.ts";
