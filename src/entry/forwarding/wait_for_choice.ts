import {
  isPrefillEngine,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type { ForwardContext } from "./forward_context.ts";

/** Polling interval of a request that waits for an engine. */
const POLL_INTERVAL_MILLISECONDS = 25;
/**
 * Share of the allowed time that must remain for a request to keep waiting for
 * an engine. If it were refused later, the caller would give up without a
 * response.
 */
const MIN_REMAINING_SHARE = 0.15;

/**
 * Number of checks for an engine with capacity after which any engine is
 * chosen. Otherwise newer requests, which do not require capacity, overtake the
 * waiting ones.
 */
const MAX_CAPACITY_CHECKS = 8;

/**
 * Longest predicted wait for a permit, as a share of the route's target; the
 * rest is for the endpoint. Routes with a short target may wait the minimum.
 */
const MAX_PERMIT_WAIT_TARGET_SHARE = 0.7;
const MIN_PERMIT_WAIT_MILLISECONDS = 50;
/** Selects the endpoints of one kind. */
export type EndpointMatch = (endpoint: RegisteredEndpoint) => boolean;

export interface CapacityOptions {
  /** True: considers only engines that have capacity now. */
  readonly requiresCapacity: boolean;
}

/**
 * Chooses only engines with capacity for a limited number of checks, then any.
 */
export function preferCapacity<Choice>(
  choose: (options: CapacityOptions) => Choice | undefined,
): () => Choice | undefined {
  let fullChecks = 0;
  return () => {
    const withCapacity = choose({ requiresCapacity: true });
    if (withCapacity !== undefined) return withCapacity;
    const any = choose({ requiresCapacity: false });
    if (any !== undefined) fullChecks += 1;
    return fullChecks > MAX_CAPACITY_CHECKS ? any : undefined;
  };
}

export interface WaitForChoiceOptions {
  /** Time before which there can be no choice, in milliseconds. */
  readonly earliestMilliseconds?: () => number;
}

/**
 * Polls until there is a choice, as long as the caller can still receive a
 * first byte. Nothing is sent meanwhile.
 */
export async function waitForChoice<Choice>(
  context: ForwardContext,
  choose: () => Choice | undefined | Promise<Choice | undefined>,
  { earliestMilliseconds = () => 0 }: WaitForChoiceOptions = {},
): Promise<Choice | undefined> {
  const { timer } = context.dependencies;
  let choice: Choice | undefined;
  while (
    choice === undefined && mayStillWait(context, earliestMilliseconds())
  ) {
    await new Promise<void>((resolve) => {
      timer.after(POLL_INTERVAL_MILLISECONDS, resolve);
    });
    if (context.settled || context.isWriterGone) return undefined;
    context.resetPermitDenials();
    choice = await choose();
  }
  return choice;
}

/**
 * Chooses an endpoint and takes a permit there if it has a request limit;
 * chooses another one if there is no permit.
 */
export async function chooseWithPermit<
  Choice extends { readonly endpoint: RegisteredEndpoint },
>(
  context: ForwardContext,
  choose: () => Choice | undefined,
): Promise<Choice | undefined> {
  for (;;) {
    const choice = choose();
    if (choice === undefined) return undefined;
    const isGranted = await context.takePermit(choice.endpoint);
    if (isGranted && !context.settled) return choice;
    if (isGranted) context.releasePermit(choice.endpoint);
    if (context.settled) return undefined;
  }
}

/** True if the caller can still be answered after this many milliseconds. */
export function mayStillWait(
  context: ForwardContext,
  milliseconds = 0,
): boolean {
  const {
    allowedMilliseconds,
    remainingToFirstByteMilliseconds,
    route,
  } = context;
  const totalMilliseconds = Math.min(
    allowedMilliseconds,
    route.patienceMilliseconds ?? Infinity,
  );
  const remainingMilliseconds = remainingToFirstByteMilliseconds - milliseconds;
  return remainingMilliseconds > MIN_REMAINING_SHARE * totalMilliseconds;
}

/** Waits for a choice; in a queue if permits are what it waits for. */
export async function waitInQueue<Choice>(
  context: ForwardContext,
  choose: () => Choice | undefined | Promise<Choice | undefined>,
  { endpoint = {} }: {
    /** Kind of endpoint that the request waits for. */
    readonly endpoint?: Pick<RegisteredEndpoint, "role">;
  } = {},
): Promise<Choice | undefined> {
  const matches = (other: RegisteredEndpoint) =>
    isPrefillEngine(other) === isPrefillEngine(endpoint);
  if (!context.isLimited(matches)) return await waitForChoice(context, choose);
  const earliestMilliseconds = () => context.earliestMilliseconds(matches);
  return await context.queueForPermit(
    endpoint,
    () => waitForChoice(context, choose, { earliestMilliseconds }),
  );
}

/** True if all matching endpoints are overloaded or at their limit. */
export function isOverloaded(
  context: ForwardContext,
  matches?: EndpointMatch,
): boolean {
  const wait = context.overloadMilliseconds(matches);
  return wait > 0 && Number.isFinite(wait);
}

/**
 * False if the caller would give up before a matching endpoint accepts work,
 * or if a wait for a permit would make its response late. A longer queue
 * serves no more callers, and all of them late.
 */
export function isWorthWaiting(
  context: ForwardContext,
  matches: EndpointMatch = () => true,
): boolean {
  const wait = context.overloadMilliseconds(matches);
  const isForPermit = context.isLimited(matches);
  return mayStillWait(context, wait) &&
    (!isForPermit || wait <= maxPermitWaitMilliseconds(context));
}

function maxPermitWaitMilliseconds(
  { elapsedMilliseconds, route }: ForwardContext,
): number {
  const left = MAX_PERMIT_WAIT_TARGET_SHARE * route.targetMilliseconds -
    elapsedMilliseconds;
  return Math.max(MIN_PERMIT_WAIT_MILLISECONDS, left);
}
