import { defineError } from "../../core/errors/mod.ts";

interface ExchangeErrorValues {
  readonly address: string;
  readonly reason: string;
}

/** No byte of the request was sent. */
export const EXCHANGE_NOT_SENT = defineError<ExchangeErrorValues>()({
  name: "exchange_not_sent",
  title: "Request was not sent",
  message: ({ address, reason }) =>
    `Cannot reach endpoint "${address}": ${reason}`,
  hint: "The request goes to another endpoint; check that this one is running",
});

/** The request was sent, and no response arrived. */
export const EXCHANGE_LOST = defineError<ExchangeErrorValues>()({
  name: "exchange_lost",
  title: "Response was lost",
  message: ({ address, reason }) =>
    `No response from endpoint "${address}": ${reason}`,
  hint: "The request may have run; only idempotent work is retried",
});

/** The response belongs to another request. */
export const EXCHANGE_FOREIGN = defineError<ExchangeErrorValues>()({
  name: "exchange_foreign",
  title: "Response belongs to another request",
  message: ({ address, reason }) =>
    `Endpoint "${address}" sent the response to another request: ${reason}`,
  hint: "The connection is closed; the request may have run",
});
