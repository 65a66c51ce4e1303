import type { Guard } from "./forward_context.ts";
import type { EndpointResponse } from "./network_interfaces.ts";

export interface VerifyEndOptions {
  /** True if the process that wrote the body has not ended with it. */
  readonly isRunning: () => Promise<boolean>;
  readonly guard: Guard;
}

/**
 * Returns the response; a body that ends with its connection counts as cut if
 * its endpoint has ended too. The connections of a killed process end in order,
 * as they do behind a whole body.
 */
export function verifyEnd(
  response: EndpointResponse,
  { guard, isRunning }: VerifyEndOptions,
): EndpointResponse {
  if (response.framing !== "connection") return response;
  return {
    ...response,
    read: (onChunk, onEnd) =>
      response.read(onChunk, (end) => {
        if (end === "cut") return onEnd(end);
        const settle = guard(onEnd);
        isRunning().then(
          (isWhole) => settle(isWhole ? "whole" : "cut"),
          () => settle("cut"),
        );
      }),
  };
}
