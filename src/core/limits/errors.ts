import { defineError } from "../errors/mod.ts";

export const SaturatedError = defineError<{ running: number; limit: number }>()(
  {
    name: "saturated",
    title: "Endpoint is saturated",
    message: ({ running, limit }) =>
      `${running} attempts are running with a limit of ${limit}, and the wait queue is full`,
    hint: "Place the request at another endpoint",
  },
);

export const DeadlineExceededError = defineError<
  { waitedMilliseconds: number }
>()({
  name: "late",
  title: "Deadline has passed",
  message: ({ waitedMilliseconds }) =>
    `The deadline passed after ${
      Math.round(waitedMilliseconds)
    } ms of waiting for a slot`,
  hint: "Give the class a longer deadline or refuse earlier",
});
