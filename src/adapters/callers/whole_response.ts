import type { OutgoingHttpHeaders, ServerResponse } from "node:http";

/** Status of a response that has neither a body nor a length. */
const NO_CONTENT = 204;

export interface WholeResponse {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: string;
  /** Encoding of the body; UTF-8 by default. */
  readonly encoding?: BufferEncoding;
}

/**
 * Sends a response with its length. Without it, the response to a caller of
 * HTTP/1.0 ends with the connection, and a truncated one looks complete.
 */
export function sendWhole(
  response: ServerResponse,
  { body, encoding = "utf8", headers, status }: WholeResponse,
): void {
  if (status === NO_CONTENT) {
    response.writeHead(status, headers).end();
    return;
  }
  response.writeHead(status, {
    ...headers,
    "content-length": Buffer.byteLength(body, encoding),
  });
  response.end(body, encoding);
}
