import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { BodyFraming } from "../../entry/forwarding/network_interfaces.ts";

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
const ENDS_CHUNKED = /(^|,)\s*chunked\s*$/i;

/** True for a response that has no body, whatever its headers say. */
export function hasNoBody(method: string, status: number): boolean {
  return method === "HEAD" || STATUSES_WITHOUT_BODY.has(status);
}

/** How a response to a request of the method shows where its body ends. */
export function framingOf(
  { headers, statusCode = 0 }: IncomingMessage,
  method: string,
): BodyFraming {
  if (hasNoBody(method, statusCode)) return "length";
  const transferEncoding = headers["transfer-encoding"];
  if (transferEncoding !== undefined) {
    return ENDS_CHUNKED.test(transferEncoding) ? "chunks" : "connection";
  }
  return headers["content-length"] === undefined ? "connection" : "length";
}

/**
 * Detects an end of the connection that breaks off a response without a length,
 * which ends with its connection.
 *
 * If a reset directly follows the last bytes, Node reports a regular end, and a
 * truncated response would appear to be complete. A socket that was reset has no
 * remote address any more; one that the peer closed still has it. The address
 * must not be read earlier because Node caches it.
 *
 * A peer that ends the connection while the request is still being written can't
 * have read all of it, so the response is no whole answer to it.
 */
export function detectBrokenEnd(socket: Socket): () => boolean {
  let isBroken = false;
  socket.once("error", () => isBroken = true);
  socket.prependOnceListener("end", () => {
    const wasReset = socket.remoteAddress === undefined;
    if (wasReset || socket.writableLength > 0) isBroken = true;
  });
  return () => isBroken;
}
