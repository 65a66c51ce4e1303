/** The entry: between callers and sides. */
export { EntryCore } from "./entry_core.ts";
export type { EntryLimits, EntryOptions, EntryTimes } from "./entry_core.ts";
export type { RequestHandle } from "./intake.ts";
export type { EntryGuards } from "./guards.ts";
