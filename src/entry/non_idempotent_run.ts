import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { identifier } from "../core/identity/mod.ts";
import type { AcquireResult, ExecutionTarget } from "../core/once/mod.ts";
import type { Refusal } from "../core/requests/mod.ts";
import type { Placement } from "../core/scheduling/mod.ts";
import type { OncePermit } from "../generated/messages.ts";
import {
  noEndpoint,
  unknownOutcome,
  UNUSED_SLOT_SUMMARY,
} from "./request_run.ts";
import type { RequestRun } from "./request_run.ts";

/**
 * Serves a non-idempotent call without a key. The call is sent again only if
 * the previous attempt has certainly not started.
 */
export async function serveUnkeyed(run: RequestRun): Promise<void> {
  for (;;) {
    const placed = await submitAndPlace(run);
    if (placed.isErr()) return run.finishRefused(placed.error);
    const end = await run.runAttempt(placed.value);
    if (run.settled) return;
    if (end.kind === "complete") return run.finishAnswered();
    if (end.kind === "failed") {
      return run.finish(unknownOutcome(`The call may have run: ${end.reason}`));
    }
    if (!run.attemptsLeft) return run.finishRefused(noEndpoint(end.reason));
  }
}

/**
 * Serves a call with an idempotency key. Its record is on the log before the
 * call is sent; after a lost attempt, the side that the record names is queried
 * for its state. `fingerprint` is the hash of method, path and body.
 */
export async function serveKeyed(
  run: RequestRun,
  options: { readonly fingerprint: string },
): Promise<void> {
  let lost: OncePermit | undefined;
  for (;;) {
    const { result, placement } = await acquireOnce(run, { ...options, lost });
    if (run.settled || result.kind !== "run" || placement === undefined) {
      placement?.release(UNUSED_SLOT_SUMMARY);
      return finishWithoutCall(run, result);
    }
    const end = await run.runAttempt(placement, result.permit);
    if (run.settled) return;
    if (end.kind === "complete") return run.finishAnswered();
    if (!run.attemptsLeft && end.kind === "not_run") {
      return run.finishRefused(noEndpoint(end.reason));
    }
    lost = result.permit;
  }
}

function finishWithoutCall(run: RequestRun, result: AcquireResult): void {
  switch (result.kind) {
    case "answered":
      return run.deliverResponse({
        ...result.answer,
        contentType: result.answer.contentType ?? "text/plain",
      });
    case "refused":
      return run.finish(result.refusal);
    case "unknown":
      return run.finish({ ...unknownOutcome(""), ...result.outcome });
    case "run":
      return run.finish(
        unknownOutcome("The state of the call's record is unknown"),
      );
  }
}

async function acquireOnce(
  run: RequestRun,
  options: { fingerprint: string; lost: OncePermit | undefined },
): Promise<{ result: AcquireResult; placement: Placement | undefined }> {
  const { request, profile, context } = run.options;
  let placement: Placement | undefined;
  const result = await context.onceCoordinator.acquire({
    key: request.idempotencyKey,
    workspace: request.workspace,
    fingerprint: options.fingerprint,
    deadline: profile.deadline,
    lost: options.lost,
    choose: async () => {
      const chosen = await chooseEndpoint(run);
      if (chosen.isErr()) return err(chosen.error);
      placement = chosen.value.placement;
      return ok(chosen.value.target);
    },
  });
  return { result, placement };
}

/** Acquires a slot at an endpoint whose side's current incarnation is known. */
async function chooseEndpoint(
  run: RequestRun,
): Promise<Result<{ placement: Placement; target: ExecutionTarget }, Refusal>> {
  const placed = await submitAndPlace(run);
  if (placed.isErr()) return err(placed.error);
  const { endpoint } = placed.value;
  const report = run.options.context.directory.reportOf(endpoint);
  if (report === undefined) {
    placed.value.release(UNUSED_SLOT_SUMMARY);
    return err(noEndpoint("the side has not reported yet"));
  }
  return ok({
    placement: placed.value,
    target: { endpoint, sideIncarnation: identifier(report.incarnation) },
  });
}

function submitAndPlace(run: RequestRun): Promise<Result<Placement, Refusal>> {
  const { scheduler } = run.options.context;
  return run.place(scheduler.submit(run.currentProfile()));
}
