import { defineError } from "../errors/mod.ts";

/** The key carries no time, so it could never be expired. */
export const KEY_WITHOUT_TIME = defineError<{ key: string }>()({
  name: "key_without_time",
  title: "Idempotency key carries no time",
  message: ({ key }) => `Cannot read a time from idempotency key "${key}"`,
  hint: "Send a UUID of version 7, with a new one for each operation",
});
