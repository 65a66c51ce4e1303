import { defineError } from "../../core/errors/mod.ts";

export const CALLER_LISTEN_FAILED = defineError<{
  address: string;
  detail: string;
}>()({
  name: "caller_listen_failed",
  title: "Callers' address not available",
  message: (values) =>
    `Cannot listen for callers on ${values.address}: ${values.detail}`,
  hint:
    "Check the callers section of the settings and whether another process holds the port",
});
