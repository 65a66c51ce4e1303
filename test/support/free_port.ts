import { createServer } from "node:net";

/**
 * Below the range from which the machine takes ports for connections that go
 * out: one of those could take the port between this look and the program's
 * start, and the program would end with "address in use".
 */
const LOWEST_PORT = 10_000;
const HIGHEST_PORT = 32_000;
const MOST_TRIES = 100;

/**
 * Ports that have been given out. A program listens some time after its port
 * was drawn, so that nobody holds it yet when the next one is drawn: of the
 * fifteen ports of a deployment two are the same in one of 200 by reckoning,
 * and a whole run of the tests starts some fifty deployments.
 */
const given = new Set<number>();

/** A port of the loopback that nobody listens on and nobody was given. */
export async function freePort(): Promise<number> {
  for (let tries = 0; tries < MOST_TRIES; tries++) {
    const range = HIGHEST_PORT - LOWEST_PORT;
    const port = LOWEST_PORT + Math.floor(Math.random() * range);
    if (given.has(port)) continue;
    given.add(port);
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
