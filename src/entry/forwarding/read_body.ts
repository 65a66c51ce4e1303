import type { EndpointResponse } from "./network_interfaces.ts";

/**
 * Reads the whole body; undefined if it was truncated or exceeds `maxBytes`.
 */
export function readEntireBody(
  response: EndpointResponse,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  return new Promise((resolve) => {
    response.read((chunk) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
    }, (end) => {
      const isUsable = end === "whole" && size <= maxBytes;
      resolve(isUsable ? Buffer.concat(chunks) : undefined);
    });
  });
}
