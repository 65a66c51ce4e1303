import { defineError } from "../../core/errors/mod.ts";

/** The call had no effect on the log. */
export const LOG_UNAVAILABLE = defineError<
  { stream: string; reason: string }
>()(
  {
    name: "log_unavailable",
    title: "Log service did not accept the call",
    message: ({ stream, reason }) =>
      `Log service did not accept the call on stream "${stream}": ${reason}`,
    hint: "Nothing was appended; the system continues with its current state",
  },
);

/** The append may have taken effect or may still do so. */
export const LOG_UNKNOWN = defineError<{ stream: string; reason: string }>()({
  name: "log_unknown",
  title: "Response of the log service was lost",
  message: ({ stream, reason }) =>
    `No usable response to an append on stream "${stream}": ${reason}`,
  hint:
    "The writer reads the stream to find out whether the record was appended",
});

/** The requested records are past their retention. */
export const LOG_EXPIRED = defineError<{ stream: string; from: number }>()({
  name: "log_expired",
  title: "Records have expired",
  message: ({ stream, from }) =>
    `Stream "${stream}" no longer has the records from offset ${from}`,
  hint: "The reader restarts from a checkpoint or from a peer's snapshot",
});
