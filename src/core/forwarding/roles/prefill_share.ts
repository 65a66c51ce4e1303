import type { EngineRole } from "../configuration.ts";

/** Work of a pool that its engines must cope with. */
export interface ObservedWork {
  /** Number of engines that prefill work keeps busy. */
  readonly prefillEngines: number;
  /**
   * Number of engines whose time responses and inline prefills take, without
   * the empty steps.
   */
  readonly decodeEngines: number;
  /** Steps per millisecond that the responses need, as a sum over them. */
  readonly responseSteps: number;
  /** Share of the steps that follow a handover, 0 to 1. */
  readonly handoverShare: number;
  /** Open responses at decode engines. */
  readonly openResponses: number;
  /** Time of a decode step without any response. */
  readonly stepMilliseconds: number;
  /** Longest pause that the routes of the pool allow; absent if none do. */
  readonly maxPauseMilliseconds?: number;
  /** Time over which the work has been observed. */
  readonly observedMilliseconds: number;
}

/** An engine whose role is planned. */
export interface PlannedEngine {
  readonly role?: EngineRole;
  readonly slots: number;
  /** Learned speed relative to the pool; absent if unknown. */
  readonly speed?: number;
}

/**
 * Target for the utilization of prefill engines at a high quantile of the work.
 * The wait in their queues grows steeply above it.
 */
const PREFILL_UTILIZATION = 0.9;
/** How much faster than the load the share of responses on time falls. */
const DECODE_OVERLOAD_EXPONENT = 1.5;
/** Target for the share of the decode slots that open responses use. */
const SLOT_UTILIZATION = 0.85;
/**
 * Ratio of the longest pause of a stream to its mean time between events. At a
 * ratio of 2.6 a third of the urgent responses were late because of pauses.
 */
const PAUSE_TO_MEAN_STEP = 5;
/**
 * The same where all slots of an engine are in use, which only inline prefills
 * make longer. With less than that, pauses are no limit.
 */
const PAUSE_TO_FULL_STEP = 2.5;
/**
 * Bounds of the longest mean step relative to an empty one. Above the upper one
 * an engine makes hardly more steps of responses, which all last longer.
 */
const MIN_STEP_FACTOR = 1.3;
const MAX_STEP_FACTOR = 4;
/** Higher utilizations are observed only while responses pile up. */
const SATURATED_UTILIZATION = 0.95;
/**
 * Largest ratio of the observed open responses to the explained ones. At
 * saturated engines they pile up without limit.
 */
const MAX_SLOT_FACTOR = 2;
/** Keeps quotients finite where there is no work of a kind. */
const MIN_RATE = 1e-9;
/**
 * Load up to which a split that takes fewer role changes is preferred to the
 * one with the same headroom in both roles.
 */
const COMFORTABLE_LOAD = 0.85;
/** Time for which an engine does no work while it changes its role. */
const CHANGE_MILLISECONDS = 5_000;
/**
 * Shortest time for which the load is expected to go on. Load that has been
 * observed for longer is expected to go on for as long again.
 */
const MIN_EXPECTED_MILLISECONDS = 15_000;

/**
 * Share of the engines that should prefill; undefined while the work is unknown
 * or there are fewer than two engines. It is the present share as long as both
 * roles cope with the work, or if a change would not make up for its cost.
 */
export function planPrefillShare(
  work: ObservedWork | undefined,
  engines: readonly PlannedEngine[],
): number | undefined {
  const count = engines.length;
  if (work === undefined || count < 2) return undefined;
  const prefill = engines.filter(({ role }) => role === "prefill").length;
  const capacities = roleCapacities(engines);
  const loadsOf = (prefillCount: number) =>
    relativeLoads(work, { count, prefillCount, prefill, ...capacities });
  const candidates = Array.from({ length: count - 1 }, (_, index) => index + 1);
  const balanced = candidates.reduce((best, each) =>
    isBetter(loadsOf(each), loadsOf(best)) ? each : best
  );
  if (prefill === 0 || prefill === count) return balanced / count;
  const present = servedShare(loadsOf(prefill));
  const expected = Math.max(
    MIN_EXPECTED_MILLISECONDS,
    work.observedMilliseconds,
  );
  const neededEngines = loadsOf(balanced).prefill * balanced +
    loadsOf(balanced).decode * (count - balanced);
  const netGainOf = (candidate: number) =>
    neededEngines * (servedShare(loadsOf(candidate)) - present) -
    Math.abs(candidate - prefill) * CHANGE_MILLISECONDS / expected;
  const target = candidates.filter((candidate) =>
    higherLoad(loadsOf(candidate)) <= COMFORTABLE_LOAD
  ).reduce(
    (best, each) =>
      Math.abs(each - prefill) < Math.abs(best - prefill) ? each : best,
    balanced,
  );
  if (netGainOf(target) > 0) return target / count;
  const best = candidates.reduce(
    (best, each) => netGainOf(each) > netGainOf(best) ? each : best,
    prefill,
  );
  return best / count;
}

/** Loads of both roles relative to their targets; 1 is the target. */
interface RelativeLoads {
  readonly prefill: number;
  readonly decode: number;
}

/** Serves more of the work, or as much with more headroom. */
function isBetter(loads: RelativeLoads, than: RelativeLoads): boolean {
  const gain = servedShare(loads) - servedShare(than);
  if (gain !== 0) return gain > 0;
  return higherLoad(loads) < higherLoad(than);
}

function higherLoad({ decode, prefill }: RelativeLoads): number {
  return Math.max(prefill, decode);
}

/**
 * Share of the work that is served on time. Prefill engines that are short
 * serve what they can, as the other prompts are refused; on decode engines that
 * are short the streams of all callers pause.
 */
function servedShare({ decode, prefill }: RelativeLoads): number {
  return Math.min(1, 1 / prefill) *
    Math.min(1, 1 / decode) ** DECODE_OVERLOAD_EXPONENT;
}

interface RoleCapacities {
  /** Mean capacity of an engine of each role; 1 is the mean of the pool. */
  readonly prefillCapacity: number;
  readonly decodeCapacity: number;
  /** Mean slots of a decode engine. */
  readonly slots: number;
}

/** Mean capacities of the engines by role, as speeds or else by slots. */
function roleCapacities(engines: readonly PlannedEngine[]): RoleCapacities {
  const slots = mean(engines.map((engine) => engine.slots));
  const capacityOf = (engine: PlannedEngine) =>
    engine.speed ?? engine.slots / slots;
  const poolCapacity = mean(engines.map(capacityOf));
  const capacityIn = (isPrefill: boolean) => {
    const ofRole = engines.filter(({ role }) =>
      (role === "prefill") === isPrefill
    );
    return ofRole.length === 0 ? poolCapacity : mean(ofRole.map(capacityOf));
  };
  return {
    prefillCapacity: capacityIn(true),
    decodeCapacity: capacityIn(false),
    slots,
  };
}

interface RoleSplit extends RoleCapacities {
  readonly count: number;
  readonly prefillCount: number;
  /** Present number of prefill engines. */
  readonly prefill: number;
}

function relativeLoads(work: ObservedWork, split: RoleSplit): RelativeLoads {
  const [prefillCapacity, decodeCapacity] = capacitiesAfter(split);
  const prefill = work.prefillEngines /
    (PREFILL_UTILIZATION * prefillCapacity);
  // Prompts that are not prefilled are not decoded either.
  const handedOver = Math.min(
    1,
    prefillCapacity / Math.max(MIN_RATE, work.prefillEngines),
  );
  const responseSteps = work.responseSteps *
    (1 - work.handoverShare * (1 - handedOver));
  const decode = responseSteps * slotFactor(work, split) /
    (stepsPerMillisecond(work, split) * decodeCapacity);
  return { prefill, decode };
}

/**
 * Steps of responses that an engine makes per millisecond with as many open
 * responses as its slots and the allowed pauses permit.
 */
function stepsPerMillisecond(
  work: ObservedWork,
  { slots }: Pick<RoleCapacities, "slots">,
): number {
  const { maxPauseMilliseconds = Infinity, stepMilliseconds } = work;
  const perResponse = work.decodeEngines /
    Math.max(MIN_RATE, work.responseSteps);
  const fullStep = stepMilliseconds + slots * perResponse;
  const allowedStep = PAUSE_TO_FULL_STEP * fullStep <= maxPauseMilliseconds
    ? Infinity
    : maxPauseMilliseconds / PAUSE_TO_MEAN_STEP;
  const longestStep = Math.max(
    MIN_STEP_FACTOR * stepMilliseconds,
    Math.min(MAX_STEP_FACTOR * stepMilliseconds, allowedStep),
  );
  const responses = Math.min(
    SLOT_UTILIZATION * slots,
    (longestStep - stepMilliseconds) / Math.max(MIN_RATE, perResponse),
  );
  return responses / (stepMilliseconds + responses * perResponse);
}

/**
 * Ratio of the observed open responses to those that the steps explain. Some
 * hold a slot without taking part in steps, such as while a cache arrives. Near
 * the number of slots they pile up, which says nothing.
 */
function slotFactor(work: ObservedWork, split: RoleSplit): number {
  const capacity = split.decodeCapacity *
    Math.max(1, split.count - split.prefill);
  const utilization = Math.min(
    SATURATED_UTILIZATION,
    work.decodeEngines / capacity,
  );
  const explained = work.responseSteps * work.stepMilliseconds /
    (1 - utilization);
  const slots = split.slots * Math.max(1, split.count - split.prefill);
  if (work.openResponses > SLOT_UTILIZATION * slots) return 1;
  const ratio = work.openResponses / Math.max(MIN_RATE, explained);
  return Math.min(MAX_SLOT_FACTOR, Math.max(1, ratio));
}

/** Capacities of both roles, where changed engines are average ones. */
function capacitiesAfter(split: RoleSplit): readonly [number, number] {
  const { count, decodeCapacity, prefill, prefillCapacity, prefillCount } =
    split;
  const changed = prefillCount - prefill;
  const changedCapacity = changed *
    (changed > 0 ? decodeCapacity : prefillCapacity);
  return [
    prefill * prefillCapacity + changedCapacity,
    (count - prefill) * decodeCapacity - changedCapacity,
  ];
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
