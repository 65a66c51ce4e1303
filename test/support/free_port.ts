import { createServer } from "node:net";

/**
 * Below the range from which the machine takes ports for connections that go
 * out: one of those could take the port between this look and the program's
 * start, and the program would end with "address in use".
 */
const LOWEST_PORT = 10_000;
const HIGHEST_PORT = 32_000;
const MOST_TRIES = 100;

/** A port of the loopback that nobody listens on at the moment. */
export async function freePort(): Promise<number> {
  for (let tries = 0; tries < MOST_TRIES; tries++) {
    const range = HIGHEST_PORT - LOWEST_PORT;
    const port = LOWEST_PORT + Math.floor(Math.random() * range);
    if (await isFree(port)) return port;
  }
  throw new Error(`No free port among ${MOST_TRIES}`);
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
