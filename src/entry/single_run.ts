import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { identifier } from "../core/identity/mod.ts";
import type { AcquireResult, OnceChoice } from "../core/once/mod.ts";
import type { Refusal } from "../core/requests/mod.ts";
import type { Placement } from "../core/scheduling/mod.ts";
import type { OncePermit } from "../generated/messages.ts";
import { notPlaced, unknownOutcome, UNUSED_SLOT } from "./request_run.ts";
import type { RequestRun } from "./request_run.ts";

/**
 * Serves a call without a key that may have its effect once only: there is one
 * dispatch, sent again only while it is certain that nothing was started.
 */
export async function serveUnkeyed(run: RequestRun): Promise<void> {
  for (;;) {
    const placed = await placeAnew(run);
    if (placed.isErr()) return run.finishWithout(placed.error);
    const end = await run.runAttempt(placed.value);
    if (run.settled) return;
    if (end.kind === "complete") return run.finishAnswered();
    if (end.kind === "failed") {
      return run.finish(unknownOutcome(`The call may have run: ${end.reason}`));
    }
    if (!run.attemptsLeft) return run.finishWithout(notPlaced(end.reason));
  }
}

/**
 * Serves a call with a key. Its record stands on the log before the call is
 * sent, and a doubt about it is resolved by asking the side that the record
 * names. `fingerprint` is the hash of method, path and body.
 */
export async function serveKeyed(
  run: RequestRun,
  options: { readonly fingerprint: string },
): Promise<void> {
  let lost: OncePermit | undefined;
  for (;;) {
    const { result, placement } = await acquire(run, { ...options, lost });
    if (run.settled || result.kind !== "run" || placement === undefined) {
      placement?.release(UNUSED_SLOT);
      return finishUnrun(run, result);
    }
    const end = await run.runAttempt(placement, result.permit);
    if (run.settled) return;
    if (end.kind === "complete") return run.finishAnswered();
    if (!run.attemptsLeft && end.kind === "not_run") {
      return run.finishWithout(notPlaced(end.reason));
    }
    lost = result.permit;
  }
}

function finishUnrun(run: RequestRun, result: AcquireResult): void {
  switch (result.kind) {
    case "answered":
      return run.giveResponse({
        ...result.answer,
        contentType: result.answer.contentType ?? "text/plain",
      });
    case "refused":
      return run.finish(result.refusal);
    case "unknown":
      return run.finish({ ...unknownOutcome(""), ...result.outcome });
    case "run":
      return run.finish(unknownOutcome("The call's record is in doubt"));
  }
}

async function acquire(
  run: RequestRun,
  options: { fingerprint: string; lost: OncePermit | undefined },
): Promise<{ result: AcquireResult; placement: Placement | undefined }> {
  const { request, profile, context } = run.options;
  let placement: Placement | undefined;
  const result = await context.once.acquire({
    key: request.idempotencyKey,
    workspace: request.workspace,
    fingerprint: options.fingerprint,
    deadline: profile.deadline,
    lost: options.lost,
    choose: async () => {
      const chosen = await choose(run);
      if (chosen.isErr()) return err(chosen.error);
      placement = chosen.value.placement;
      return ok(chosen.value.choice);
    },
  });
  return { result, placement };
}

/** A slot at an endpoint whose side's present run is known. */
async function choose(
  run: RequestRun,
): Promise<Result<{ placement: Placement; choice: OnceChoice }, Refusal>> {
  const placed = await placeAnew(run);
  if (placed.isErr()) return err(placed.error);
  const { endpoint } = placed.value;
  const report = run.options.context.directory.reportOf(endpoint);
  if (report === undefined) {
    placed.value.release(UNUSED_SLOT);
    return err(notPlaced("the side has not reported yet"));
  }
  return ok({
    placement: placed.value,
    choice: { endpoint, sideIncarnation: identifier(report.incarnation) },
  });
}

function placeAnew(run: RequestRun): Promise<Result<Placement, Refusal>> {
  const { scheduler } = run.options.context;
  return run.place(scheduler.submit(run.profileNow()));
}
