import type { ResponseHead } from "../../core/forwarding/mod.ts";
import type { EndpointResponse } from "./network_interfaces.ts";

/** Media type of a stream of server-sent events. */
export const EVENT_STREAM = "text/event-stream";

/** The media type without parameters; undefined if the head has none. */
export function mediaTypeOf({ headers }: ResponseHead): string | undefined {
  const index = headers.findIndex((name, position) =>
    position % 2 === 0 && name.toLowerCase() === "content-type"
  );
  if (index < 0) return undefined;
  return headers[index + 1].split(";")[0].trim().toLowerCase();
}

export function isSuccess({ status }: ResponseHead): boolean {
  return status >= 200 && status < 300;
}

/**
 * True if the response is a stream of server-sent events. Without a media type,
 * the response to a request for a stream is taken for one if nothing but its
 * bytes shows where it ends.
 */
export function isEventStream(
  { framing, head }: EndpointResponse,
  { isStreamRoute }: { readonly isStreamRoute: boolean },
): boolean {
  if (!isSuccess(head)) return false;
  const mediaType = mediaTypeOf(head);
  if (mediaType !== undefined) return mediaType === EVENT_STREAM;
  return isStreamRoute && framing === "connection";
}

/** The head without the length of its body. */
export function withoutLength(head: ResponseHead): ResponseHead {
  const headers = head.headers.filter((_, position) => {
    const name = head.headers[position - position % 2];
    return name.toLowerCase() !== "content-length";
  });
  return { ...head, headers };
}
