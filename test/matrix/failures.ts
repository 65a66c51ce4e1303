import { defineError } from "../../src/core/errors/mod.ts";

type NoFacts = Record<never, never>;

export const LINK_NOT_SENT = defineError<NoFacts>()({
  name: "link_not_sent",
  title: "Peer not reached",
  message: () => "No process listens at the address",
  hint: "Start the process.",
});

export const LINK_LOST = defineError<NoFacts>()({
  name: "link_lost",
  title: "Connection lost",
  message: () => "The connection closed before the answer arrived",
  hint: "The call may have taken effect.",
});

export const LOG_UNKNOWN = defineError<NoFacts>()({
  name: "log_unknown",
  title: "Answer lost",
  message: () => "The log service did not answer",
  hint: "Read the stream to see whether the append took effect.",
});

export const ENDPOINT_CLOSED = defineError<NoFacts>()({
  name: "endpoint_closed",
  title: "Endpoint closed the connection",
  message: () => "The endpoint closed the connection",
  hint: "Check the endpoint.",
});

export const ENDPOINT_UNREACHABLE = defineError<NoFacts>()({
  name: "endpoint_unreachable",
  title: "Endpoint unreachable",
  message: () => "The endpoint does not answer",
  hint: "Check the endpoint.",
});

export const ORDER_FENCED = defineError<NoFacts>()({
  name: "order_fenced",
  title: "Order refused",
  message: () => "The order has an outdated fencing number",
  hint: "Wait for the newer order.",
});
