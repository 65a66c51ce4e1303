/** Path of JSON-RPC 2.0 calls between the system's processes. */
export const RPC_PATH = "/rpc";
/**
 * Path of attempts. An attempt is one HTTP request whose response is a stream
 * of frames, one JSON object per line; a JSON-RPC envelope for every token
 * would double its size.
 */
export const ATTEMPT_PATH = "/attempts";

/** JSON-RPC methods of sides and entries. */
export const PEER_METHODS = {
  report: "side.report",
  ask: "side.ask",
  watch: "entry.watch",
  status: "entry.status",
  snapshot: "entry.snapshot",
} as const;
