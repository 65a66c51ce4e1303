import type { TimerService } from "../../core/time/mod.ts";
import type { EndpointResponse } from "./network_interfaces.ts";

/** Bounds on a body that nobody reads, behind which its connection closes. */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** A rejection has a short body; small pieces cost more than their bytes. */
const MAX_DISCARDED_PIECES = 64;
const DISCARD_TIMEOUT_MILLISECONDS = 500;

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
      if (size <= maxBytes) return void chunks.push(chunk);
      resolve(undefined);
      response.close();
    }, (end) => resolve(end === "whole" ? Buffer.concat(chunks) : undefined));
  });
}

/**
 * Reads a body that is not used, so that its connection can be reused. A longer
 * or slower one than the bounds ends the connection.
 */
export function discardBody(
  response: EndpointResponse,
  timer: TimerService,
): void {
  let size = 0;
  const timeout = timer.after(
    DISCARD_TIMEOUT_MILLISECONDS,
    () => response.close(),
  );
  response.read((chunk) => {
    size += chunk.length;
    const pieces = response.received?.pieces ?? 0;
    const isTooLong = size > MAX_DISCARDED_BYTES ||
      pieces > MAX_DISCARDED_PIECES;
    if (isTooLong) response.close();
  }, () => timeout.cancel());
}
