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

/** The head of an answer from which nothing follows. */
interface DoubtfulAnswerValues {
  readonly address: string;
  readonly status: number;
  readonly echoedId: string;
  readonly claimsNotRun: boolean;
  readonly signatures: number | undefined;
  readonly hasForeignEncoding: boolean;
}

/** The response belongs to another request, or nothing shows whose it is. */
export const EXCHANGE_FOREIGN = defineError<DoubtfulAnswerValues>()({
  name: "exchange_foreign",
  title: "Response belongs to another request",
  message: ({ address, echoedId, status }) =>
    `Endpoint "${address}" sent a response with status ${status} that repeats ` +
    `${echoedId} of the request ids in place of the request's`,
  hint: "The connection is closed; the request may have run",
});

/** The status promises that the request did not run, and nothing proves it. */
export const EXCHANGE_UNPROVEN = defineError<DoubtfulAnswerValues>()({
  name: "exchange_unproven",
  title: "Response promises what is not proven",
  message: ({ address, claimsNotRun, status }) =>
    `Endpoint "${address}" sent status ${status}, ${
      claimsNotRun ? "which does not fit its claim" : "without the claim"
    } that the request did not run`,
  hint: "The connection is closed; the request may have run",
});

/** The head is none that a sound endpoint sends. */
export const EXCHANGE_SPOILED = defineError<DoubtfulAnswerValues>()({
  name: "exchange_spoiled",
  title: "Response has an invalid head",
  message: ({ address, hasForeignEncoding, signatures, status }) =>
    `Endpoint "${address}" sent status ${status} with ${signatures ?? "no"} ` +
    `signatures${hasForeignEncoding ? " and an encoding not asked for" : ""}`,
  hint: "The connection is closed; the request may have run",
});
