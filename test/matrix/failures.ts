import { defineError } from "../../src/core/errors/mod.ts";

type None = Record<never, never>;

export const NOT_SENT = defineError<None>()({
  name: "link_not_sent",
  title: "Peer not reached",
  message: () => "Nobody listens there",
  hint: "Start the process.",
});

export const LOST = defineError<None>()({
  name: "link_lost",
  title: "Answer lost",
  message: () => "The connection has broken",
  hint: "It may have acted before.",
});

export const LOG_UNKNOWN = defineError<None>()({
  name: "log_unknown",
  title: "Answer lost",
  message: () => "The log service gave no answer",
  hint: "Read forward.",
});

export const ENDPOINT_CLOSED = defineError<None>()({
  name: "endpoint_closed",
  title: "Endpoint closed the connection",
  message: () => "The endpoint closed the connection",
  hint: "Look at the endpoint.",
});

export const ENDPOINT_UNREACHABLE = defineError<None>()({
  name: "endpoint_unreachable",
  title: "Endpoint unreachable",
  message: () => "The endpoint does not answer",
  hint: "Look at the endpoint.",
});

export const ORDER_FENCED = defineError<None>()({
  name: "order_fenced",
  title: "Order refused",
  message: () => "The order carries an old fencing number",
  hint: "Wait for the newer order.",
});
