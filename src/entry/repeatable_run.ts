import type { Refusal } from "../core/requests/mod.ts";
import type { AttemptEnd } from "./attempt.ts";
import { notPlaced } from "./request_run.ts";
import type { RequestRun } from "./request_run.ts";

/**
 * Serves a request that may be tried again: every generation, and plain
 * services' calls that are idempotent. A generation that was cut off goes on
 * at another replica behind the tokens that the caller already has.
 */
export async function serveRepeatable(run: RequestRun): Promise<void> {
  const { scheduler } = run.options.context;
  let submitted = scheduler.submit(run.profileNow());
  for (;;) {
    const placed = await run.place(submitted);
    if (placed.isErr()) return run.finishWithout(placed.error);
    const end = await run.runAttempt(placed.value);
    if (run.settled) return;
    if (end.kind === "complete") return run.finishAnswered();
    const refusal = whyNoRetry(run, end);
    if (refusal !== undefined) return run.finishWithout(refusal);
    submitted = scheduler.resubmit(run.profileNow());
  }
}

function whyNoRetry(
  run: RequestRun,
  end: Exclude<AttemptEnd, { kind: "complete" }>,
): Refusal | undefined {
  if (!run.attemptsLeft) {
    return notPlaced(`the last attempt ended with ${end.reason}`);
  }
  const cutOff = run.assembler.deliveredTokens.length > 0;
  if (cutOff && !run.options.resumes) {
    return notPlaced(`${end.reason}, and the engines can't resume a stream`);
  }
  return undefined;
}
