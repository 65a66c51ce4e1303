import {
  type DecodeChoice,
  type InlinePrefillLimits,
  isPrefillEngine,
  maxDecodeDelayMilliseconds,
  type PrefilledPrompt,
  type Prompt,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type {
  AvailabilityZoneId,
  EndpointId,
} from "../../core/identity/mod.ts";
import type { AttemptPlan } from "./attempt.ts";
import type { ForwardContext } from "./forward_context.ts";
import {
  AT_REQUEST_LIMIT,
  type Handover,
  type HandoverOutcome,
} from "./handover.ts";
import { type AdmissionFacts, recordInlineWork } from "./prompt_admission.ts";
import {
  type CapacityOptions,
  chooseWithPermit,
  type EndpointMatch,
  isOverloaded,
  isWorthWaiting,
  preferCapacity,
  waitInQueue,
} from "./wait_for_choice.ts";

/** Longest time between two checks of a delayed response. */
const MAX_DELAY_INTERVAL_MILLISECONDS = 20;
/** Lowest of the priorities that engines support. */
const LOWEST_PRIORITY = 9;

export interface EnginePlannerOptions {
  readonly handover: Handover;
  /** Id of the last event that the caller has received. */
  readonly lastEventId: () => string | undefined;
  /** Called if the prompt is refused, before its permit is returned. */
  readonly onRefused: (reason: string, facts: AdmissionFacts) => void;
}

/**
 * Plans the sends of a request with a prompt: where it is prefilled, and which
 * engine decodes its response.
 */
export class EnginePlanner {
  readonly #context: ForwardContext;
  readonly #handover: Handover;
  readonly #lastEventId: () => string | undefined;
  readonly #onRefused: EnginePlannerOptions["onRefused"];
  /** True once the prompt has turned out to need a separate prefill engine. */
  #needsHandover = false;
  /** Time for which the response was delayed before it was sent. */
  #delayMilliseconds = 0;

  constructor(context: ForwardContext, options: EnginePlannerOptions) {
    this.#context = context;
    this.#handover = options.handover;
    this.#lastEventId = options.lastEventId;
    this.#onRefused = options.onRefused;
  }

  /** Undefined if no engine is left or the request was refused. */
  async plan(prompt: Prompt): Promise<AttemptPlan | undefined> {
    const { dependencies, pool, route } = this.#context;
    const isDecodeLimited = this.#context.isLimited(canDecode);
    const hasEngine = this.#context.endpoints().length > 0;
    if (!hasEngine && !isDecodeLimited) return undefined;
    // A prefill is wasted if no engine can decode in time.
    if (
      isOverloaded(this.#context, canDecode) &&
      !isWorthWaiting(this.#context, canDecode)
    ) {
      return undefined;
    }
    this.#needsHandover = dependencies.placement.needsHandover(prompt, {
      pool,
      targetMilliseconds: route.targetMilliseconds,
      inlineLimits: this.#inlineLimits,
    });
    const reserved = isDecodeLimited
      ? await this.#chooseDecodeEngine(prompt)
      : undefined;
    if (this.#context.settled || (isDecodeLimited && reserved === undefined)) {
      return undefined;
    }
    const handover = this.#needsHandover && this.#hasPrefillEngine
      ? await this.#prefill(prompt)
      : undefined;
    if (!this.#context.settled && handover?.kind === "refused") {
      this.#onRefused(handover.reason, handover.facts);
    }
    if (this.#context.settled || handover?.kind === "refused") {
      if (reserved !== undefined) {
        this.#context.releasePermit(reserved.endpoint);
      }
      return undefined;
    }
    return await this.#planDecode(prompt, { kept: handover?.kept, reserved });
  }

  /** Undefined where the pauses of streams are not bounded. */
  get #inlineLimits(): InlinePrefillLimits | undefined {
    const { dependencies, pauseBound } = this.#context;
    if (pauseBound === undefined) return undefined;
    const decodeEngines = this.#context.endpoints().filter(canDecode).length;
    return {
      maxPauseMilliseconds: pauseBound.maxPauseMilliseconds,
      // The other entries are assumed to have as many prompts as this one.
      decodeEngines: decodeEngines / dependencies.entries(),
    };
  }

  /** The request needs one endpoint of each match. */
  get requiredEndpoints(): readonly EndpointMatch[] {
    const hasPrefillEngines = this.#needsHandover &&
      this.#context.overloadMilliseconds(isPrefillEngine) < Infinity;
    return hasPrefillEngines ? [isPrefillEngine, canDecode] : [canDecode];
  }

  /** True if an engine prefills for others, now or after a wait for a permit. */
  get #hasPrefillEngine(): boolean {
    return this.#context.endpoints().some(isPrefillEngine) ||
      this.#context.isLimited(isPrefillEngine);
  }

  /** Plans the send to the reserved engine, or to another if it has gone. */
  async #planDecode(
    prompt: Prompt,
    { kept, reserved }: {
      readonly kept: PrefilledPrompt | undefined;
      /** Engine with a permit for the request, chosen before the prefill. */
      readonly reserved: DecodeChoice | undefined;
    },
  ): Promise<AttemptPlan | undefined> {
    const isUsable = reserved !== undefined &&
      this.#context.isInService(reserved.endpoint);
    const choice = isUsable
      ? reserved
      : await this.#chooseDecodeEngine(prompt, kept);
    if (choice === undefined) return undefined;
    const { milliseconds, tokens } = choice.work;
    if (kept === undefined) {
      recordInlineWork(this.#context, prompt, {
        prefillMilliseconds: milliseconds,
      });
      this.#context.noteDemand({
        prefillMilliseconds: 0,
        inlineMilliseconds: milliseconds,
      });
    }
    return {
      predictedPauseMilliseconds: choice.pauseMilliseconds,
      delayMilliseconds: Math.round(this.#delayMilliseconds),
      endpoint: choice.endpoint,
      work: { milliseconds: kept === undefined ? milliseconds : 0, tokens },
      options: {
        deadlineMilliseconds: this.#context.remainingMilliseconds,
        priority: Math.min(LOWEST_PRIORITY, this.#context.rank),
        prefilledPrompt: kept,
        lastEventId: this.#lastEventId(),
      },
    };
  }

  /**
   * Prefills the prompt on a prefill engine, and waits for one while the request
   * limits of all are used up. Decode engines don't replace them: long prompts
   * would slow down the streams there.
   */
  async #prefill(prompt: Prompt): Promise<HandoverOutcome> {
    const tryPrefill = async () => {
      if (!this.#context.endpoints().some(isPrefillEngine)) return undefined;
      const outcome = await this.#handover.prefill(prompt);
      return outcome === AT_REQUEST_LIMIT ? undefined : outcome;
    };
    const outcome = await tryPrefill();
    if (outcome !== undefined || this.#context.settled) {
      return outcome ?? AT_REQUEST_LIMIT;
    }
    if (!isWorthWaiting(this.#context, isPrefillEngine)) {
      return AT_REQUEST_LIMIT;
    }
    const waited = await waitInQueue(this.#context, tryPrefill, {
      endpoint: { role: "prefill" },
    });
    return waited ?? AT_REQUEST_LIMIT;
  }

  /** Undefined if no engine becomes available before the caller gives up. */
  async #chooseDecodeEngine(
    prompt: Prompt,
    kept?: PrefilledPrompt,
  ): Promise<DecodeChoice | undefined> {
    const { dependencies, pool } = this.#context;
    const cacheZone = kept &&
      dependencies.registry.get(kept.engine)?.availabilityZone;
    const refreshed = await this.#refreshDecodeEngineLoad(cacheZone);
    if (this.#context.settled) return undefined;
    const choose = ({ requiresCapacity }: CapacityOptions) => {
      // The engines may have changed during the prefill.
      const decodeEngines = this.#context.endpoints().filter(canDecode);
      const decodeCandidates = this.#decodeCandidates(
        decodeEngines,
        requiresCapacity,
      );
      const probed = this.#context.claimProbe(decodeCandidates);
      const withFreshLoad = probed !== undefined
        ? [probed]
        : decodeCandidates.filter(({ id }) => refreshed.has(id));
      return dependencies.placement.chooseDecode(
        withFreshLoad.length > 0 ? withFreshLoad : decodeCandidates,
        {
          prompt,
          pool,
          cacheZone,
          requiresCapacity,
          maxPauseMilliseconds: this.#context.pauseBound?.maxPauseMilliseconds,
        },
      );
    };
    if (kept !== undefined) await this.#delayDecode(prompt, choose);
    if (this.#context.settled) return undefined;
    const chosen = await chooseWithPermit(
      this.#context,
      () => choose({ requiresCapacity: false }),
    );
    if (chosen !== undefined || this.#context.settled) return chosen;
    if (
      isOverloaded(this.#context, canDecode) &&
      !isWorthWaiting(this.#context, canDecode)
    ) {
      return undefined;
    }
    const chooseWaiting = preferCapacity(choose);
    return await waitInQueue(
      this.#context,
      () => chooseWithPermit(this.#context, chooseWaiting),
      { endpoint: { role: "decode" } },
    );
  }

  /**
   * Waits for some milliseconds while a short response would exceed the bound
   * on pauses at every decode engine.
   */
  async #delayDecode(
    prompt: Prompt,
    choose: (options: CapacityOptions) => DecodeChoice | undefined,
  ): Promise<void> {
    const { dependencies, pauseBound, pool, rank, route } = this.#context;
    if (pauseBound === undefined) return;
    const { pace, placement, random, timer } = dependencies;
    const maxMilliseconds = maxDecodeDelayMilliseconds({
      ...pauseBound,
      prompt,
      rank,
      slackMilliseconds: route.targetMilliseconds -
        this.#context.elapsedMilliseconds -
        placement.handoverMilliseconds(prompt, pool),
    });
    const arrived = timer.now();
    const mayWait = () =>
      !this.#context.settled && timer.now() - arrived < maxMilliseconds;
    const isTooEarly = () =>
      choose({ requiresCapacity: false })?.exceedsMaxPause === true ||
      (timer.now() > arrived && !pace.tryRelease(pool.name));
    while (mayWait() && isTooEarly()) {
      // Random, so that delayed responses are not all sent at the same time.
      const milliseconds = MAX_DELAY_INTERVAL_MILLISECONDS * random();
      await new Promise<void>((resolve) => timer.after(milliseconds, resolve));
    }
    this.#delayMilliseconds += timer.now() - arrived;
  }

  /** Refreshes the load of some decode engines; returns their ids. */
  async #refreshDecodeEngineLoad(
    cacheZone: AvailabilityZoneId | undefined,
  ): Promise<ReadonlySet<EndpointId>> {
    const { dependencies } = this.#context;
    if (!dependencies.isLoadStale()) return new Set();
    const decodeEngines = this.#context.endpoints().filter(canDecode);
    const refreshed = dependencies.placement
      .decodeEnginesToRefresh(this.#context.withoutRejecting(decodeEngines), {
        cacheZone,
      })
      .map(({ id }) => id);
    await dependencies.refreshLoad(refreshed);
    return new Set(refreshed);
  }

  /**
   * Engines that may be asked to decode. One that has rejected the request is
   * asked again only once it has capacity; otherwise the request uses up its
   * retries at one full engine within milliseconds.
   */
  #decodeCandidates(
    decodeEngines: readonly RegisteredEndpoint[],
    requiresCapacity: boolean,
  ): readonly RegisteredEndpoint[] {
    const others = this.#context.withoutRejecting(decodeEngines);
    if (others.length > 0) return others;
    return requiresCapacity
      ? this.#context.dependencies.availability.filterAccepting(decodeEngines)
      : [];
  }
}

function canDecode(endpoint: Pick<RegisteredEndpoint, "role">): boolean {
  return !isPrefillEngine(endpoint);
}
