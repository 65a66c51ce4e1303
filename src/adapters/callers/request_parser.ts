import type { IncomingMessage } from "node:http";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { identifier } from "../../core/identity/mod.ts";
import type { CallerRequest, Refusal } from "../../core/requests/mod.ts";
import { isNestedDeeper } from "../../core/validation/mod.ts";
import type { ChatCompletionRequest } from "../../generated/callers.ts";
import type { GenerationWork, ServiceWork } from "../../generated/messages.ts";
import { validateChatCompletionRequest } from "../../generated/validators.js";
import { invalidRequest } from "./problem.ts";

/** Output token limit if the caller sets none. */
const DEFAULT_MAX_OUTPUT_TOKENS = 1024;
/** The body is encoded again for an engine, which throws if it is too deep. */
const MAX_BODY_DEPTH = 64;
const DEFAULT_WORKSPACE = "default";
const WORKSPACE_HEADER = "x-workspace";
const CLASS_HEADER = "x-work-class";
const DEADLINE_HEADER = "x-deadline-milliseconds";
const MAX_DEADLINE_MILLISECONDS = 24 * 3600 * 1000;
const MAX_IDEMPOTENCY_KEY_LENGTH = 200;

/** A parsed chat completion request. */
export interface ChatCompletion {
  readonly work: GenerationWork;
  readonly stream: boolean;
  readonly user: string | undefined;
}

/** Parses and validates the JSON body of a chat completion request. */
export function parseChatCompletion(
  body: Buffer,
): Result<ChatCompletion, Refusal> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch {
    return err(invalidRequest("The body is not JSON"));
  }
  if (!validateChatCompletionRequest(value)) {
    const problems = (validateChatCompletionRequest.errors ?? []).map((each) =>
      `${each.instancePath || "/"} ${each.message}`
    );
    return err(invalidRequest(`The body does not fit: ${problems.join("; ")}`));
  }
  if (isNestedDeeper(value, MAX_BODY_DEPTH)) {
    return err(
      invalidRequest(`The body is nested deeper than ${MAX_BODY_DEPTH} levels`),
    );
  }
  const chat = value as ChatCompletionRequest;
  return ok({
    work: {
      kind: "generation",
      model: chat.model,
      messages: chat.messages,
      mostOutputTokens: chat.max_completion_tokens ?? chat.max_tokens ??
        DEFAULT_MAX_OUTPUT_TOKENS,
    },
    stream: chat.stream ?? false,
    user: chat.user,
  });
}

/** Creates the work of a plain service call from an HTTP request. */
export function createServiceWork(
  request: IncomingMessage,
  options: { body: Buffer; idempotent: boolean },
): ServiceWork {
  const work: ServiceWork = {
    kind: "service",
    method: request.method ?? "GET",
    path: request.url ?? "/",
    body: options.body.toString("latin1"),
    idempotent: options.idempotent,
  };
  const contentType = request.headers["content-type"];
  if (contentType !== undefined) work.contentType = contentType;
  return work;
}

/**
 * Parses the request headers that set workspace, work class, deadline,
 * idempotency key and trace context.
 */
export function parseCallerHeaders(
  request: IncomingMessage,
  options: { workspace: string | undefined },
): Result<Omit<CallerRequest, "requestId" | "work">, Refusal> {
  const deadline = parseDeadline(firstHeaderValue(request, DEADLINE_HEADER));
  if (deadline.isErr()) return err(deadline.error);
  const key = firstHeaderValue(request, "idempotency-key");
  if (key !== undefined && key.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    return err(
      invalidRequest(
        `The Idempotency-Key is longer than ${MAX_IDEMPOTENCY_KEY_LENGTH}`,
      ),
    );
  }
  const className = firstHeaderValue(request, CLASS_HEADER);
  const workspace = firstHeaderValue(request, WORKSPACE_HEADER) ??
    options.workspace ??
    DEFAULT_WORKSPACE;
  return ok({
    workspace: identifier(workspace),
    headers: singleValueHeaders(request),
    deadlineMilliseconds: deadline.value,
    className: className === undefined ? undefined : identifier(className),
    idempotencyKey: key === undefined ? undefined : identifier(key),
    traceparent: firstHeaderValue(request, "traceparent"),
  });
}

function parseDeadline(
  text: string | undefined,
): Result<number | undefined, Refusal> {
  if (text === undefined) return ok(undefined);
  const milliseconds = Number(text);
  if (!(milliseconds > 0) || milliseconds > MAX_DEADLINE_MILLISECONDS) {
    return err(invalidRequest(`The deadline "${text}" is not a usable number`));
  }
  return ok(milliseconds);
}

function firstHeaderValue(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function singleValueHeaders(request: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (typeof value === "string") headers[name] = value;
  }
  return headers;
}
