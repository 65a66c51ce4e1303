/** Calls between the system's processes are JSON-RPC 2.0 over HTTP. */
export const RPC_PATH = "/rpc";
/**
 * An attempt is one HTTP request whose answer is a stream of frames, one JSON
 * object per line: a JSON-RPC envelope round every token would double its size.
 */
export const ATTEMPT_PATH = "/attempts";

export const PEER_METHODS = {
  report: "side.report",
  ask: "side.ask",
  watch: "entry.watch",
  status: "entry.status",
  snapshot: "entry.snapshot",
} as const;
