import type { EndpointAnswer } from "./links.ts";

/** The answer's whole body; undefined where it was cut or is too long. */
export function readWhole(
  answer: EndpointAnswer,
  mostBytes: number,
): Promise<Buffer | undefined> {
  const pieces: Buffer[] = [];
  let size = 0;
  return new Promise((resolve) => {
    answer.read((piece) => {
      size += piece.length;
      if (size <= mostBytes) pieces.push(piece);
    }, (end) => {
      const isUsable = end === "whole" && size <= mostBytes;
      resolve(isUsable ? Buffer.concat(pieces) : undefined);
    });
  });
}
