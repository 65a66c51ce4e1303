import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "../../core/errors/result.ts";
import { SmallPieceBudget } from "../../core/forwarding/mod.ts";
import { PieceJoiner } from "../paced_reads/mod.ts";

/**
 * Reads a request's body. The error says what is wrong with it: it has more
 * bytes or small pieces than allowed, or it was cut off. The rest of a body that
 * is over a bound is not read.
 */
export function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, string>> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    const joiner = new PieceJoiner((bytes) => void parts.push(bytes));
    const budget = new SmallPieceBudget(performance.now());
    let length = 0;
    const reject = (problem: string) => {
      request.pause();
      request.off("data", onData);
      resolve(err(problem));
    };
    const onData = (piece: Buffer) => {
      length += piece.length;
      if (length > maxBytes) {
        return reject(`The body is longer than ${maxBytes} bytes`);
      }
      const exceeded = budget.spend(piece.length, () => performance.now());
      if (exceeded !== undefined) return reject(`The body has ${exceeded}`);
      joiner.push(piece);
    };
    request.on("data", onData);
    request.on("end", () => {
      joiner.flush();
      resolve(ok(Buffer.concat(parts)));
    });
    request.on("error", () => resolve(err("The body was cut off")));
    request.on("close", () => resolve(err("The body was cut off")));
  });
}
