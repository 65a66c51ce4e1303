import type { ForwardContext } from "./forward_context.ts";

/** How often a request that waits for an engine looks for one. */
const LOOK_AGAIN_MILLISECONDS = 25;
/**
 * Share of its time that a request has left when it is refused because no
 * engine is back. Later, the caller would leave unanswered.
 */
const REFUSED_WITH_SHARE_LEFT = 0.15;

/**
 * Checks for an engine with room after which one is taken as it is. Otherwise
 * newer requests, which ask for no room, overtake what has waited.
 */
const MOST_LOOKS_FOR_ROOM = 8;

/** Chooses an engine that has room, for a while, and then any. */
export function pacedByRoom<Choice>(
  choose: (options: { readonly withRoom: boolean }) => Choice | undefined,
): () => Choice | undefined {
  let looks = 0;
  return () => {
    const roomy = choose({ withRoom: true });
    if (roomy !== undefined) return roomy;
    const any = choose({ withRoom: false });
    if (any !== undefined) looks += 1;
    return looks > MOST_LOOKS_FOR_ROOM ? any : undefined;
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
      timer.after(LOOK_AGAIN_MILLISECONDS, resolve);
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
  const { allowedMilliseconds, leftToFirstByte, route } = context;
  const whole = Math.min(
    allowedMilliseconds,
    route.patienceMilliseconds ?? Infinity,
  );
  const left = leftToFirstByte - milliseconds;
  return left > REFUSED_WITH_SHARE_LEFT * whole;
}
