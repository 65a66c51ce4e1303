import type {
  EventStreamPosition,
  ResponseHead,
} from "../../core/forwarding/mod.ts";
import type { EndpointResponse } from "./network_interfaces.ts";

const EVENT_STREAM = "text/event-stream";

/** The media type without parameters; undefined if the head has none. */
export function mediaTypeOf({ headers }: ResponseHead): string | undefined {
  const index = headers.findIndex((name, position) =>
    position % 2 === 0 && name.toLowerCase() === "content-type"
  );
  if (index < 0) return undefined;
  return headers[index + 1].split(";")[0].trim().toLowerCase();
}

/** True if the head declares a stream of server-sent events. */
export function declaresEventStream(head: ResponseHead): boolean {
  return mediaTypeOf(head) === EVENT_STREAM;
}

/** Returns the response, with `position` kept up to date. */
export function followEvents(
  response: EndpointResponse,
  position: EventStreamPosition,
): EndpointResponse {
  return {
    ...response,
    read: (onChunk, onEnd) =>
      response.read((chunk) => {
        position.push(chunk);
        onChunk(chunk);
      }, onEnd),
  };
}
