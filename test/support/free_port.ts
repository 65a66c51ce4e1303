import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** A port of the loopback that nobody listens on at the moment. */
export function freePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
