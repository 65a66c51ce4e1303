import {
  decideAdmission,
  type HeldPrompt,
  isPrefillEngine,
  ON_TIME_TARGET_SHARE,
  POLL_MILLISECONDS,
  type PrefillCandidates,
  type PrefillChoice,
  type Prompt,
  type RegisteredEndpoint,
  REMAINING_TIME_SHARE,
  type ReturnSlot,
} from "../../core/forwarding/mod.ts";
import { REQUEST_HEAD_BYTES } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";

/** A long prompt is sent to the prefill engine and to the decode engine. */
const SENDS_PER_PROMPT = 2;
/** Arrival of the request and of the response head from either engine. */
const LOOP_TURNS_PER_PROMPT = 3;

/**
 * Minimum share of the prefill engines that is assumed to be free for held
 * prompts, which yield to prompts that can meet their target.
 */
const MIN_FREE_SHARE = 0.05;

/**
 * Cost of an output token relative to an input token, as in the Virtual Token
 * Counter.
 */
const OUTPUT_TOKEN_WEIGHT = 2;
/**
 * Longest time that a prompt yields to others, as a share of the route's
 * target. A caller that is refused then can still be answered on time elsewhere.
 */
const MAX_YIELD_TARGET_SHARE = 1 / 8;
/** Share of a caller's remaining time up to which it honors a retry time. */
const HONORED_RETRY_SHARE = 1 / 3;
/** Shortest time that a prompt yields: the next poll sees any idle engine. */
const MIN_YIELD_MILLISECONDS = POLL_MILLISECONDS + 1;

/**
 * Why a prompt is not sent to any engine. `above_share`: others wait for the
 * capacity, and their workspaces have less of it. `more_urgent`: prompts of a
 * more urgent rank wait for it.
 */
export type AdmissionRefusal =
  | "engines_full"
  | "entry_full"
  | "above_share"
  | "more_urgent";

/** Figures that led to the decision, for the log. */
export type AdmissionFacts = Readonly<
  Record<string, number | string | undefined>
>;

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
    /** Why it is refused if no engine becomes nearly idle in time. */
    readonly reason: AdmissionRefusal;
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
  context.share?.ask(shareWorkMilliseconds(context, prompt, {
    prefillMilliseconds: soonest?.workMilliseconds ?? 0,
  }));
  const waitMilliseconds = (workAhead: number) =>
    heldMilliseconds(context, { workAhead, engines: candidates.engines });
  const predictedWait = waitMilliseconds(dependencies.held.workAhead(held));
  const estimate = {
    onTimeMilliseconds,
    lateMilliseconds: onTimeMilliseconds + predictedWait,
    handoverMilliseconds: dependencies.placement.handoverMilliseconds(
      prompt,
      pool,
    ),
    entryMilliseconds: entryMilliseconds(context),
    unavoidableMilliseconds: unavoidableMilliseconds(context),
    elapsedMilliseconds: waitedMilliseconds + context.elapsedMilliseconds,
    targetMilliseconds: route.targetMilliseconds,
    leftMilliseconds: context.remainingToFirstByteMilliseconds,
  };
  const admission = decideAdmission(estimate);
  if (admission === "on_time" && soonest !== undefined) {
    const reason = yieldReason(context);
    if (reason !== undefined) {
      // Prompts that arrived just before may not have been sent yet.
      const isIdle = dependencies.placement.hasNearlyIdlePrefill(
        candidates.engines,
      );
      return yieldToOthers(context, {
        held,
        reason,
        predictedWait: isIdle ? 0 : predictedWait,
      });
    }
    dependencies.onTimeWork.recordStarted(soonest.workMilliseconds);
    return { kind: "admitted", choice: soonest };
  }
  if (admission === "late") {
    dependencies.held.displaceFor(held, waitMilliseconds);
    return { kind: "held", prompt: held, reason: "engines_full" };
  }
  return {
    kind: "refused",
    reason: admission === "entry_full" ? "entry_full" : "engines_full",
    facts: { ...roundFinite(estimate), ...shareFacts(context) },
  };
}

/** Why a prompt that could be on time leaves the capacity to others. */
function yieldReason(
  { dependencies, rank, share }: ForwardContext,
): "above_share" | "more_urgent" | undefined {
  if (share === undefined) return undefined;
  if (share.isAboveShare) return "above_share";
  const first = dependencies.held.first;
  return first !== undefined && first.rank < rank ? "more_urgent" : undefined;
}

/**
 * Holds a prompt for a nearly idle engine, so that the engines have room for
 * those whose turn it is; refuses it if others wait for longer than it may.
 */
function yieldToOthers(
  context: ForwardContext,
  options: {
    readonly held: HeldPrompt<PrefillChoice>;
    readonly reason: AdmissionRefusal;
    readonly predictedWait: number;
  },
): PromptAdmission {
  const { held, predictedWait, reason } = options;
  const { timer } = context.dependencies;
  const allowedMilliseconds = Math.max(
    MIN_YIELD_MILLISECONDS,
    MAX_YIELD_TARGET_SHARE * context.route.targetMilliseconds -
      context.elapsedMilliseconds - POLL_MILLISECONDS,
  );
  if (predictedWait > allowedMilliseconds) {
    const facts = { ...roundFinite({ predictedWait }), ...shareFacts(context) };
    return { kind: "refused", reason, facts };
  }
  const expiresAt = timer.now() + allowedMilliseconds;
  return { kind: "held", prompt: { ...held, expiresAt }, reason };
}

/** Records the work of a prompt that its decode engine prefills as well. */
export function recordInlineWork(
  context: ForwardContext,
  prompt: Prompt,
  options: { readonly prefillMilliseconds: number },
): void {
  context.share?.ask(shareWorkMilliseconds(context, prompt, options));
  context.share?.admit();
}

/** Engine work by which the prompt counts for its workspace. */
function shareWorkMilliseconds(
  { dependencies, pool }: ForwardContext,
  prompt: Prompt,
  { prefillMilliseconds }: { readonly prefillMilliseconds: number },
): number {
  const { prefill } = dependencies.estimates.forPool(pool.name);
  return prefillMilliseconds +
    OUTPUT_TOKEN_WEIGHT * prompt.mostOutputTokens *
      prefill.costs.millisecondsPerToken;
}

/** Whose turn it is, and the share of the request's workspace, for the log. */
export function shareFacts(
  { dependencies, share }: ForwardContext,
): AdmissionFacts {
  if (share === undefined) return {};
  return {
    turn: share.displacedBy ?? dependencies.held.first?.share?.workspace,
    workspace: share.workspace,
    workspacePercent: Math.round(100 * share.used),
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
    share: context.share,
    expiresAt: dependencies.timer.now() +
      REMAINING_TIME_SHARE * context.remainingToFirstByteMilliseconds -
      workMilliseconds,
    workMilliseconds,
    choose: async () => {
      const candidates = await candidatesFor(context, prompt);
      return dependencies.placement.chooseNearlyIdlePrefill(prompt, candidates);
    },
    isCancelled: () =>
      context.settled || (context.share !== undefined && context.isKeyRemoved),
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
    readonly workAhead: number;
    readonly engines: readonly RegisteredEndpoint[];
  },
): number {
  const { workAhead, engines } = options;
  return dependencies.entries() * workAhead /
    freeEngines(dependencies, engines);
}

/** Prefill engines that on-time work of all entries leaves free. */
function freeEngines(
  dependencies: ForwardingDependencies,
  engines: readonly RegisteredEndpoint[],
): number {
  const prefillEngines =
    engines.filter(({ role }) => role === "prefill").length;
  const free = Math.max(
    MIN_FREE_SHARE * prefillEngines,
    prefillEngines -
      dependencies.entries() * dependencies.onTimeWork.busyEngines,
  );
  return Math.max(MIN_FREE_SHARE, free);
}

/**
 * When the caller of a refused prompt should retry; undefined where the pool
 * has no fair shares. Callers honor retry times up to a third of their
 * remaining time.
 */
export function nextReturn(context: ForwardContext): ReturnSlot | undefined {
  const { dependencies, pool, rank, request, share } = context;
  const { prompt } = request;
  if (share === undefined || prompt === undefined) return undefined;
  const onTimeMilliseconds =
    ON_TIME_TARGET_SHARE * context.route.targetMilliseconds -
    context.waitedMilliseconds - context.elapsedMilliseconds -
    share.workMilliseconds -
    dependencies.placement.handoverMilliseconds(prompt, pool);
  const spareEngines = freeEngines(dependencies, context.endpoints()) /
    dependencies.entries();
  return dependencies.shares.calendarOf(pool.name)
    .next(rank, share.workMilliseconds, {
      spareEngines,
      maxMilliseconds: HONORED_RETRY_SHARE * context.remainingMilliseconds,
      onTimeMilliseconds,
    });
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
    loopMilliseconds(dependencies);
}

/** The part of the delay that is the same at every entry there is. */
function unavoidableMilliseconds({ dependencies }: ForwardContext): number {
  return dependencies.entries() > 1 ? 0 : loopMilliseconds(dependencies);
}

function loopMilliseconds(dependencies: ForwardingDependencies): number {
  return LOOP_TURNS_PER_PROMPT * dependencies.loopDelayMilliseconds();
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
