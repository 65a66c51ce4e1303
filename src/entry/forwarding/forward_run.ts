import {
  chooseService,
  type DecodeChoice,
  type EngineRole,
  NO_PROMPT,
  type Prompt,
  type RegisteredEndpoint,
} from "../../core/forwarding/mod.ts";
import type {
  AvailabilityZoneId,
  EndpointId,
} from "../../core/identity/mod.ts";
import type { Subscription } from "../../core/time/mod.ts";
import { AnswerRelay } from "./answer_relay.ts";
import { Attempt, type AttemptPlan } from "./attempt.ts";
import { ForwardContext, type ForwardTask } from "./forward_context.ts";
import { Handover } from "./handover.ts";
import type { CallerSink, EndpointAnswer, Refusal } from "./links.ts";
import type { ForwardingParts } from "./parts.ts";
import type { AdmissionFacts } from "./prompt_admission.ts";
import { mayStillWait, pacedByRoom, waitForChoice } from "./wait_for_choice.ts";

/** When a caller that found no room should come back, milliseconds. */
export const RETRY_AFTER_MILLISECONDS = 250;
/**
 * The same where only this entry is full: the caller comes back to another one,
 * which can still answer on time.
 */
const ELSEWHERE_AFTER_MILLISECONDS = 20;
const ELSEWHERE_SPREAD_MILLISECONDS = 30;
/** Spread of the returns, so that a refused burst does not return as one. */
const RETRY_AFTER_SPREAD_MILLISECONDS = 250;
/** Priorities that engines know, the last one for what may wait longest. */
const LOWEST_PRIORITY = 9;

/** Endpoints have crashed under requests of these bytes. */
const BLOCKED = "crashes_endpoints";
/** The caller's key was taken away while its request waited. */
const KEY_REMOVED = "key_removed";

/** What comes next after an attempt. */
type NextStep =
  | "delivered"
  | "again"
  | "refuse"
  | "blocked"
  | "key_removed"
  | "unknown";

/** One caller's request from its arrival to its answer. */
export class ForwardRun {
  readonly #context: ForwardContext;
  readonly #sink: CallerSink;
  readonly #handover: Handover;
  readonly #relay: AnswerRelay;
  readonly #limit: Subscription;
  #attempt: Attempt | undefined;
  /** Runs that may have begun. */
  #runs = 0;
  /** True while a send is out that may be running. */
  #mayRun = false;
  /** When the send that is out was sent. */
  #sentAt = 0;
  #firstByte: number | undefined;

  constructor(
    parts: ForwardingParts,
    options: { readonly task: ForwardTask; readonly sink: CallerSink },
  ) {
    const { task, sink } = options;
    const { repeat, resumable } = task.route;
    this.#context = new ForwardContext(parts, task);
    this.#sink = sink;
    this.#handover = new Handover(
      this.#context,
      (attempt) => this.#attempt = attempt,
    );
    this.#relay = new AnswerRelay({
      sink,
      wholeEvents: repeat === "stream" && resumable,
      onBytes: (count) => parts.link.sent(count),
    });
    this.#limit = parts.timer.after(
      this.#context.allowedMilliseconds,
      () => this.#onLimit(),
    );
    sink.onGone(() => this.#onGone());
  }

  async run(): Promise<void> {
    const { parts, pool } = this.#context;
    parts.allowance.requestArrived(pool.name);
    for (;;) {
      if (this.#context.blockedMilliseconds > 0) return this.#refuse(BLOCKED);
      const plan = await this.#plan();
      if (this.#context.settled) return;
      if (plan === undefined) return this.#refuse("no_endpoint_reachable");
      const next = await this.#send(plan);
      if (this.#context.settled || next === "delivered") return;
      if (next === "refuse") return this.#refuse("endpoints_full");
      if (next === "blocked") return this.#refuse(BLOCKED);
      if (next === KEY_REMOVED) return this.#refuse(KEY_REMOVED);
      if (next === "unknown") return this.#answerUnknown();
    }
  }

  async #plan(): Promise<AttemptPlan | undefined> {
    const { pool, request } = this.#context;
    const { prompt } = request;
    const isEngineWork = pool.engine !== undefined && prompt !== undefined;
    if (!isEngineWork) return await this.#planService();
    return await this.#planEngines(prompt);
  }

  get #isEngineWork(): boolean {
    const { pool, request } = this.#context;
    return pool.engine !== undefined && request.prompt !== undefined;
  }

  async #planService(): Promise<AttemptPlan | undefined> {
    const endpoint = this.#chooseService() ?? await this.#waitForService();
    if (endpoint === undefined) return undefined;
    return {
      endpoint,
      work: NO_PROMPT,
      options: {
        deadlineMilliseconds: this.#context.left,
        lastEventId: this.#resumeFrom(),
      },
    };
  }

  #chooseService(): RegisteredEndpoint | undefined {
    const { parts } = this.#context;
    const well = parts.outcomes.wellAmong(this.#context.endpoints());
    return chooseService(this.#context.untried(well), parts);
  }

  /** Waits where every replica is overloaded, and one is not for much longer. */
  async #waitForService(): Promise<RegisteredEndpoint | undefined> {
    if (!this.#isOverloaded() || !this.#isWorthWaiting()) return undefined;
    return await waitForChoice(this.#context, () => this.#chooseService());
  }

  /** True where these have all said that they are overloaded. */
  #isOverloaded(
    isWanted?: (endpoint: RegisteredEndpoint) => boolean,
  ): boolean {
    const wait = this.#context.overloadMilliseconds(isWanted);
    return wait > 0 && Number.isFinite(wait);
  }

  /** False where the caller would have left before one of these takes work. */
  #isWorthWaiting(
    isWanted?: (endpoint: RegisteredEndpoint) => boolean,
  ): boolean {
    const wait = this.#context.overloadMilliseconds(isWanted);
    return mayStillWait(this.#context, wait);
  }

  /** Undefined where no engine is left, or where the request was refused. */
  async #planEngines(prompt: Prompt): Promise<AttemptPlan | undefined> {
    const { parts, pool, route } = this.#context;
    const endpoints = this.#context.endpoints();
    if (endpoints.length === 0) return undefined;
    // Reading a prompt is wasted where no engine can decode in time.
    if (this.#isOverloaded(canDecode) && !this.#isWorthWaiting(canDecode)) {
      return undefined;
    }
    const needsHandover = parts.placement.wantsHandover(prompt, {
      pool,
      targetMilliseconds: route.targetMilliseconds,
    }) &&
      endpoints.some((endpoint) => endpoint.role === "prefill");
    const handover = needsHandover
      ? await this.#handover.keep(prompt)
      : undefined;
    if (this.#context.settled) return undefined;
    if (handover?.kind === "refused") {
      this.#refuse(handover.reason, handover.facts);
      return undefined;
    }
    const keptIn = handover === undefined
      ? undefined
      : parts.registry.get(handover.kept.engine)?.availabilityZone;
    const choice = await this.#chooseDecoder(prompt, keptIn);
    if (choice === undefined) return undefined;
    return {
      endpoint: choice.endpoint,
      work: choice.work,
      options: {
        deadlineMilliseconds: this.#context.left,
        priority: Math.min(LOWEST_PRIORITY, this.#context.rank),
        keptPrompt: handover?.kept,
        lastEventId: this.#resumeFrom(),
      },
    };
  }

  /** Undefined where there is none until the caller leaves. */
  async #chooseDecoder(
    prompt: Prompt,
    keptIn: AvailabilityZoneId | undefined,
  ): Promise<DecodeChoice | undefined> {
    const { parts, pool } = this.#context;
    const asked = await this.#askDecoders(keptIn);
    if (this.#context.settled) return undefined;
    const choose = ({ withRoom } = { withRoom: false }) => {
      // The engines may have changed while the prompt was read.
      const makers = this.#context.endpoints().filter(canDecode);
      const decoders = this.#decoders(makers, withRoom);
      const known = decoders.filter(({ id }) => asked.has(id));
      return parts.placement.chooseDecode(known.length > 0 ? known : decoders, {
        prompt,
        pool,
        keptIn,
        withRoom,
      });
    };
    return choose() ?? await waitForChoice(this.#context, pacedByRoom(choose));
  }

  /** Brings the load of some that may decode up to date; gives which. */
  async #askDecoders(
    keptIn: AvailabilityZoneId | undefined,
  ): Promise<ReadonlySet<EndpointId>> {
    const { parts } = this.#context;
    if (!parts.isLoadStale()) return new Set();
    const makers = this.#context.endpoints().filter(canDecode);
    const asked = parts.placement
      .decodersToAsk(this.#context.notTurnedAway(makers), { keptIn })
      .map(({ id }) => id);
    await parts.refreshLoad(asked);
    return new Set(asked);
  }

  /**
   * The engines that may be asked to decode. One that has rejected the request
   * is asked again only once it has room; otherwise the request uses up its
   * retries at one full engine within milliseconds.
   */
  #decoders(
    makers: readonly RegisteredEndpoint[],
    withRoom: boolean,
  ): readonly RegisteredEndpoint[] {
    const others = this.#context.notTurnedAway(makers);
    if (others.length > 0) return others;
    return withRoom ? this.#context.parts.outcomes.openAmong(makers) : [];
  }

  async #send(plan: AttemptPlan): Promise<NextStep> {
    const { parts } = this.#context;
    const { endpoint } = plan;
    // Endpoints may have crashed under it while it waited for this one.
    if (this.#context.blockedMilliseconds > 0) return "blocked";
    if (this.#context.isKeyRemoved) return KEY_REMOVED;
    if (!this.#context.arrivals.cover({ reading: false })) return "refuse";
    this.#context.arrivals.sent();
    this.#context.sends += 1;
    this.#mayRun = true;
    this.#context.tell("placed", {
      step: "run",
      endpoint: endpoint.id,
      openRequests: parts.load.total(endpoint.id).requests,
      handover: plan.options.keptPrompt !== undefined,
    });
    const attempt = new Attempt(this.#context, plan);
    this.#attempt = attempt;
    this.#sentAt = parts.timer.now();
    const answer = await attempt.answer;
    if (this.#context.settled) return "delivered";
    if (answer.isErr()) {
      this.#context.turnedAwayBy(endpoint.id);
      return this.#afterFailure(answer.error.name);
    }
    if (answer.value.head.notRun) {
      discard(answer.value, attempt);
      return this.#afterNotRun(endpoint.id);
    }
    if (plan.options.keptPrompt !== undefined) {
      this.#handover.taken(endpoint, parts.timer.now() - this.#sentAt);
    }
    return await this.#deliver(answer.value, attempt);
  }

  #afterFailure(name: string): NextStep {
    if (name === "exchange_not_sent") {
      // Nothing has left: it is no send, however often it happens. How often
      // an endpoint is asked that takes no connection is limited elsewhere.
      this.#context.sends -= 1;
      this.#mayRun = this.#runs > 0;
      this.#context.arrivals.notArrived();
      return this.#mayResend(name) ? "again" : "refuse";
    }
    this.#runs += 1;
    this.#noteServiceBegan();
    if (!this.#mayRunAgain()) return "unknown";
    return this.#mayResend(name) ? "again" : "unknown";
  }

  #afterNotRun(endpoint: EndpointId): NextStep {
    this.#mayRun = this.#runs > 0;
    this.#context.turnedAwayBy(endpoint);
    this.#handover.turnedAway();
    return this.#mayResend("not_run") ? "again" : "refuse";
  }

  /** Asked before anything of an answer that may be passed on is dropped. */
  #mayResend(reason: string): boolean {
    const reading = this.#handover.readsAnew;
    return this.#context.mayResend(reason, { reading });
  }

  /** True where a further run does no harm and the route allows one. */
  #mayRunAgain(): boolean {
    const { mostAttempts, repeat, resumable } = this.#context.route;
    const isRepeatable = repeat === "idempotent" ||
      (repeat === "stream" && resumable);
    return isRepeatable && this.#runs < mostAttempts;
  }

  async #deliver(
    answer: EndpointAnswer,
    attempt: Attempt,
  ): Promise<NextStep> {
    const { head } = answer;
    this.#runs += 1;
    this.#noteBegan();
    const mayRepeat = head.status >= 500 && this.#mayRunAgain() &&
      this.#mayResend(`status ${head.status}`);
    if (mayRepeat) {
      discard(answer, attempt);
      return "again";
    }
    this.#firstByte ??= this.#context.parts.timer.now();
    const end = await this.#relay.pass(answer, attempt);
    if (this.#context.settled) return "delivered";
    if (end === "whole") return this.#finish(head.status);
    return this.#afterCut();
  }

  /** An answer has begun: the request has, too. */
  #noteBegan(): void {
    if (this.#isEngineWork) {
      this.#context.noteBegan(this.#context.parts.timer.now());
    } else this.#noteServiceBegan();
  }

  /**
   * A plain service begins a request when it arrives, and answers at its end;
   * an engine that has not answered is taken not to have begun.
   */
  #noteServiceBegan(): void {
    if (!this.#isEngineWork) this.#context.noteBegan(this.#sentAt);
  }

  /** The endpoint broke off in the middle of its answer. */
  #afterCut(): NextStep {
    const { repeat } = this.#context.route;
    const mayResume = repeat === "stream" && this.#mayRunAgain() &&
      this.#mayResend("cut");
    if (mayResume) {
      this.#context.tell("resumed", {
        lastEventId: this.#relay.lastEventId ?? "",
      });
      return "again";
    }
    this.#settle();
    this.#sink.cut();
    this.#context.tell("cut", { reason: "endpoint_broke_off" });
    return "delivered";
  }

  #finish(status: number): NextStep {
    this.#settle();
    this.#sink.finish();
    const { arrived, elapsed, sends } = this.#context;
    this.#context.tell("answered", {
      status,
      firstByteMilliseconds: Math.round((this.#firstByte ?? 0) - arrived),
      milliseconds: Math.round(elapsed),
      sends,
    });
    return "delivered";
  }

  /** The caller's or the route's time is over. */
  #onLimit(): void {
    if (this.#context.settled) return;
    this.#settle();
    if (this.#mayRun) this.#noteServiceBegan();
    this.#attempt?.abort();
    if (this.#relay.headSent) {
      this.#sink.cut();
      this.#context.tell("cut", { reason: "deadline" });
      return;
    }
    const status = this.#mayRun || this.#runs > 0 ? 504 : 503;
    this.#answerOwn({ status, reason: "deadline" });
  }

  #onGone(): void {
    if (this.#context.settled) return;
    this.#settle();
    if (this.#mayRun) this.#noteServiceBegan();
    this.#attempt?.abort();
    this.#context.tell("caller_gone", { sends: this.#context.sends });
  }

  #refuse(reason: string, facts: AdmissionFacts = {}): void {
    // A run that was lost before may still be under way: then a refusal that
    // says "not run" would be a lie.
    if (this.#runs > 0) return this.#answerUnknown();
    this.#settle();
    if (this.#relay.headSent) return this.#sink.cut();
    if (reason === KEY_REMOVED) return this.#answerOwn({ status: 401, reason });
    // A caller that comes back finds it blocked at any entry.
    if (reason !== BLOCKED) this.#context.noteRefusal();
    const retryAfterMilliseconds = this.#retryAfter(reason);
    this.#answerOwn({ status: 503, reason, retryAfterMilliseconds }, facts);
  }

  /** When coming back is worth it, milliseconds. */
  #retryAfter(reason: string): number {
    const { random } = this.#context.parts;
    if (reason === "entry_full") {
      return ELSEWHERE_AFTER_MILLISECONDS +
        ELSEWHERE_SPREAD_MILLISECONDS * random();
    }
    if (reason === BLOCKED) return this.#context.blockedMilliseconds;
    const overload = this.#context.overloadMilliseconds();
    const wait = Number.isFinite(overload) ? overload : 0;
    return Math.max(RETRY_AFTER_MILLISECONDS, wait) +
      RETRY_AFTER_SPREAD_MILLISECONDS * random();
  }

  #answerUnknown(): void {
    this.#settle();
    if (this.#relay.headSent) {
      this.#sink.cut();
      this.#context.tell("cut", { reason: "unknown" });
      return;
    }
    this.#answerOwn({ status: 502, reason: "unknown" });
  }

  #answerOwn(refusal: Refusal, facts: AdmissionFacts = {}): void {
    this.#sink.refuse(refusal);
    this.#context.tell("refused", {
      status: refusal.status,
      reason: refusal.reason,
      ...facts,
      milliseconds: Math.round(this.#context.elapsed),
      sends: this.#context.sends,
    });
  }

  #settle(): void {
    this.#context.settled = true;
    this.#limit.cancel();
    this.#handover.release();
    this.#context.arrivals.release();
  }

  /** A caller's own position, or that behind the last event passed on. */
  #resumeFrom(): string | undefined {
    return this.#relay.lastEventId ?? this.#context.request.lastEventId;
  }
}

/** Reads an answer that nobody gets, so that its connection can be kept. */
function discard(answer: EndpointAnswer, attempt: Attempt): void {
  answer.read(() => {}, (end) => attempt.ended(end, answer.head.status));
}

function canDecode(endpoint: { readonly role?: EngineRole }): boolean {
  return endpoint.role !== "prefill";
}
