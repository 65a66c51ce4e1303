import { defineError } from "../../core/errors/mod.ts";

/** Nothing of the request reached the service. */
export const HTTP_NOT_SENT = defineError<{ url: string; reason: string }>()({
  name: "http_not_sent",
  title: "Service takes no connection",
  message: ({ url, reason }) => `Cannot connect to ${url}: ${reason}`,
  hint: "Check the address in the settings and that the service runs",
});

/** The request was written; whether it had an effect is not known. */
export const HTTP_NO_ANSWER = defineError<{ url: string; reason: string }>()({
  name: "http_no_answer",
  title: "Service gave no whole answer",
  message: ({ url, reason }) => `No whole answer from ${url}: ${reason}`,
  hint: "The call may have had its effect; look at the service's own log",
});

/** The head of an answer came, its end did not. */
export const HTTP_CLOSED = defineError<{ url: string }>()({
  name: "http_closed",
  title: "Answer broke off",
  message: ({ url }) =>
    `The connection to ${url} closed before the end of the answer`,
  hint: "The call may have had its effect; look at the service's own log",
});

/** The answer is larger than what may be kept in memory for it. */
export const HTTP_TOO_LARGE = defineError<{ url: string; limit: number }>()({
  name: "http_too_large",
  title: "Answer is too large",
  message: ({ url, limit }) => `Answer of ${url} is larger than ${limit} bytes`,
  hint: "Raise the limit in the settings if such answers are expected",
});
