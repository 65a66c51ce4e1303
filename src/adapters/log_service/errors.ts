import { defineError } from "../../core/errors/mod.ts";

/** The call had no effect. */
export const LOG_UNAVAILABLE = defineError<
  { stream: string; reason: string }
>()(
  {
    name: "log_unavailable",
    title: "Log service did not take the call",
    message: ({ stream, reason }) =>
      `Log service did not take the call on stream "${stream}": ${reason}`,
    hint: "Nothing was appended; the system goes on with what it has",
  },
);

/** The append may have happened or may still happen. */
export const LOG_UNKNOWN = defineError<{ stream: string; reason: string }>()({
  name: "log_unknown",
  title: "Answer of the log service was lost",
  message: ({ stream, reason }) =>
    `No usable answer to an append on stream "${stream}": ${reason}`,
  hint: "The writer reads forward to learn whether the record stands",
});

/** The wanted records are no longer kept. */
export const LOG_EXPIRED = defineError<{ stream: string; from: number }>()({
  name: "log_expired",
  title: "Records have expired",
  message: ({ stream, from }) =>
    `Stream "${stream}" no longer keeps records from offset ${from} on`,
  hint: "The reader starts from a checkpoint or from a peer",
});
