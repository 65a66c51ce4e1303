/** What HTTP servers for callers have in common. */
export { paceConnections } from "./pace_connections.ts";
export { readRequestBody } from "./read_request_body.ts";
export { stopListening } from "./stop_listening.ts";
