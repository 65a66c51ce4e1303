/** Reads of connections that share the event loop with all others. */
export { PieceJoiner } from "./piece_joiner.ts";
export { hasUnparsedBytes, paceReads } from "./read_pacer.ts";
