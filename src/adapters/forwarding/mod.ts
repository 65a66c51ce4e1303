/** Network I/O of the forwarding path: callers, endpoints and other entries. */
export {
  CallerServer,
  type CallerServerLimits,
  type CallerServerOptions,
} from "./caller_server.ts";
export type { QuestionConnection } from "./endpoint_connection.ts";
export type { OutgoingRequest } from "./endpoint_exchange.ts";
export { type CallBounds, EndpointHttpClient } from "./endpoint_http_client.ts";
export { PeerNotificationSocket } from "./peer_notification_socket.ts";
export { digestOf, partDigestOf, streamDigestOf } from "./request_digest.ts";
