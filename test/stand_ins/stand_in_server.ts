/** HTTP server and command line shared by the stand-ins. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import process from "node:process";
import { pathToFileURL } from "node:url";

/** Handles one request; `url.pathname` is the path without the query. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
) => Promise<void> | void;

/** An HTTP server on a loopback port; closing it simulates a crash. */
export class StandInServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(handler: RequestHandler) {
    this.#server = createServer({ noDelay: true }, (request, response) => {
      response.on("error", () => {});
      const url = new URL(request.url ?? "/", "http://stand-in");
      Promise.resolve(handler(request, response, url)).catch(() => {
        response.destroy();
      });
    });
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
    });
  }

  /** Listens on the port, or on a free one if it is 0, and returns the port. */
  listen(port = 0): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops listening and destroys every connection, as a crash does. */
  close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    for (const socket of this.#sockets) socket.destroy();
    return closed;
  }
}

/** Reads a complete body, without a size limit. */
export async function readRequestBody(
  request: IncomingMessage,
): Promise<string> {
  let body = "";
  request.setEncoding("utf8");
  for await (const chunk of request) body += chunk;
  return body;
}

export async function readJson(
  request: IncomingMessage,
): Promise<Record<string, unknown>> {
  const body = await readRequestBody(request);
  return body === "" ? {} : JSON.parse(body);
}

export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Interface of a stand-in that runs as its own process. */
export interface StandIn {
  listen(port?: number): Promise<number>;
  close(): Promise<void>;
}

/**
 * Runs the stand-in if its module is the main program. Arguments are `--port N`
 * and options as `--name value`, parsed as JSON or else taken as text. Prints
 * `{"listening": PORT}` once the stand-in listens.
 */
export async function runAsProgram(
  moduleUrl: string,
  make: (options: Record<string, unknown>) => StandIn,
): Promise<void> {
  const program = process.argv[1];
  if (program === undefined || pathToFileURL(program).href !== moduleUrl) {
    return;
  }
  const options = parseArguments(process.argv.slice(2));
  const standIn = make(options);
  const port = await standIn.listen(Number(options.port ?? 0));
  console.log(JSON.stringify({ listening: port }));
  process.on("SIGTERM", () => {
    void standIn.close().then(() => process.exit(0));
  });
  process.on("disconnect", () => process.exit(0));
}

function parseArguments(args: readonly string[]): Record<string, unknown> {
  const options: Record<string, unknown> = {};
  for (let index = 0; index + 1 < args.length; index += 2) {
    const name = args[index].replace(/^--/, "");
    try {
      options[name] = JSON.parse(args[index + 1]);
    } catch {
      options[name] = args[index + 1];
    }
  }
  return options;
}

export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
