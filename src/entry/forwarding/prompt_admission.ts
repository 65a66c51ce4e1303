import {
  type HeldPrompt,
  judgeAdmission,
  LEFT_SHARE,
  type PrefillCandidates,
  type PrefillChoice,
  type Prompt,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import { REQUEST_HEAD_BYTES } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";

/** A long prompt goes to the engine that reads and to the one that decodes. */
const SENDS_PER_PROMPT = 2;
/** The request's arrival and the head of either engine's answer. */
const LOOP_TURNS_PER_PROMPT = 3;

/**
 * Share of the reading engines that is taken to be left for held prompts at
 * the least; what can be on time goes before them.
 */
const MIN_FREE_SHARE = 0.05;

/** Why a prompt is not sent to any engine. */
export type AdmissionRefusal = "engines_full" | "entry_full";

/** What decided, for the log. */
export type AdmissionFacts = Readonly<Record<string, number | undefined>>;

/** Where a prompt is to be read, or why nowhere. */
export type PromptAdmission =
  | {
    readonly kind: "admitted";
    readonly choice: PrefillChoice;
  }
  | {
    /** Late anyhow; it waits until an engine is nearly idle. */
    readonly kind: "held";
    readonly prompt: HeldPrompt<PrefillChoice>;
  }
  | {
    readonly kind: "refused";
    readonly reason: AdmissionRefusal;
    readonly facts: AdmissionFacts;
  };

/**
 * Decides whether and where engines read a request's prompt, by the engines of
 * this moment. A reading that fails may have taken seconds: by what was known at
 * the request's arrival, the next one went to an engine that had begun to leave
 * 2.2 s before.
 */
export async function admitPrompt(
  context: ForwardContext,
  prompt: Prompt,
): Promise<PromptAdmission> {
  const { parts, pool, route, waitedMilliseconds } = context;
  const candidates = await candidatesFor(context, prompt);
  const soonest = parts.placement.choosePrefill(prompt, candidates);
  const held = makeHeldPrompt(context, prompt, soonest);
  const onTimeMilliseconds = soonest?.predictedMilliseconds ?? Infinity;
  const estimate = {
    onTimeMilliseconds,
    lateMilliseconds: onTimeMilliseconds +
      heldMilliseconds(context, { held, engines: candidates.engines }),
    handoverMilliseconds: parts.placement.handoverMilliseconds(prompt, pool),
    entryMilliseconds: entryMilliseconds(context),
    elapsedMilliseconds: waitedMilliseconds + context.elapsedMilliseconds,
    targetMilliseconds: route.targetMilliseconds,
    leftMilliseconds: context.remainingToFirstByteMilliseconds,
  };
  const admission = judgeAdmission(estimate);
  if (admission === "on_time" && soonest !== undefined) {
    parts.onTimeWork.begun(soonest.workMilliseconds);
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
 * Engines that the prompt may go to. Where the picture of the load is old, only
 * those that may read it whose owners were just asked: any other would look as
 * free to all entries at once, for as long as a report takes to come round.
 */
async function candidatesFor(
  context: ForwardContext,
  prompt: Prompt,
): Promise<PrefillCandidates> {
  const { parts, pool } = context;
  const engines = context.preferUntried(context.endpoints());
  if (!parts.isLoadStale()) return { engines, pool };
  const refreshed = parts.placement.readersToAsk(prompt, engines)
    .map(({ id }) => id);
  await parts.refreshLoad(refreshed);
  // An engine may have begun to leave while the owners answered.
  const remaining = context.preferUntried(context.endpoints());
  const readers = remaining.filter(({ id }) => refreshed.includes(id));
  return { engines: remaining, pool, readers };
}

/** The prompt as it waits here for an engine that is nearly idle. */
function makeHeldPrompt(
  context: ForwardContext,
  prompt: Prompt,
  soonest: PrefillChoice | undefined,
): HeldPrompt<PrefillChoice> {
  const { parts } = context;
  const workMilliseconds = soonest?.workMilliseconds ?? 0;
  return {
    rank: context.rank,
    expiresAt: parts.timer.now() +
      LEFT_SHARE * context.remainingToFirstByteMilliseconds -
      workMilliseconds,
    workMilliseconds,
    choose: async () => {
      const candidates = await candidatesFor(context, prompt);
      return parts.placement.chooseIdlePrefill(prompt, candidates);
    },
    isOver: () => context.settled,
  };
}

/**
 * How long the prompt would be held. What is held before it waits for the
 * engines that on-time work leaves free; other entries are taken to have as
 * much of both as this one. Without it callers are held in an overload until
 * their time runs out, and only then refused.
 */
function heldMilliseconds(
  { parts }: ForwardContext,
  options: {
    readonly held: HeldPrompt<PrefillChoice>;
    readonly engines: readonly RegisteredEndpoint[];
  },
): number {
  const { held, engines } = options;
  const prefillEngines =
    engines.filter(({ role }) => role === "prefill").length;
  const entries = parts.entries();
  const free = Math.max(
    MIN_FREE_SHARE * prefillEngines,
    prefillEngines - entries * parts.onTimeWork.busyEngines,
  );
  return entries * parts.held.workAhead(held) /
    Math.max(MIN_FREE_SHARE, free);
}

/**
 * Time that this entry's link and processor add to the answer. What is held
 * here has yet to cross the link; it is taken to be as long as this request.
 */
function entryMilliseconds({ parts, request }: ForwardContext): number {
  const bytes = SENDS_PER_PROMPT * (request.body.length + REQUEST_HEAD_BYTES);
  const transferMilliseconds = (1 + parts.held.count) *
    parts.link.carryMilliseconds(bytes);
  return parts.link.waitMilliseconds + transferMilliseconds +
    LOOP_TURNS_PER_PROMPT * parts.loopDelay();
}

/** Whole numbers; what is infinite is left out. */
function roundFinite(facts: Readonly<Record<string, number>>): AdmissionFacts {
  return Object.fromEntries(
    Object.entries(facts).map(([name, value]) => [
      name,
      Number.isFinite(value) ? Math.round(value) : undefined,
    ]),
  );
}
