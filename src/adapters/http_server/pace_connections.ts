import type { Server } from "node:http";
import { paceReads } from "../paced_reads/mod.ts";

/** Lets the connections of callers share the event loop with all others. */
export function paceConnections(server: Server): void {
  server.on("connection", (socket) => {
    paceReads(socket);
    // Without such a listener, Node's parser reads past the socket's stream.
    socket.on("data", () => {});
  });
}
