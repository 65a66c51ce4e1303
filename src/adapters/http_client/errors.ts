import { defineError } from "../../core/errors/mod.ts";

/** No byte of the request reached the service. */
export const HTTP_NOT_SENT = defineError<{ url: string; reason: string }>()({
  name: "http_not_sent",
  title: "Service refused the connection",
  message: ({ url, reason }) => `Cannot connect to ${url}: ${reason}`,
  hint: "Check the address in the settings and that the service is running",
});

/** The request was written; whether it took effect is unknown. */
export const HTTP_NO_ANSWER = defineError<{ url: string; reason: string }>()({
  name: "http_no_answer",
  title: "Service sent no complete response",
  message: ({ url, reason }) => `No complete response from ${url}: ${reason}`,
  hint: "The call may have had its effect; look at the service's own log",
});

/** The response headers arrived, but the body was incomplete. */
export const HTTP_CLOSED = defineError<{ url: string }>()({
  name: "http_closed",
  title: "Response ended early",
  message: ({ url }) =>
    `The connection to ${url} closed before the end of the response`,
  hint: "The call may have had its effect; look at the service's own log",
});

/** The response exceeds the number of bytes that may be buffered for it. */
export const HTTP_TOO_LARGE = defineError<{ url: string; limit: number }>()({
  name: "http_too_large",
  title: "Response is too large",
  message: ({ url, limit }) =>
    `Response of ${url} is larger than ${limit} bytes`,
  hint: "Raise the limit in the settings if such responses are expected",
});
