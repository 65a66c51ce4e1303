/** The entry: between callers and sides. */
export { EntryCore } from "./entry_core.ts";
export type {
  EntryLimits,
  EntryOptions,
  EntryTimes,
  RequestHandle,
} from "./entry_core.ts";
