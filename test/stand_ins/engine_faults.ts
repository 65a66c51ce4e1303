/** Fault injection into the streams of the stand-in engine. */
import type { ServerResponse } from "node:http";

/**
 * Faults that can be set while the engine runs; a token count of -1 disables
 * one.
 */
export interface ModelEngineFaults {
  /** Cuts the next stream within an event after this many tokens. */
  closeAfterTokens: number;
  /** Ends the next stream with invalid data after this many tokens. */
  garbageAfterTokens: number;
  /**
   * Ends the next stream after this many tokens without finish reason and end
   * marker.
   */
  shortAfterTokens: number;
  /** Sends one endless event in the next stream after this many tokens. */
  floodAfterTokens: number;
  /** Status with which new generations are refused; 0 disables the fault. */
  refuseStatus: number;
  /** Whether new generations are accepted and never answered. */
  silent: boolean;
  /** Whether the engine crashes halfway through a state change. */
  crashInChange: boolean;
}

/** Settings of an engine without faults. */
export const NO_ENGINE_FAULTS: Readonly<ModelEngineFaults> = {
  closeAfterTokens: -1,
  garbageAfterTokens: -1,
  shortAfterTokens: -1,
  floodAfterTokens: -1,
  refuseStatus: 0,
  silent: false,
  crashInChange: false,
};

/** Formats one event of a stream. */
export function chunkOf(content: string, reason: string | null): string {
  const choice = { index: 0, delta: { content }, finish_reason: reason };
  return `data: ${JSON.stringify({ choices: [choice] })}\n\n`;
}

/**
 * Injects the fault that is due after the given number of tokens, if any, and
 * returns whether it did. Each fault affects one stream.
 */
export function injectStreamFault(
  response: ServerResponse,
  options: { emittedTokens: number; faults: ModelEngineFaults },
): boolean {
  const { emittedTokens, faults } = options;
  if (emittedTokens === faults.closeAfterTokens) {
    faults.closeAfterTokens = -1;
    response.write('data: {"choices":[{"delta":{"con');
    setTimeout(() => response.destroy(), 5);
    return true;
  }
  if (emittedTokens === faults.garbageAfterTokens) {
    faults.garbageAfterTokens = -1;
    response.end("data: {]garbage\n\n");
    return true;
  }
  if (emittedTokens === faults.shortAfterTokens) {
    faults.shortAfterTokens = -1;
    response.end();
    return true;
  }
  if (emittedTokens === faults.floodAfterTokens) {
    faults.floodAfterTokens = -1;
    flood(response);
    return true;
  }
  return false;
}

/** Sends one endless event until the client closes the connection. */
function flood(response: ServerResponse): void {
  const chunk = "x".repeat(64 * 1024);
  response.write("data: ");
  const writeUntilBlocked = () => {
    while (
      !response.destroyed && response.write(chunk)
    ) { /* write until backpressure */ }
  };
  response.on("drain", writeUntilBlocked);
  writeUntilBlocked();
}
