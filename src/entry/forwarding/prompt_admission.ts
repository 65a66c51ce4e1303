import {
  judgeAdmission,
  type PrefillChoice,
  type Prompt,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import { HEAD_BYTES } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";

/**
 * Share of the allowance that has to be left for a late prompt to be sent.
 * Harm prevented: those that are overtaken until their deadline are rejected,
 * each counts as a repeat, and nothing is left for requests whose engine
 * failed. Limit: 8 of the 27 repeats that an entry of five has on a calm day;
 * as a number it left an entry of 24 nothing for its first seconds.
 */
const LATE_ALLOWANCE_SHARE = 0.3;
/** A long prompt goes to the engine that reads and to the one that decodes. */
const SENDS_OF_A_PROMPT = 2;
/** The request's arrival and the head of either engine's answer. */
const LOOP_TURNS_OF_A_PROMPT = 3;

/**
 * Why a prompt is not sent to any engine. `repeats_used_up`: it would have
 * been late, and a rejection could not be made up for.
 */
export type AdmissionRefusal =
  | "engines_full"
  | "entry_full"
  | "repeats_used_up";

/** What decided, for the log. */
export type AdmissionFacts = Readonly<Record<string, number | undefined>>;

/** Where a prompt is to be read, or why nowhere. */
export type PromptAdmission =
  | {
    readonly kind: "admitted";
    readonly choice: PrefillChoice;
    readonly late: boolean;
  }
  | {
    readonly kind: "refused";
    readonly reason: AdmissionRefusal;
    readonly facts: AdmissionFacts;
  };

/** Decides whether and where engines read a request's prompt. */
export function admitPrompt(
  context: ForwardContext,
  asked: {
    readonly prompt: Prompt;
    readonly engines: readonly RegisteredEndpoint[];
  },
): PromptAdmission {
  const { parts, pool, route, waitedMilliseconds } = context;
  const { lateOverrun, placement } = parts;
  const among = { engines: context.untried(asked.engines), pool };
  const soonest = placement.choosePrefill(asked.prompt, among);
  const later = placement.chooseLatePrefill(asked.prompt, among);
  const question = {
    onTimeMilliseconds: soonest === undefined
      ? Infinity
      : soonest.backlogMilliseconds + soonest.workMilliseconds,
    lateMilliseconds: later === undefined ? Infinity : lateOverrun.factor *
      (later.wholeBacklogMilliseconds + later.workMilliseconds),
    entryMilliseconds: entryMilliseconds(context),
    elapsedMilliseconds: waitedMilliseconds + context.elapsed,
    targetMilliseconds: route.targetMilliseconds,
    leftMilliseconds: context.leftToFirstByte,
  };
  const refused = (reason: AdmissionRefusal): PromptAdmission => ({
    kind: "refused",
    reason,
    facts: {
      ...rounded(question),
      lateOverrun: Number(lateOverrun.factor.toFixed(1)),
      repeatsLeft: Math.floor(parts.allowance.left(pool.name)),
    },
  });
  const admission = judgeAdmission(question);
  if (admission === "on_time" && soonest !== undefined) {
    return { kind: "admitted", choice: soonest, late: false };
  }
  if (admission === "entry_full") return refused("entry_full");
  if (admission !== "late" || later === undefined) {
    return refused("engines_full");
  }
  return hasRepeatsForLate(context)
    ? { kind: "admitted", choice: later, late: true }
    : refused("repeats_used_up");
}

/** Time that this entry's link and processor add to the answer. */
function entryMilliseconds({ parts, request }: ForwardContext): number {
  const bytes = SENDS_OF_A_PROMPT * (request.body.length + HEAD_BYTES);
  return parts.link.waitMilliseconds + parts.link.carryMilliseconds(bytes) +
    LOOP_TURNS_OF_A_PROMPT * parts.loopDelay();
}

function hasRepeatsForLate({ parts, pool }: ForwardContext): boolean {
  const needed = LATE_ALLOWANCE_SHARE * parts.allowance.allowed(pool.name);
  return parts.allowance.left(pool.name) >= Math.max(1, needed);
}

/** Whole numbers; what is infinite is left out. */
function rounded(facts: Readonly<Record<string, number>>): AdmissionFacts {
  return Object.fromEntries(
    Object.entries(facts).map(([name, value]) => [
      name,
      Number.isFinite(value) ? Math.round(value) : undefined,
    ]),
  );
}
