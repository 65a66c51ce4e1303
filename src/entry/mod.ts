/**
 * Entry process: admits callers' requests and sends them to the sides of the
 * endpoints.
 */
export { EntryCore } from "./entry_core.ts";
export type { EntryLimits, EntryOptions, EntryTimes } from "./entry_core.ts";
export type { RequestHandle } from "./request_intake.ts";
export type { EntryGuardOverrides } from "./guards.ts";
