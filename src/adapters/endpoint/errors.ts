import { defineError } from "../../core/errors/mod.ts";

interface EndpointErrorValues {
  readonly url: string;
  readonly reason: string;
}

/** The endpoint has not started the work. */
export const ENDPOINT_REFUSED = defineError<EndpointErrorValues>()({
  name: "endpoint_refused",
  title: "Endpoint did not accept the work",
  message: ({ url, reason }) =>
    `Endpoint at ${url} did not accept the work: ${reason}`,
  hint: "Nothing has run; the work can be sent to another endpoint",
});

/** The request was written and no response headers arrived. */
export const ENDPOINT_UNREACHABLE = defineError<EndpointErrorValues>()({
  name: "endpoint_unreachable",
  title: "Endpoint does not respond",
  message: ({ url, reason }) =>
    `Endpoint at ${url} does not respond: ${reason}`,
  hint: "Check that the endpoint's process is running; the work may have run",
});

/** The response ended early. */
export const ENDPOINT_CLOSED = defineError<EndpointErrorValues>()({
  name: "endpoint_closed",
  title: "Endpoint closed the connection during a response",
  message: ({ url, reason }) =>
    `Endpoint at ${url} closed the connection during a response: ${reason}`,
  hint:
    "Check the endpoint's own log for a crash; streams resume at another endpoint",
});

/** The response does not follow the protocol. */
export const ENDPOINT_GARBAGE = defineError<EndpointErrorValues>()({
  name: "endpoint_garbage",
  title: "Endpoint sent an invalid response",
  message: ({ url, reason }) =>
    `Endpoint at ${url} sent an invalid response: ${reason}`,
  hint: "Check the endpoint's version and that the address is correct",
});

/** The endpoint reported an error. */
export const ENDPOINT_ERROR = defineError<EndpointErrorValues>()({
  name: "endpoint_error",
  title: "Endpoint reported an error",
  message: ({ url, reason }) =>
    `Endpoint at ${url} reported an error: ${reason}`,
  hint: "Check the endpoint's own log; the work may have run",
});

/** The engine has received an order with a higher fencing token. */
export const ORDER_FENCED = defineError<{ url: string; fencing: number }>()({
  name: "order_fenced",
  title: "Engine rejected an outdated order",
  message: ({ url, fencing }) =>
    `Engine at ${url} rejected order ${fencing}: it has received a newer one`,
  hint: "Another planner has taken over; no action is needed",
});
