import type { StreamPauses } from "../../core/forwarding/mod.ts";
import type { EndpointResponse } from "./network_interfaces.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EVENT_END = "\n\n";

/** Returns the response with its events and reading times recorded. */
export function measurePauses(
  response: EndpointResponse,
  { onBytes, pauses }: {
    readonly pauses: StreamPauses;
    readonly onBytes: () => void;
  },
): EndpointResponse {
  return {
    ...response,
    read: (onChunk, onEnd) =>
      response.read((chunk) => {
        onBytes();
        if (endsEvent(chunk)) {
          pauses.received({ several: containsSeveral(chunk) });
        }
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

/** False for a part of an event, which has no pause of its own. */
function endsEvent(chunk: Buffer): boolean {
  const last = chunk.length - 1;
  if (chunk[last] !== LINE_FEED) return false;
  const before = chunk[last - 1] === CARRIAGE_RETURN ? last - 2 : last - 1;
  return chunk[before] === LINE_FEED;
}

/** True if events had to wait for each other on their way to the entry. */
function containsSeveral(chunk: Buffer): boolean {
  const end = chunk.indexOf(EVENT_END);
  return end >= 0 && end < chunk.length - EVENT_END.length;
}
