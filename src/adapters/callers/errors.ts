import { defineError } from "../../core/errors/mod.ts";

/** The HTTP server for callers cannot bind its address. */
export const CALLER_LISTEN_FAILED = defineError<{
  address: string;
  detail: string;
}>()({
  name: "caller_listen_failed",
  title: "Address for callers is not available",
  message: (values) =>
    `Cannot listen for callers on ${values.address}: ${values.detail}`,
  hint:
    "Check the callers section of the settings and whether another process uses the port",
});
