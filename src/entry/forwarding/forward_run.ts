import {
  chooseService,
  drawPool,
  type EngineRole,
  type ForwardedRequest,
  judgeAdmission,
  type KeptPrompt,
  type Pool,
  type PrefillChoice,
  type Prompt,
  type RegisteredEndpoint,
  type Route,
} from "../../core/forwarding/mod.ts";
import type { EndpointId } from "../../core/identity/mod.ts";
import type { Subscription } from "../../core/time/mod.ts";
import { AnswerRelay } from "./answer_relay.ts";
import { Attempt, type AttemptPlan } from "./attempt.ts";
import type { CallerSink, EndpointAnswer, Refusal } from "./links.ts";
import type { ForwardingDecision } from "./observer.ts";
import type { ForwardingParts } from "./parts.ts";
import { type PrefillOutcome, readPrompt } from "./prefill_step.ts";

/**
 * Sends of one request in all, whatever the allowance. Harm prevented: a
 * request that every endpoint turns away goes round until its deadline.
 */
const MOST_SENDS = 4;
/** Engines that are asked to read a request's prompt in one round. */
const MOST_PREFILLS = 2;
/**
 * Engines that a kept prompt is offered to. One that is full or has changed
 * its role leaves the cache where it is; where a second one turns it away too,
 * the cache itself is likely gone.
 */
const MOST_KEPT_TRIES = 2;
/** When a caller that found no room should come back, milliseconds. */
const RETRY_AFTER_MILLISECONDS = 250;
/** Spread of the returns, so that a refused burst does not return as one. */
const RETRY_AFTER_SPREAD_MILLISECONDS = 250;
/**
 * Time under which another send is not worth it: the way to an endpoint and
 * back, and the shortest work there.
 */
const LEAST_USEFUL_MILLISECONDS = 20;
/** Priorities that engines know, the last one for what may wait longest. */
const LOWEST_PRIORITY = 9;

/** Priority of prompts that are read for late answers. */
const LATE_PRIORITY = 8;
/**
 * What has to be left of the allowance for a late prompt to be sent. Harm
 * prevented: those that are overtaken until their deadline are rejected, each
 * counts as a repeat, and nothing is left for requests whose engine failed.
 */
const LATE_ALLOWANCE_LEFT = 8;
const NO_PROMPT_WORK = { milliseconds: 0, late: false };

/** What comes next after an attempt. */
type NextStep = "delivered" | "again" | "refuse" | "unknown";

/** One caller's request from its arrival to its answer. */
export class ForwardRun {
  readonly #parts: ForwardingParts;
  readonly #request: ForwardedRequest;
  readonly #sink: CallerSink;
  readonly #arrived: number;
  readonly #route: Route;
  readonly #pool: Pool;
  readonly #deadline: number;
  /** How long the caller had waited before, in earlier attempts. */
  readonly #waited: number;
  readonly #relay: AnswerRelay;
  readonly #limit: Subscription;
  #attempt: Attempt | undefined;
  #kept: KeptPrompt | undefined;
  #sends = 0;
  #prefills = 0;
  #keptTries = 0;
  readonly #turnedAway = new Set<EndpointId>();
  /** Runs that may have begun. */
  #runs = 0;
  /** True while a send is out that may be running. */
  #mayRun = false;
  #settled = false;
  #firstByte: number | undefined;

  constructor(
    parts: ForwardingParts,
    options: {
      request: ForwardedRequest;
      sink: CallerSink;
      route: Route;
      pool: Pool;
    },
  ) {
    const { request, route, sink } = options;
    this.#parts = parts;
    this.#request = request;
    this.#sink = sink;
    this.#route = route;
    this.#pool = options.pool;
    this.#arrived = parts.timer.now();
    const allowed = Math.min(
      request.deadlineMilliseconds ?? Infinity,
      route.timeoutMilliseconds,
    );
    this.#deadline = this.#arrived + allowed;
    this.#waited = parts.patience.waited(
      route.name,
      request.deadlineMilliseconds,
    );
    this.#relay = new AnswerRelay({
      sink,
      wholeEvents: route.repeat === "stream" && route.resumable,
    });
    this.#limit = parts.timer.after(allowed, () => this.#onLimit());
    sink.onGone(() => this.#onGone());
  }

  async run(): Promise<void> {
    this.#parts.allowance.requestArrived(this.#pool.name);
    for (;;) {
      const plan = await this.#plan();
      if (this.#settled) return;
      if (plan === undefined) return this.#refuse("no_endpoint");
      const next = await this.#send(plan);
      if (this.#settled) return;
      if (next === "delivered") return;
      if (next === "refuse") return this.#refuse("endpoints_full");
      if (next === "unknown") return this.#answerUnknown();
    }
  }

  get #left(): number {
    return this.#deadline - this.#parts.timer.now();
  }

  async #plan(): Promise<AttemptPlan | undefined> {
    const endpoints = this.#endpoints();
    const { prompt } = this.#request;
    const isEngineWork = this.#pool.engine !== undefined &&
      prompt !== undefined;
    if (!isEngineWork) return this.#planService(endpoints);
    return await this.#planEngines(prompt, endpoints);
  }

  /** Endpoints of the pool that take new work. */
  #endpoints(): RegisteredEndpoint[] {
    const { isChanging, registry } = this.#parts;
    return registry.inPool(this.#pool.name).filter(({ id }) => !isChanging(id));
  }

  #planService(
    endpoints: readonly RegisteredEndpoint[],
  ): AttemptPlan | undefined {
    const { availabilityZone, load, outcomes, random } = this.#parts;
    const endpoint = chooseService(
      this.#untried(outcomes.wellAmong(endpoints)),
      {
        load,
        random,
        availabilityZone,
      },
    );
    if (endpoint === undefined) return undefined;
    return {
      endpoint,
      work: NO_PROMPT_WORK,
      options: {
        deadlineMilliseconds: this.#left,
        lastEventId: this.#resumeFrom(),
      },
    };
  }

  async #planEngines(
    prompt: Prompt,
    endpoints: readonly RegisteredEndpoint[],
  ): Promise<AttemptPlan | undefined> {
    const { placement } = this.#parts;
    const needsHandover = placement.wantsHandover(prompt) &&
      endpoints.some((endpoint) => endpoint.role === "prefill");
    const kept = needsHandover
      ? this.#kept ?? await this.#handOver(prompt, endpoints)
      : undefined;
    if (this.#settled) return undefined;
    if (needsHandover && kept === undefined) {
      this.#refuse("prompt_not_read");
      return undefined;
    }
    const keptIn = endpoints.find((each) => each.id === kept?.engine)
      ?.availabilityZone;
    const makers = this.#untried(
      this.#endpoints().filter(canDecode),
    );
    const choice = placement.chooseDecode(makers, {
      prompt,
      pool: this.#pool,
      keptIn,
    });
    if (choice === undefined) return undefined;
    return {
      endpoint: choice.endpoint,
      work: { milliseconds: choice.workMilliseconds, late: false },
      options: {
        deadlineMilliseconds: this.#left,
        priority: this.#priority,
        keptPrompt: kept,
        lastEventId: this.#resumeFrom(),
      },
    };
  }

  /**
   * Has a prefill engine read the prompt, a second one where the first fails.
   * Load: prefill engines that are full or failing. Harm prevented: engines
   * that decode would read the prompt between the tokens of their streams,
   * each of which then pauses for longer than callers bear.
   */
  async #handOver(
    prompt: Prompt,
    endpoints: readonly RegisteredEndpoint[],
  ): Promise<KeptPrompt | undefined> {
    for (;;) {
      const outcome = await this.#readPrompt(prompt, endpoints);
      if (outcome === undefined || this.#settled) return undefined;
      if (outcome.kind === "kept") return outcome.kept;
      const { reason } = outcome;
      this.#prefills += 1;
      this.#turnedAway.add(outcome.engine);
      const mayRepeat = this.#prefills < MOST_PREFILLS &&
        this.#parts.allowance.left(this.#pool.name) >= 1 &&
        this.#mayResend(`prefill ${reason}`, { counts: false });
      if (!mayRepeat) return undefined;
    }
  }

  async #readPrompt(
    prompt: Prompt,
    endpoints: readonly RegisteredEndpoint[],
  ): Promise<PrefillOutcome | undefined> {
    const admitted = this.#admit(prompt, endpoints);
    if (admitted === undefined) return undefined;
    const { choice, late } = admitted;
    this.#tell("placed", {
      step: "prefill",
      endpoint: choice.endpoint.id,
      late,
      backlogMilliseconds: Math.round(choice.backlogMilliseconds),
      wholeBacklogMilliseconds: Math.round(choice.wholeBacklogMilliseconds),
      workMilliseconds: Math.round(choice.workMilliseconds),
      keptTokens: choice.keptTokens,
    });
    const sent = this.#parts.timer.now();
    const outcome = await readPrompt(this.#parts, {
      request: this.#request,
      prompt,
      pool: this.#pool,
      choice,
      late,
      priority: late ? LATE_PRIORITY : this.#priority,
      deadlineMilliseconds: this.#left,
      onAttempt: (attempt) => this.#attempt = attempt,
    });
    if (outcome.kind === "failed") {
      // Only a prompt's first accepted reading is free of the allowance.
      this.#parts.allowance.note(this.#pool.name);
      return outcome;
    }
    this.#kept = outcome.kept;
    this.#tell("prompt_read", {
      endpoint: outcome.kept.engine,
      milliseconds: Math.round(this.#parts.timer.now() - sent),
    });
    if (this.#settled) this.#releaseKept();
    return outcome;
  }

  /** Undefined: no engine reads prompts only, or the request was refused. */
  #admit(
    prompt: Prompt,
    endpoints: readonly RegisteredEndpoint[],
  ): { choice: PrefillChoice; late: boolean } | undefined {
    const { placement, timer } = this.#parts;
    const untried = this.#untried(endpoints);
    const soonest = placement.choosePrefill(prompt, untried);
    const later = placement.chooseLatePrefill(prompt, untried);
    if (soonest === undefined) return undefined;
    const admission = judgeAdmission({
      onTimeMilliseconds: soonest.backlogMilliseconds +
        soonest.workMilliseconds,
      lateMilliseconds: later === undefined
        ? Infinity
        : later.wholeBacklogMilliseconds + later.workMilliseconds,
      elapsedMilliseconds: this.#waited + timer.now() - this.#arrived,
      targetMilliseconds: this.#route.targetMilliseconds,
      leftMilliseconds: this.#left,
    });
    if (admission === "on_time") return { choice: soonest, late: false };
    const mayBeLate = admission === "late" && later !== undefined &&
      this.#parts.allowance.left(this.#pool.name) >= LATE_ALLOWANCE_LEFT;
    if (mayBeLate) return { choice: later, late: true };
    this.#refuse("engines_full");
    return undefined;
  }

  async #send(plan: AttemptPlan): Promise<NextStep> {
    this.#sends += 1;
    this.#mayRun = true;
    this.#tell("placed", {
      step: "run",
      endpoint: plan.endpoint.id,
      openRequests: this.#parts.load.total(plan.endpoint.id).requests,
      handover: plan.options.keptPrompt !== undefined,
    });
    const attempt = new Attempt(this.#parts, { request: this.#request, plan });
    this.#attempt = attempt;
    const answer = await attempt.answer;
    if (this.#settled) return "delivered";
    if (answer.isErr()) {
      this.#turnedAway.add(plan.endpoint.id);
      return this.#afterFailure(answer.error.name);
    }
    if (answer.value.head.notRun) {
      discard(answer.value, attempt);
      return this.#afterNotRun(plan.endpoint.id);
    }
    this.#kept = undefined;
    return await this.#deliver(answer.value, attempt);
  }

  #afterFailure(name: string): NextStep {
    if (name === "exchange_not_sent") {
      this.#mayRun = false;
      return this.#mayResend(name, { counts: false }) ? "again" : "refuse";
    }
    this.#runs += 1;
    if (!this.#isRepeatable()) return "unknown";
    if (this.#runs >= this.#route.mostAttempts) return "unknown";
    return this.#mayResend(name, { counts: true }) ? "again" : "unknown";
  }

  #afterNotRun(endpoint: EndpointId): NextStep {
    this.#mayRun = this.#runs > 0;
    this.#turnedAway.add(endpoint);
    this.#keptTries += 1;
    if (this.#keptTries >= MOST_KEPT_TRIES) this.#releaseKept();
    return this.#mayResend("not_run", { counts: true }) ? "again" : "refuse";
  }

  /** Asks the shared allowance, for what reaches the pool once more. */
  #mayResend(reason: string, options: { counts: boolean }): boolean {
    if (this.#sends >= MOST_SENDS) return false;
    if (this.#left < LEAST_USEFUL_MILLISECONDS) return false;
    const allowed = !options.counts ||
      this.#parts.allowance.take(this.#pool.name);
    if (allowed) this.#tell("resent", { reason });
    return allowed;
  }

  /** True where a further run does no harm. */
  #isRepeatable(): boolean {
    const { repeat, resumable } = this.#route;
    return repeat === "idempotent" || (repeat === "stream" && resumable);
  }

  async #deliver(
    answer: EndpointAnswer,
    attempt: Attempt,
  ): Promise<NextStep> {
    const { head } = answer;
    this.#runs += 1;
    const isFailure = head.status >= 500;
    const mayRepeat = isFailure && this.#isRepeatable() &&
      this.#runs < this.#route.mostAttempts;
    if (
      mayRepeat && this.#mayResend(`status ${head.status}`, { counts: true })
    ) {
      discard(answer, attempt);
      return "again";
    }
    this.#firstByte ??= this.#parts.timer.now();
    const end = await this.#relay.pass(answer, attempt);
    if (this.#settled) return "delivered";
    if (end === "whole") return this.#finish(head.status);
    return this.#afterCut();
  }

  /** The endpoint broke off in the middle of its answer. */
  #afterCut(): NextStep {
    const canResume = this.#route.resumable &&
      this.#route.repeat === "stream" &&
      this.#runs < this.#route.mostAttempts;
    if (canResume && this.#mayResend("cut", { counts: true })) {
      this.#tell("resumed", { lastEventId: this.#relay.lastEventId ?? "" });
      return "again";
    }
    this.#settle();
    this.#sink.cut();
    this.#tell("cut", { reason: "endpoint_broke_off" });
    return "delivered";
  }

  #finish(status: number): NextStep {
    this.#settle();
    this.#sink.finish();
    const now = this.#parts.timer.now();
    this.#tell("answered", {
      status,
      firstByteMilliseconds: Math.round(
        (this.#firstByte ?? now) - this.#arrived,
      ),
      milliseconds: Math.round(now - this.#arrived),
      sends: this.#sends,
    });
    return "delivered";
  }

  /** The caller's or the route's time is over. */
  #onLimit(): void {
    if (this.#settled) return;
    this.#settle();
    this.#attempt?.abort();
    if (this.#relay.headSent) {
      this.#sink.cut();
      this.#tell("cut", { reason: "deadline" });
      return;
    }
    const status = this.#mayRun || this.#runs > 0 ? 504 : 503;
    this.#answerOwn({ status, reason: "deadline" });
  }

  #onGone(): void {
    if (this.#settled) return;
    this.#settle();
    this.#attempt?.abort();
    this.#tell("caller_gone", { sends: this.#sends });
  }

  #refuse(reason: string): void {
    // A run that was lost before may still be under way: then a refusal that
    // says "not run" would be a lie.
    if (this.#runs > 0) return this.#answerUnknown();
    this.#settle();
    if (this.#relay.headSent) return this.#sink.cut();
    this.#answerOwn({
      status: 503,
      reason,
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS +
        RETRY_AFTER_SPREAD_MILLISECONDS * this.#parts.random(),
    });
  }

  #answerUnknown(): void {
    this.#settle();
    if (this.#relay.headSent) {
      this.#sink.cut();
      this.#tell("cut", { reason: "unknown" });
      return;
    }
    this.#answerOwn({ status: 502, reason: "unknown" });
  }

  #answerOwn(refusal: Refusal): void {
    this.#sink.refuse(refusal);
    this.#tell("refused", {
      status: refusal.status,
      reason: refusal.reason,
      milliseconds: Math.round(this.#parts.timer.now() - this.#arrived),
      sends: this.#sends,
    });
  }

  #settle(): void {
    this.#settled = true;
    this.#limit.cancel();
    this.#releaseKept();
  }

  #releaseKept(): void {
    const kept = this.#kept;
    this.#kept = undefined;
    if (kept !== undefined) this.#parts.door.release(kept.address, kept.handle);
  }

  /** A caller's own position, or that behind the last event passed on. */
  #resumeFrom(): string | undefined {
    return this.#relay.lastEventId ?? this.#request.lastEventId;
  }

  get #priority(): number {
    return Math.min(LOWEST_PRIORITY, this.#route.rank);
  }

  /** Prefers endpoints that have not turned this request away. */
  #untried(
    endpoints: readonly RegisteredEndpoint[],
  ): readonly RegisteredEndpoint[] {
    const others = endpoints.filter((each) => !this.#turnedAway.has(each.id));
    return others.length > 0 ? others : endpoints;
  }

  #tell(
    decision: ForwardingDecision,
    facts: Readonly<Record<string, unknown>>,
  ): void {
    this.#parts.observe(decision, {
      requestId: this.#request.id,
      route: this.#route.name,
      ...facts,
    });
  }
}

/** Reads an answer that nobody gets, so that its connection can be kept. */
function discard(answer: EndpointAnswer, attempt: Attempt): void {
  answer.read(() => {}, (end) => attempt.ended(end, answer.head.status));
}

function canDecode(endpoint: { readonly role?: EngineRole }): boolean {
  return endpoint.role !== "prefill";
}

/** Takes a request: finds its route and runs it, or answers at once. */
export async function forward(
  parts: ForwardingParts,
  options: { request: ForwardedRequest; sink: CallerSink },
): Promise<void> {
  const { request, sink } = options;
  const routes = parts.routes();
  if (routes === undefined) {
    return sink.refuse({
      status: 503,
      reason: "no_configuration",
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    });
  }
  const route = routes.find(request.host, request.target);
  if (route === undefined) {
    parts.observe("refused", {
      requestId: request.id,
      route: "",
      status: 404,
      reason: "no_route",
      version: routes.configuration.version,
    });
    return sink.refuse({ status: 404, reason: "no_route" });
  }
  const name = drawPool(route, parts.random);
  const pool = name === undefined
    ? undefined
    : routes.configuration.pools.get(name);
  if (pool === undefined) {
    return sink.refuse({ status: 503, reason: "no_pool" });
  }
  await new ForwardRun(parts, { request, sink, route, pool }).run();
}
