import type { ForwardContext } from "./forward_context.ts";

/** How often a request that waits for an engine looks for one. */
const POLL_INTERVAL_MILLISECONDS = 25;
/**
 * Share of its time that a request has left when it is refused because no
 * engine is back. Later, the caller would leave unanswered.
 */
const MIN_REMAINING_SHARE = 0.15;

/**
 * Checks for an engine with room after which one is taken as it is. Otherwise
 * newer requests, which ask for no room, overtake what has waited.
 */
const MAX_CAPACITY_CHECKS = 8;

/** Chooses an engine that has room, for a while, and then any. */
export function preferCapacity<Choice>(
  choose: (options: { readonly withRoom: boolean }) => Choice | undefined,
): () => Choice | undefined {
  let fullChecks = 0;
  return () => {
    const withCapacity = choose({ withRoom: true });
    if (withCapacity !== undefined) return withCapacity;
    const any = choose({ withRoom: false });
    if (any !== undefined) fullChecks += 1;
    return fullChecks > MAX_CAPACITY_CHECKS ? any : undefined;
  };
}

/**
 * Asks again until there is a choice, as long as the caller can still get a
 * first byte. Nothing is sent meanwhile.
 */
export async function waitForChoice<Choice>(
  context: ForwardContext,
  choose: () => Choice | undefined,
): Promise<Choice | undefined> {
  const { timer } = context.parts;
  let choice: Choice | undefined;
  while (choice === undefined && mayStillWait(context)) {
    await new Promise<void>((resolve) => {
      timer.after(POLL_INTERVAL_MILLISECONDS, resolve);
    });
    if (context.settled) return undefined;
    choice = choose();
  }
  return choice;
}

/** True where the caller can still be answered in so long, milliseconds. */
export function mayStillWait(
  context: ForwardContext,
  milliseconds = 0,
): boolean {
  const {
    allowedMilliseconds,
    remainingToFirstByteMilliseconds: leftToFirstByte,
    route,
  } = context;
  const totalMilliseconds = Math.min(
    allowedMilliseconds,
    route.patienceMilliseconds ?? Infinity,
  );
  const remainingMilliseconds = leftToFirstByte - milliseconds;
  return remainingMilliseconds > MIN_REMAINING_SHARE * totalMilliseconds;
}
