import type {
  EventStreamPosition,
  ResponseHead,
} from "../../core/forwarding/mod.ts";
import type { BodyFraming, EndpointResponse } from "./network_interfaces.ts";

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

/**
 * Returns the response, with `position` kept up to date. An end that leaves the
 * stream unfinished counts as cut, whatever the framing: callers discard an
 * event without its empty line, and would miss it in a complete response. The
 * length is not passed on: a truncated stream that has reached it, or one that
 * another run has continued, would look complete.
 */
export function verifyEvents(
  response: EndpointResponse,
  position: EventStreamPosition,
): EndpointResponse {
  return {
    ...response,
    head: withoutLength(response.head),
    read: (onChunk, onEnd) =>
      response.read((chunk) => {
        position.push(chunk);
        onChunk(chunk);
      }, (end) => {
        const isWhole = end === "whole" &&
          isFinished(position, response.framing);
        onEnd(isWhole ? "whole" : "cut");
      }),
  };
}

function withoutLength(head: ResponseHead): ResponseHead {
  const headers = head.headers.filter((_, position) => {
    const name = head.headers[position - position % 2];
    return name.toLowerCase() !== "content-length";
  });
  return { ...head, headers };
}

/** A connection that ends before the first event shows nothing. */
function isFinished(
  { hasFields, isBetweenEvents }: EventStreamPosition,
  framing: BodyFraming,
): boolean {
  return isBetweenEvents && (framing !== "connection" || hasFields);
}
