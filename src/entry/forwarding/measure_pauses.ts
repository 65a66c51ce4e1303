import type { StreamPauses } from "../../core/forwarding/mod.ts";
import type { EndpointResponse } from "./network_interfaces.ts";

const EVENT_END = "\n\n";

/** Returns the response with its events and reading times recorded. */
export function measurePauses(
  response: EndpointResponse,
  { onEvent, pauses }: {
    readonly pauses: StreamPauses;
    readonly onEvent: () => void;
  },
): EndpointResponse {
  return {
    head: response.head,
    read: (onChunk, onEnd) =>
      response.read((chunk) => {
        onEvent();
        pauses.received({ several: containsSeveral(chunk) });
        onChunk(chunk);
      }, onEnd),
    pause() {
      pauses.suspend();
      response.pause();
    },
    resume() {
      pauses.resume();
      response.resume();
    },
  };
}

/** True if events had to wait for each other on their way to the entry. */
function containsSeveral(chunk: Buffer): boolean {
  const end = chunk.indexOf(EVENT_END);
  return end >= 0 && end < chunk.length - EVENT_END.length;
}
