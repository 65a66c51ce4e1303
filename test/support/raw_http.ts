import { connect } from "node:net";

export interface RawOptions {
  readonly port: number;
  /** Whether to close the connection as soon as the bytes are sent. */
  readonly closeAfterSend?: boolean;
  readonly waitMilliseconds?: number;
}

/**
 * Sends raw bytes and returns everything received until the connection closes.
 */
export function sendRaw(
  bytes: string | Uint8Array,
  options: RawOptions,
): Promise<string> {
  return new Promise((resolve) => {
    let received = "";
    const socket = connect(options.port, "127.0.0.1");
    const timer = setTimeout(
      () => socket.destroy(),
      options.waitMilliseconds ?? 1_000,
    );
    socket.on("connect", () => {
      socket.write(bytes, () => {
        if (options.closeAfterSend) socket.destroy();
      });
    });
    socket.on("data", (chunk) => received += chunk.toString("latin1"));
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      resolve(received);
    });
  });
}

/** Status codes of all responses in the received text. */
export function statusCodes(received: string): number[] {
  return [...received.matchAll(/^HTTP\/1\.1 (\d{3})/gm)].map((match) =>
    Number(match[1])
  );
}

/**
 * Formats a request as text; headers are kept as given, including duplicates.
 */
export function rawRequest(
  line: string,
  headers: readonly string[],
  body = "",
): string {
  return `${[`${line} HTTP/1.1`, ...headers].join("\r\n")}\r\n\r\n${body}`;
}
