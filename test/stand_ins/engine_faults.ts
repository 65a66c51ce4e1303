/** How the stand-in engine misbehaves in the middle of a stream. */
import type { ServerResponse } from "node:http";

/** Faults that can be switched while it runs; -1 switches one off. */
export interface ModelEngineFaults {
  /** The next stream is cut in mid-token behind so many tokens. */
  closeAfterTokens: number;
  /** The next stream turns into garbage behind so many tokens. */
  garbageAfterTokens: number;
  /** The next stream ends without reason and end mark. */
  shortAfterTokens: number;
  /** The next stream sends without end behind so many tokens. */
  floodAfterTokens: number;
  /** New generations get this status; 0 for none. */
  refuseStatus: number;
  /** New generations are taken and never answered. */
  silent: boolean;
  /** The process ends when the next order's change is half done. */
  crashInChange: boolean;
}

/** The engine as it should be. */
export const NO_ENGINE_FAULTS: Readonly<ModelEngineFaults> = {
  closeAfterTokens: -1,
  garbageAfterTokens: -1,
  shortAfterTokens: -1,
  floodAfterTokens: -1,
  refuseStatus: 0,
  silent: false,
  crashInChange: false,
};

/** One event of a stream. */
export function chunkOf(content: string, reason: string | null): string {
  const choice = { index: 0, delta: { content }, finish_reason: reason };
  return `data: ${JSON.stringify({ choices: [choice] })}\n\n`;
}

/**
 * Brings a fault about where its time has come; true where it did. Each fault
 * hits one stream.
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

/** Sends one event without an end until the other side has had enough. */
function flood(response: ServerResponse): void {
  const chunk = "x".repeat(64 * 1024);
  response.write("data: ");
  const writeUntilBlocked = () => {
    while (!response.destroyed && response.write(chunk)) { /* go on */ }
  };
  response.on("drain", writeUntilBlocked);
  writeUntilBlocked();
}
