import type { Guard } from "./forward_context.ts";
import type { EndpointResponse } from "./network_interfaces.ts";
import type { WriterWatch } from "./writer_watch.ts";

export interface VerifyEndOptions {
  readonly watch: Pick<WriterWatch, "close">;
  /** True if the process that wrote the body has outlived it. */
  readonly isWhole: () => Promise<boolean>;
  readonly guard: Guard;
}

/**
 * Returns a response whose body ends with its connection; it counts as cut
 * unless it is proven that its endpoint has outlived it. The connections of a
 * killed process end in order, as they do behind a whole body.
 */
export function verifyEnd(
  response: EndpointResponse,
  { guard, isWhole, watch }: VerifyEndOptions,
): EndpointResponse {
  return {
    ...response,
    read: (onChunk, onEnd) =>
      response.read(onChunk, (end) => {
        if (end === "cut") {
          watch.close();
          return onEnd(end);
        }
        const settle = guard(onEnd);
        isWhole().then(
          (whole) => settle(whole ? "whole" : "cut"),
          () => settle("cut"),
        );
      }),
  };
}
