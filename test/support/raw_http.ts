import { connect } from "node:net";

export interface RawOptions {
  readonly port: number;
  /** Closes the connection right after the bytes have been sent. */
  readonly hangUp?: boolean;
  readonly waitMilliseconds?: number;
}

/** Sends bytes as they are; gives what came back until the other side closed. */
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
        if (options.hangUp) socket.destroy();
      });
    });
    socket.on("data", (piece) => received += piece.toString("latin1"));
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      resolve(received);
    });
  });
}

/** Status codes of all answers that stand in what was received. */
export function statusCodes(received: string): number[] {
  return [...received.matchAll(/^HTTP\/1\.1 (\d{3})/gm)].map((match) =>
    Number(match[1])
  );
}

/** A request as text; headers stand as they are given, also twice. */
export function rawRequest(
  line: string,
  headers: readonly string[],
  body = "",
): string {
  return `${[`${line} HTTP/1.1`, ...headers].join("\r\n")}\r\n\r\n${body}`;
}
