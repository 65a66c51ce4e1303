import type {
  KeptPrompt,
  PrefillChoice,
  Prompt,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import { beforeDeadline } from "../../core/time/mod.ts";
import { Attempt } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";
import type { ForwardingParts } from "./parts.ts";
import { readWhole } from "./read_body.ts";

/**
 * How much longer than predicted an engine may take to read a prompt before
 * another one is asked. Reading a prompt runs nothing, so it may be repeated;
 * an engine that went dark would else hold the caller for its whole deadline.
 */
const TIMEOUT_TO_PREDICTION_RATIO = 4;
const MIN_PREFILL_TIMEOUT_MILLISECONDS = 400;
/**
 * Time of the deadline that is left to the answer itself: a prompt whose answer
 * can't be whole by then is not read.
 */
const DECODE_RESERVE_MILLISECONDS = 120;
/** Longest answer to a call that only reads a prompt. */
const MAX_RESPONSE_BYTES = 64 * 1024;

/** `failed`: nothing has run, and another way may be tried. */
export type PrefillOutcome =
  | { readonly kind: "kept"; readonly kept: KeptPrompt }
  | {
    readonly kind: "failed";
    readonly reason: string;
    readonly engine: EndpointId;
    /** False: it took no connection, and nothing has arrived there. */
    readonly arrived: boolean;
  };

export interface PrefillStepOptions {
  readonly prompt: Prompt;
  readonly choice: PrefillChoice;
  readonly priority: number;
  readonly deadlineMilliseconds: number;
  /** Takes the attempt, so that it can be aborted from outside. */
  readonly onAttempt: (attempt: Attempt) => void;
}

/** Has an engine read a prompt and keep its cache for a hand-over. */
export async function prefillPrompt(
  context: ForwardContext,
  options: PrefillStepOptions,
): Promise<PrefillOutcome> {
  const { parts, pool } = context;
  const { prompt, choice } = options;
  const { endpoint } = choice;
  const deadlineMilliseconds = options.deadlineMilliseconds -
    DECODE_RESERVE_MILLISECONDS;
  const attempt = new Attempt(context, {
    endpoint,
    work: {
      milliseconds: choice.workMilliseconds,
      tokens: prompt.inputTokens,
    },
    options: {
      deadlineMilliseconds,
      priority: options.priority,
      prefillOnly: true,
      fetchFrom: choice.fetchFrom?.address,
    },
  });
  options.onAttempt(attempt);
  const predicted = choice.predictedMilliseconds;
  const timeoutMilliseconds = Math.min(
    deadlineMilliseconds,
    Math.max(
      MIN_PREFILL_TIMEOUT_MILLISECONDS,
      TIMEOUT_TO_PREDICTION_RATIO * predicted,
    ),
  );
  const read = await beforeDeadline(readHandle(parts, attempt), {
    timer: parts.timer,
    milliseconds: timeoutMilliseconds,
  });
  if (read === undefined) {
    attempt.abort();
    return prefillFailed(endpoint, { reason: "silent" });
  }
  if (read.handle === undefined) {
    return prefillFailed(endpoint, read);
  }
  const { id: engine, address, startedAt } = endpoint;
  // Not before: an engine looks for kept parts when it takes a prompt in, and
  // finds none that another prompt is still having read.
  if (parts.registry.isSameRun(endpoint)) {
    parts.prefixes.read({
      engine,
      engineStartedAt: startedAt,
      parts: prompt.parts,
      memoryTokens: pool.engine?.memoryTokens ?? 0,
    });
  }
  const { handle } = read;
  return {
    kind: "kept",
    kept: { engine, engineStartedAt: startedAt, address, handle },
  };
}

function prefillFailed(
  { id }: RegisteredEndpoint,
  { reason, arrived = true }: Pick<HandleRead, "reason" | "arrived">,
): PrefillOutcome {
  return { kind: "failed", reason, engine: id, arrived };
}

interface HandleRead {
  readonly handle?: string;
  readonly reason: string;
  /** False: no byte has left; true where it is left out. */
  readonly arrived?: boolean;
}

async function readHandle(
  parts: ForwardingParts,
  attempt: Attempt,
): Promise<HandleRead> {
  const response = await attempt.answer;
  if (response.isErr()) {
    const { name } = response.error;
    return { reason: name, arrived: name !== "exchange_not_sent" };
  }
  const { head } = response.value;
  const body = await readWhole(response.value, MAX_RESPONSE_BYTES);
  attempt.onEnd(body === undefined ? "cut" : "whole", head.status);
  if (body === undefined) return { reason: "cut" };
  const handle = head.status === 200 ? parts.door.keptHandle(body) : undefined;
  return { handle, reason: `status ${head.status}` };
}
