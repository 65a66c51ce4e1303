/** What the forwarding path needs from the network, as types. */
import type { Result } from "neverthrow";
import type { Failure } from "../../core/errors/mod.ts";
import type {
  AnswerHead,
  AttemptOptions,
  ForwardedRequest,
  PromptPart,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";

/**
 * `exchange_not_sent`: no byte left. `exchange_lost`: the request may run.
 * `exchange_foreign`: what came answers another request, or nothing at all.
 */
export type ExchangeFailure = Failure<
  "exchange_not_sent" | "exchange_lost" | "exchange_foreign"
>;

/** How the body of an answer ended. */
export type BodyEnd = "whole" | "cut";

/** An endpoint's answer whose body is still coming. */
export interface EndpointAnswer {
  readonly head: AnswerHead;
  /** Gives the body piece by piece; call once. */
  read(
    onPiece: (piece: Buffer) => void,
    onEnd: (end: BodyEnd) => void,
  ): void;
  pause(): void;
  resume(): void;
}

/** A request that is under way at an endpoint. */
export interface Exchange {
  readonly answer: Promise<Result<EndpointAnswer, ExchangeFailure>>;
  /** Closes the connection; the endpoint ends its work. */
  abort(): void;
}

/** Sends requests to endpoints. */
export interface EndpointDoor {
  send(
    request: ForwardedRequest,
    options: AttemptOptions & { readonly address: string },
  ): Exchange;
  /** Reads the handle of a kept prompt out of the answer to a prefill. */
  keptHandle(body: Buffer): string | undefined;
  /** The parts of prompts that an engine keeps; undefined: it did not tell. */
  listKept(
    engine: Pick<RegisteredEndpoint, "id" | "address">,
  ): Promise<readonly PromptPart[] | undefined>;
  /** Frees a kept prompt that nobody will take. */
  release(address: string, handle: string): void;
}

/** Where the answer to a caller goes. */
export interface CallerSink {
  /** True once the caller has gone; nothing reaches it any more. */
  readonly gone: boolean;
  head(status: number, headers: readonly string[]): void;
  /** False while the caller reads slowly; `onDrain` tells when to go on. */
  write(piece: Buffer): boolean;
  finish(): void;
  /** Breaks the answer off, so that it does not look complete. */
  cut(): void;
  onDrain(listener: () => void): void;
  onGone(listener: () => void): void;
  /** An answer of the system's own. */
  refuse(refusal: Refusal): void;
}

/** Why the system itself answers, in place of an endpoint. */
export interface Refusal {
  readonly status: 401 | 404 | 413 | 431 | 502 | 503 | 504;
  readonly reason: string;
  /** When coming back is worth it; only with 503. */
  readonly retryAfterMilliseconds?: number;
}
