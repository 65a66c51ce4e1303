import {
  decideAdmission,
  type HeldPrompt,
  isPrefillEngine,
  type PrefillCandidates,
  type PrefillChoice,
  type Prompt,
  type RegisteredEndpoint,
  REMAINING_TIME_SHARE,
} from "../../core/forwarding/mod.ts";
import { REQUEST_HEAD_BYTES } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";

/** A long prompt is sent to the prefill engine and to the decode engine. */
const SENDS_PER_PROMPT = 2;
/** Arrival of the request and of the response head from either engine. */
const LOOP_TURNS_PER_PROMPT = 3;

/**
 * Minimum share of the prefill engines that is assumed to be free for held
 * prompts, which yield to prompts that can meet their target.
 */
const MIN_FREE_SHARE = 0.05;

/** Why a prompt is not sent to any engine. */
export type AdmissionRefusal = "engines_full" | "entry_full";

/** Figures that led to the decision, for the log. */
export type AdmissionFacts = Readonly<Record<string, number | undefined>>;

/** Admission decision for a prompt. */
export type PromptAdmission =
  | {
    readonly kind: "admitted";
    readonly choice: PrefillChoice;
  }
  | {
    /**
     * The response is late in any case; waits until an engine is nearly idle.
     */
    readonly kind: "held";
    readonly prompt: HeldPrompt<PrefillChoice>;
  }
  | {
    readonly kind: "refused";
    readonly reason: AdmissionRefusal;
    readonly facts: AdmissionFacts;
  };

/**
 * Decides whether and where a prompt is prefilled, using the engines available
 * now. An earlier prefill may have failed after seconds: with the engines known
 * at arrival, a retry went to an engine that had started to leave 2.2 s before.
 */
export async function admitPrompt(
  context: ForwardContext,
  prompt: Prompt,
): Promise<PromptAdmission> {
  const { dependencies, pool, route, waitedMilliseconds } = context;
  const candidates = await candidatesFor(context, prompt);
  const soonest = dependencies.placement.choosePrefill(prompt, candidates);
  context.noteDemand({
    prefillMilliseconds: prefillMilliseconds(context, { prompt, soonest }),
    inlineMilliseconds: 0,
  });
  const held = makeHeldPrompt(context, prompt, soonest);
  const onTimeMilliseconds = soonest?.predictedMilliseconds ?? Infinity;
  const estimate = {
    onTimeMilliseconds,
    lateMilliseconds: onTimeMilliseconds +
      heldMilliseconds(context, { held, engines: candidates.engines }),
    handoverMilliseconds: dependencies.placement.handoverMilliseconds(
      prompt,
      pool,
    ),
    entryMilliseconds: entryMilliseconds(context),
    elapsedMilliseconds: waitedMilliseconds + context.elapsedMilliseconds,
    targetMilliseconds: route.targetMilliseconds,
    leftMilliseconds: context.remainingToFirstByteMilliseconds,
  };
  const admission = decideAdmission(estimate);
  if (admission === "on_time" && soonest !== undefined) {
    dependencies.onTimeWork.recordStarted(soonest.workMilliseconds);
    return { kind: "admitted", choice: soonest };
  }
  if (admission === "late") return { kind: "held", prompt: held };
  return {
    kind: "refused",
    reason: admission === "entry_full" ? "entry_full" : "engines_full",
    facts: roundFinite(estimate),
  };
}

/**
 * Engines that the prompt may be sent to. If load reports are stale, only
 * engines whose owners have just been queried may prefill it: any other engine
 * would look equally idle to all entries until the next report arrives.
 */
async function candidatesFor(
  context: ForwardContext,
  prompt: Prompt,
): Promise<PrefillCandidates> {
  const { dependencies, pool } = context;
  const engines = context.preferUntried(context.endpoints());
  const probed = context.claimProbe(engines.filter(isPrefillEngine));
  if (probed !== undefined) return { engines, pool, prefillEngines: [probed] };
  if (!dependencies.isLoadStale()) return { engines, pool };
  const refreshed = dependencies.placement.prefillEnginesToRefresh(
    prompt,
    engines,
  )
    .map(({ id }) => id);
  await dependencies.refreshLoad(refreshed);
  // An engine may have started to leave during the query.
  const remaining = context.preferUntried(context.endpoints());
  const prefillEngines = remaining.filter(({ id }) => refreshed.includes(id));
  return { engines: remaining, pool, prefillEngines };
}

/** Prefill work of the prompt at an engine of the pool's usual speed. */
function prefillMilliseconds(
  { dependencies, pool }: ForwardContext,
  { prompt, soonest }: {
    readonly prompt: Prompt;
    readonly soonest: PrefillChoice | undefined;
  },
): number {
  if (soonest !== undefined) return soonest.workMilliseconds / soonest.slowdown;
  const { prefill } = dependencies.estimates.forPool(pool.name);
  return prefill.predictWorkMilliseconds(prompt.inputTokens, 0);
}

/** Queue entry for a prompt that waits here for a nearly idle engine. */
function makeHeldPrompt(
  context: ForwardContext,
  prompt: Prompt,
  soonest: PrefillChoice | undefined,
): HeldPrompt<PrefillChoice> {
  const { dependencies } = context;
  const workMilliseconds = soonest?.workMilliseconds ?? 0;
  return {
    rank: context.rank,
    expiresAt: dependencies.timer.now() +
      REMAINING_TIME_SHARE * context.remainingToFirstByteMilliseconds -
      workMilliseconds,
    workMilliseconds,
    choose: async () => {
      const candidates = await candidatesFor(context, prompt);
      return dependencies.placement.chooseNearlyIdlePrefill(prompt, candidates);
    },
    isCancelled: () => context.settled,
  };
}

/**
 * Estimates how long the prompt would be held. Prompts queued before it wait
 * for engines that on-time work leaves free; other entries are assumed to have
 * as much of both as this one. Without the estimate, callers are held during an
 * overload until their time runs out and are only then refused.
 */
function heldMilliseconds(
  { dependencies }: ForwardContext,
  options: {
    readonly held: HeldPrompt<PrefillChoice>;
    readonly engines: readonly RegisteredEndpoint[];
  },
): number {
  const { held, engines } = options;
  const prefillEngines =
    engines.filter(({ role }) => role === "prefill").length;
  const entries = dependencies.entries();
  const free = Math.max(
    MIN_FREE_SHARE * prefillEngines,
    prefillEngines - entries * dependencies.onTimeWork.busyEngines,
  );
  return entries * dependencies.held.workAhead(held) /
    Math.max(MIN_FREE_SHARE, free);
}

/**
 * Time that this entry's link and event loop add to the response. Held prompts
 * have yet to cross the link and are assumed to be as long as this request.
 */
function entryMilliseconds({ dependencies, request }: ForwardContext): number {
  const bytes = SENDS_PER_PROMPT * (request.body.length + REQUEST_HEAD_BYTES);
  const transferMilliseconds = (1 + dependencies.held.count) *
    dependencies.link.transmissionMilliseconds(bytes);
  return dependencies.link.waitMilliseconds + transferMilliseconds +
    LOOP_TURNS_PER_PROMPT * dependencies.loopDelayMilliseconds();
}

/** Rounds to whole numbers and omits infinite values. */
function roundFinite(facts: Readonly<Record<string, number>>): AdmissionFacts {
  return Object.fromEntries(
    Object.entries(facts).map(([name, value]) => [
      name,
      Number.isFinite(value) ? Math.round(value) : undefined,
    ]),
  );
}
