/** Reads of connections that share the event loop with all others. */
export { hasUnparsedBytes, paceReads } from "./read_pacer.ts";
