import { defineError } from "../errors/mod.ts";
import type { Failure } from "../errors/mod.ts";

/**
 * `append_not_made`: no reader has taken or ever will take the record.
 * `append_unknown`: the record may stand on the log, now or later.
 */
export type JournalFailure = Failure<"append_not_made" | "append_unknown">;

export const APPEND_NOT_MADE = defineError<
  { stream: string; reason: string }
>()({
  name: "append_not_made",
  title: "Record not appended",
  message: ({ stream, reason }) =>
    `Cannot append to stream "${stream}": ${reason}`,
  hint: "Nothing has happened; try again when the log service is reachable.",
});

export const APPEND_UNKNOWN = defineError<{ stream: string; reason: string }>()(
  {
    name: "append_unknown",
    title: "Append in doubt",
    message: ({ stream, reason }) =>
      `Cannot tell whether a record stands on stream "${stream}": ${reason}`,
    hint: "Read the stream before deciding anything on the record's absence.",
  },
);
