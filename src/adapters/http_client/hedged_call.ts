import type { Result } from "../../core/errors/result.ts";
import type { Failure } from "../../core/errors/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";

/** One sending of a hedged call. */
export interface HedgedSend {
  /** 0 is the first sending. */
  readonly index: number;
  /** Aborted once another sending has succeeded. */
  readonly signal: AbortSignal;
}

export interface HedgeOptions {
  readonly timer: TimerService;
  /** Time without an answer after which the call is sent again. */
  readonly delayMilliseconds: number;
  readonly maxSends: number;
}

/**
 * Sends an idempotent call again while it is unanswered, and resolves with the
 * first success, or with the last failure once nothing is pending.
 */
export function hedgedCall<Value, Cause extends Failure>(
  send: (options: HedgedSend) => Promise<Result<Value, Cause>>,
  { delayMilliseconds, maxSends, timer }: HedgeOptions,
): Promise<Result<Value, Cause>> {
  return new Promise((resolve, reject) => {
    const controllers: AbortController[] = [];
    let pending = 0;
    let nextSend: Subscription | undefined;
    const finish = (result: Result<Value, Cause>) => {
      nextSend?.cancel();
      for (const controller of controllers) controller.abort();
      resolve(result);
    };
    const sendNext = async () => {
      const controller = new AbortController();
      controllers.push(controller);
      pending += 1;
      if (controllers.length < maxSends) {
        nextSend = timer.after(delayMilliseconds, begin);
      }
      const index = controllers.length - 1;
      const result = await send({ index, signal: controller.signal });
      pending -= 1;
      if (result.isOk() || pending === 0) finish(result);
    };
    // A throw belongs to the caller, which would wait for ever otherwise.
    const begin = () => sendNext().catch(reject);
    begin();
  });
}
