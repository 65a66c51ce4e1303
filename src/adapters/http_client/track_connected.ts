import type { ClientRequest } from "node:http";

/**
 * Returns whether the request has had an established connection; without one,
 * none of its bytes have left.
 */
export function trackConnected(request: ClientRequest): () => boolean {
  let isConnected = false;
  request.on("socket", (socket) => {
    if (!socket.connecting) isConnected = true;
    else socket.once("connect", () => isConnected = true);
  });
  return () => isConnected;
}
