import { createServer } from "node:net";

/**
 * Ports stay below the ephemeral range of the operating system. An outgoing
 * connection could otherwise take the port between this check and the start of
 * the program, which would then exit with "address in use".
 */
const LOWEST_PORT = 10_000;
const HIGHEST_PORT = 32_000;
const MAX_ATTEMPTS = 100;

/**
 * Ports that are already allocated. A program listens only some time after its
 * port is drawn, so the port still appears free at the next draw. Without this
 * set, two of a deployment's fifteen ports would be equal in one of 200
 * deployments, and a full test run starts about fifty.
 */
const allocatedPorts = new Set<number>();

/** Returns a loopback port that is not in use and not yet allocated. */
export async function findFreePort(): Promise<number> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const range = HIGHEST_PORT - LOWEST_PORT;
    const port = LOWEST_PORT + Math.floor(Math.random() * range);
    if (allocatedPorts.has(port)) continue;
    allocatedPorts.add(port);
    if (await isFree(port)) return port;
  }
  throw new Error(`Found no free port in ${MAX_ATTEMPTS} attempts`);
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
