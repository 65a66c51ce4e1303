import { defineError } from "../../core/errors/mod.ts";

interface EndpointErrorValues {
  readonly url: string;
  readonly reason: string;
}

/** The endpoint has not started the work. */
export const ENDPOINT_REFUSED = defineError<EndpointErrorValues>()({
  name: "endpoint_refused",
  title: "Endpoint did not take the work",
  message: ({ url, reason }) =>
    `Endpoint at ${url} did not take the work: ${reason}`,
  hint: "Nothing has run; the work may go to another endpoint",
});

/** The request was written and no head of an answer came. */
export const ENDPOINT_UNREACHABLE = defineError<EndpointErrorValues>()({
  name: "endpoint_unreachable",
  title: "Endpoint does not answer",
  message: ({ url, reason }) => `Endpoint at ${url} does not answer: ${reason}`,
  hint: "Check that the endpoint's process runs; the work may have run",
});

/** The answer broke off. */
export const ENDPOINT_CLOSED = defineError<EndpointErrorValues>()({
  name: "endpoint_closed",
  title: "Endpoint closed in the middle of an answer",
  message: ({ url, reason }) =>
    `Endpoint at ${url} closed in the middle of an answer: ${reason}`,
  hint: "Check the endpoint's own log for a crash; streams go on elsewhere",
});

/** The answer does not follow the protocol. */
export const ENDPOINT_GARBAGE = defineError<EndpointErrorValues>()({
  name: "endpoint_garbage",
  title: "Endpoint's answer makes no sense",
  message: ({ url, reason }) =>
    `Endpoint at ${url} sent an answer that makes no sense: ${reason}`,
  hint: "Check the endpoint's version and that the address is its own",
});

/** The endpoint says that it failed. */
export const ENDPOINT_ERROR = defineError<EndpointErrorValues>()({
  name: "endpoint_error",
  title: "Endpoint reports an error",
  message: ({ url, reason }) =>
    `Endpoint at ${url} reports an error: ${reason}`,
  hint: "Check the endpoint's own log; the work may have run",
});

/** The engine has seen an order with a higher fencing number. */
export const ORDER_FENCED = defineError<{ url: string; fencing: number }>()({
  name: "order_fenced",
  title: "Engine refused an old order",
  message: ({ url, fencing }) =>
    `Engine at ${url} refused order ${fencing}: it has seen a newer one`,
  hint: "Another planner has taken over; nothing needs to be done",
});
