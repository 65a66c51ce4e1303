/** What HTTP servers for callers have in common. */
export { stopListening } from "./stop_listening.ts";
