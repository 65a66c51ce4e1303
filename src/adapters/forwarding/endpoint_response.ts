import type { IncomingMessage } from "node:http";
import type {
  BodyFraming,
  EndpointResponse,
  ReceivedBody,
} from "../../entry/forwarding/network_interfaces.ts";
import { detectReset } from "../http_client/mod.ts";

const FIRST_ERROR_STATUS = 400;
/** Largest body of a failure. One without an end would fill the caller. */
const MAX_FAILURE_BYTES = 1024 * 1024;
/** Largest body of any other response. */
const MAX_BODY_BYTES = 256 * 1024 * 1024;

type MutableReceivedBody = {
  -readonly [Key in keyof ReceivedBody]: ReceivedBody[Key];
};

/** Makes the response of an endpoint of which the head has arrived. */
export function createResponse(
  head: EndpointResponse["head"],
  { framing, incoming }: {
    readonly framing: BodyFraming;
    readonly incoming: IncomingMessage;
  },
): EndpointResponse {
  // On a keep-alive connection each response would add listeners to the socket.
  const wasReset = framing === "connection"
    ? detectReset(incoming.socket)
    : () => false;
  const maxBytes = head.status >= FIRST_ERROR_STATUS
    ? MAX_FAILURE_BYTES
    : MAX_BODY_BYTES;
  const received: MutableReceivedBody = { pieces: 0, bytes: 0 };
  return {
    head,
    framing,
    received,
    read(onChunk, onEnd) {
      let ended = false;
      const end = (how: "whole" | "cut") => {
        if (ended) return;
        ended = true;
        onEnd(how);
      };
      incoming.on("data", (chunk: Buffer) => {
        if (ended) return;
        received.pieces += 1;
        received.bytes += chunk.length;
        if (received.bytes <= maxBytes) return onChunk(chunk);
        received.exceeded = `${received.bytes} bytes, at most ${maxBytes}`;
        incoming.destroy();
        end("cut");
      });
      incoming.on("end", () => {
        end(incoming.complete && !wasReset() ? "whole" : "cut");
      });
      incoming.on("error", () => end("cut"));
      incoming.on("close", () => end("cut"));
    },
    pause: () => void incoming.pause(),
    resume: () => void incoming.resume(),
    close: () => void incoming.destroy(),
  };
}
