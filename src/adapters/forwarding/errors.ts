import { defineError } from "../../core/errors/mod.ts";

interface ExchangeErrorValues {
  readonly address: string;
  readonly reason: string;
}

/** No byte of the request has left. */
export const EXCHANGE_NOT_SENT = defineError<ExchangeErrorValues>()({
  name: "exchange_not_sent",
  title: "Request was not sent",
  message: ({ address, reason }) =>
    `Cannot reach endpoint "${address}": ${reason}`,
  hint: "Another endpoint gets the request; look whether this one still runs",
});

/** The request left, and no answer came. */
export const EXCHANGE_LOST = defineError<ExchangeErrorValues>()({
  name: "exchange_lost",
  title: "Answer was lost",
  message: ({ address, reason }) =>
    `No answer from endpoint "${address}": ${reason}`,
  hint: "The request may have run; only repeatable work is sent again",
});

/** An answer came that belongs to another request. */
export const EXCHANGE_FOREIGN = defineError<ExchangeErrorValues>()({
  name: "exchange_foreign",
  title: "Answer belongs to another request",
  message: ({ address, reason }) =>
    `Endpoint "${address}" answered another request: ${reason}`,
  hint: "The connection is closed; the request may have run",
});
