import { defineError } from "../errors/mod.ts";
import type { Failure } from "../errors/mod.ts";

/**
 * `append_not_made`: no reader has applied or will ever apply the record.
 * `append_unknown`: the record may be on the log, now or later.
 */
export type JournalFailure = Failure<"append_not_made" | "append_unknown">;

export const APPEND_NOT_MADE = defineError<
  { stream: string; reason: string }
>()({
  name: "append_not_made",
  title: "Record not appended",
  message: ({ stream, reason }) =>
    `Cannot append to stream "${stream}": ${reason}`,
  hint: "Nothing was changed; retry when the log service is reachable.",
});

export const APPEND_UNKNOWN = defineError<{ stream: string; reason: string }>()(
  {
    name: "append_unknown",
    title: "Append outcome unknown",
    message: ({ stream, reason }) =>
      `Cannot determine whether the record is on stream "${stream}": ${reason}`,
    hint: "Read the stream before relying on the record's absence.",
  },
);
