import type {
  PrefillChoice,
  PrefilledPrompt,
  Prompt,
  RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import { withTimeout } from "../../core/time/mod.ts";
import { ForwardAttempt } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import { readEntireBody } from "./read_body.ts";

/**
 * Ratio of the prefill timeout to the predicted time, after which another
 * engine is tried. A prefill runs nothing and may be repeated; without the
 * timeout an unresponsive engine would hold the caller until its deadline.
 */
const TIMEOUT_TO_PREDICTION_RATIO = 4;
const MIN_PREFILL_TIMEOUT_MILLISECONDS = 400;
/**
 * Part of the deadline that is reserved for the response. A prompt is not
 * prefilled if its response cannot be complete by the deadline.
 */
const DECODE_RESERVE_MILLISECONDS = 120;
/** Maximum size of a response to a prefill. */
const MAX_RESPONSE_BYTES = 64 * 1024;

/** `failed`: nothing has run, and another engine may be tried. */
export type PrefillOutcome =
  | { readonly kind: "kept"; readonly kept: PrefilledPrompt }
  | {
    readonly kind: "failed";
    readonly reason: string;
    readonly engine: EndpointId;
    /** False if the engine refused the connection and received nothing. */
    readonly arrived: boolean;
  };

export interface PrefillStepOptions {
  readonly prompt: Prompt;
  readonly choice: PrefillChoice;
  readonly priority: number;
  readonly deadlineMilliseconds: number;
  /** Receives the attempt, so that it can be aborted from outside. */
  readonly onAttempt: (attempt: ForwardAttempt) => void;
}

/** Prefills a prompt on an engine, which keeps the cache for the handover. */
export async function prefillPrompt(
  context: ForwardContext,
  options: PrefillStepOptions,
): Promise<PrefillOutcome> {
  const { dependencies, pool } = context;
  const { prompt, choice } = options;
  const { endpoint } = choice;
  const deadlineMilliseconds = options.deadlineMilliseconds -
    DECODE_RESERVE_MILLISECONDS;
  const attempt = new ForwardAttempt(context, {
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
  const read = await withTimeout(readHandle(dependencies, attempt), {
    timer: dependencies.timer,
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
  // Recorded only now: an engine looks up cached parts when it accepts a
  // prompt, and does not find parts that are still being prefilled for another
  // one.
  if (dependencies.registry.isSameRun(endpoint)) {
    dependencies.prefixes.recordCached({
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
  /** False if no byte was sent; absent means true. */
  readonly arrived?: boolean;
}

async function readHandle(
  dependencies: ForwardingDependencies,
  attempt: ForwardAttempt,
): Promise<HandleRead> {
  const response = await attempt.answer;
  if (response.isErr()) {
    const { name } = response.error;
    return { reason: name, arrived: name !== "exchange_not_sent" };
  }
  const { head } = response.value;
  const body = await readEntireBody(response.value, MAX_RESPONSE_BYTES);
  attempt.onEnd(body === undefined ? "cut" : "whole", head.status);
  if (body === undefined) return { reason: "cut" };
  const handle = head.status === 200
    ? dependencies.endpointClient.parseCacheHandle(body)
    : undefined;
  return { handle, reason: `status ${head.status}` };
}
