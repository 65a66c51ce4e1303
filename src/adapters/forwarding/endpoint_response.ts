import type { IncomingMessage } from "node:http";
import { SmallPieceBudget } from "../../core/forwarding/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type {
  BodyFraming,
  EndpointResponse,
  ReceivedBody,
} from "../../entry/forwarding/network_interfaces.ts";
import { detectBrokenEnd } from "../http_client/mod.ts";
import { PieceJoiner } from "../paced_reads/mod.ts";

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
  { framing, incoming, timer }: {
    readonly framing: BodyFraming;
    readonly incoming: IncomingMessage;
    readonly timer: TimerService;
  },
): EndpointResponse {
  // On a keep-alive connection each response would add listeners to the socket.
  const isBroken = framing === "connection"
    ? detectBrokenEnd(incoming.socket)
    : () => false;
  const maxBytes = head.status >= FIRST_ERROR_STATUS
    ? MAX_FAILURE_BYTES
    : MAX_BODY_BYTES;
  const received: MutableReceivedBody = { pieces: 0, bytes: 0 };
  const budget = new SmallPieceBudget(timer.now());
  const record = ({ length }: Buffer) => {
    received.pieces += 1;
    received.bytes += length;
    if (received.bytes > maxBytes) {
      received.exceeded = `${received.bytes} bytes, at most ${maxBytes}`;
    }
    received.exceeded ??= budget.spend(length, () => timer.now());
  };
  return {
    head,
    framing,
    received,
    read(onChunk, onEnd) {
      let ended = false;
      const joiner = new PieceJoiner(onChunk);
      const end = (how: "whole" | "cut") => {
        if (ended) return;
        ended = true;
        joiner.flush();
        onEnd(how);
      };
      incoming.on("data", (piece: Buffer) => {
        if (ended) return;
        record(piece);
        if (received.exceeded === undefined) return joiner.push(piece);
        incoming.destroy();
        end("cut");
      });
      incoming.on("end", () => {
        end(incoming.complete && !isBroken() ? "whole" : "cut");
      });
      incoming.on("error", () => end("cut"));
      incoming.on("close", () => end("cut"));
    },
    // The body alone would buffer thousands of small pieces before it stops
    // its connection.
    pause() {
      incoming.pause();
      if (!incoming.readableEnded) incoming.socket.pause();
    },
    resume() {
      incoming.resume();
      if (!incoming.readableEnded) incoming.socket.resume();
    },
    close: () => void incoming.destroy(),
  };
}
