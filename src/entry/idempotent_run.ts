import type { Refusal } from "../core/requests/mod.ts";
import type { AttemptOutcome } from "./attempt.ts";
import { noEndpoint } from "./request_run.ts";
import type { RequestRun } from "./request_run.ts";

/**
 * Serves a request that may be retried: every generation, and idempotent calls
 * of plain services. An interrupted generation resumes at another replica after
 * the tokens that the caller already has.
 */
export async function serveIdempotent(run: RequestRun): Promise<void> {
  const { scheduler } = run.options.context;
  let submitted = scheduler.submit(run.currentProfile());
  for (;;) {
    const placed = await run.place(submitted);
    if (placed.isErr()) return run.finishRefused(placed.error);
    const end = await run.runAttempt(placed.value);
    if (run.settled) return;
    if (end.kind === "complete") return run.finishAnswered();
    const refusal = retryRefusal(run, end);
    if (refusal !== undefined) return run.finishRefused(refusal);
    submitted = scheduler.resubmit(run.currentProfile());
  }
}

function retryRefusal(
  run: RequestRun,
  end: Exclude<AttemptOutcome, { kind: "complete" }>,
): Refusal | undefined {
  if (!run.attemptsLeft) {
    return noEndpoint(`the last attempt ended with ${end.reason}`);
  }
  const isInterrupted = run.assembler.deliveredTokens.length > 0;
  if (isInterrupted && !run.options.resumesStreams) {
    return noEndpoint(
      `${end.reason}, and the engines can't resume a stream`,
    );
  }
  return undefined;
}
