import { defineError } from "../errors/mod.ts";

/** The key can't be placed in time, so nobody could ever forget it. */
export const KEY_WITHOUT_TIME = defineError<{ key: string }>()({
  name: "key_without_time",
  title: "Idempotency key carries no time",
  message: ({ key }) => `Cannot read a time from idempotency key "${key}"`,
  hint: "Send a UUID of version 7, made anew for each operation",
});
