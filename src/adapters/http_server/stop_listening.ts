import type { Server } from "node:http";

/**
 * Closes the server's listening socket and its idle connections once no
 * connection waits to be accepted, as the kernel resets those that still wait.
 * Node accepts one connection in each iteration of the event loop, so a busy
 * process has several of them.
 */
export function stopListening(server: Server, onStopped?: () => void): void {
  let accepted = 0;
  server.on("connection", () => accepted += 1);
  const closeIfQuiet = () => {
    const acceptedBefore = accepted;
    // The first callback may run in the current iteration.
    setImmediate(() =>
      setImmediate(() => {
        if (accepted !== acceptedBefore) return closeIfQuiet();
        server.close();
        onStopped?.();
      })
    );
  };
  closeIfQuiet();
}
