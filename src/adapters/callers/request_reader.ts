import type { IncomingMessage } from "node:http";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { identifier } from "../../core/identity/mod.ts";
import type { CallerRequest, Refusal } from "../../core/requests/mod.ts";
import type { ChatCompletionRequest } from "../../generated/callers.ts";
import type { GenerationWork, ServiceWork } from "../../generated/messages.ts";
import { validateChatCompletionRequest } from "../../generated/validators.js";
import { invalid } from "./problem.ts";

/** Tokens that an answer may have where the caller names no maximum. */
const DEFAULT_MOST_OUTPUT_TOKENS = 1024;
const DEFAULT_WORKSPACE = "default";
const WORKSPACE_HEADER = "x-workspace";
const CLASS_HEADER = "x-work-class";
const DEADLINE_HEADER = "x-deadline-milliseconds";
const LONGEST_DEADLINE_MILLISECONDS = 24 * 3600 * 1000;
const LONGEST_KEY = 200;

/** A chat completion as the caller sent it. */
export interface Chat {
  readonly work: GenerationWork;
  readonly stream: boolean;
  readonly user: string | undefined;
}

export function readChat(body: Buffer): Result<Chat, Refusal> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch {
    return err(invalid("The body is not JSON"));
  }
  if (!validateChatCompletionRequest(value)) {
    const problems = (validateChatCompletionRequest.errors ?? []).map((each) =>
      `${each.instancePath || "/"} ${each.message}`
    );
    return err(invalid(`The body does not fit: ${problems.join("; ")}`));
  }
  const chat = value as ChatCompletionRequest;
  return ok({
    work: {
      kind: "generation",
      model: chat.model,
      messages: chat.messages,
      mostOutputTokens: chat.max_completion_tokens ?? chat.max_tokens ??
        DEFAULT_MOST_OUTPUT_TOKENS,
    },
    stream: chat.stream ?? false,
    user: chat.user,
  });
}

export function readServiceWork(
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

/** Who asks, and within which limits, by the request's headers. */
export function readCaller(
  request: IncomingMessage,
  options: { workspace: string | undefined },
): Result<Omit<CallerRequest, "requestId" | "work">, Refusal> {
  const deadline = readDeadline(header(request, DEADLINE_HEADER));
  if (deadline.isErr()) return err(deadline.error);
  const key = header(request, "idempotency-key");
  if (key !== undefined && key.length > LONGEST_KEY) {
    return err(invalid(`The Idempotency-Key is longer than ${LONGEST_KEY}`));
  }
  const className = header(request, CLASS_HEADER);
  const workspace = header(request, WORKSPACE_HEADER) ?? options.workspace ??
    DEFAULT_WORKSPACE;
  return ok({
    workspace: identifier(workspace),
    headers: plainHeaders(request),
    deadlineMilliseconds: deadline.value,
    className: className === undefined ? undefined : identifier(className),
    idempotencyKey: key === undefined ? undefined : identifier(key),
    traceparent: header(request, "traceparent"),
  });
}

function readDeadline(
  text: string | undefined,
): Result<number | undefined, Refusal> {
  if (text === undefined) return ok(undefined);
  const milliseconds = Number(text);
  if (!(milliseconds > 0) || milliseconds > LONGEST_DEADLINE_MILLISECONDS) {
    return err(invalid(`The deadline "${text}" is not a usable number`));
  }
  return ok(milliseconds);
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function plainHeaders(request: IncomingMessage): Record<string, string> {
  const plain: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (typeof value === "string") plain[name] = value;
  }
  return plain;
}
