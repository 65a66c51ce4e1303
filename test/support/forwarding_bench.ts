import { err, ok, type Result } from "neverthrow";
import { defineError, failure } from "../../src/core/errors/mod.ts";
import {
  type AnswerHead,
  type AttemptOptions,
  CrashSuspects,
  EndpointOutcomes,
  EndpointRegistry,
  type EngineEstimates,
  EnginePlacement,
  EngineSlowness,
  type ForwardedRequest,
  type ForwardingConfiguration,
  HeldPrompts,
  LinkQueue,
  LoadPicture,
  PrefixDirectory,
  RetryAllowance,
  ReturningCallers,
  RouteTable,
  WorkRate,
} from "../../src/core/forwarding/mod.ts";
import {
  type AvailabilityZoneId,
  identifier,
} from "../../src/core/identity/mod.ts";
import { seededRandom } from "../../src/core/random/mod.ts";
import { digestOf } from "../../src/adapters/forwarding/mod.ts";
import { knownEstimates } from "./forwarding_values.ts";
import { ManualTimerService } from "../../src/core/time/mod.ts";
import {
  type BodyEnd,
  type CallerSink,
  type EndpointAnswer,
  type EndpointDoor,
  type Exchange,
  type ExchangeFailure,
  forward,
  type ForwardingParts,
  type Refusal,
} from "../../src/entry/forwarding/mod.ts";

const EXCHANGE_FAILURE = defineError<{ name: ExchangeFailure["name"] }>()({
  name: "exchange_lost",
  title: "Exchange failed",
  message: ({ name }) => name,
  hint: "",
});

/** One attempt that was sent to an endpoint; the test supplies the response. */
export class SentAttempt {
  readonly request: ForwardedRequest;
  readonly options: AttemptOptions & { readonly address: string };
  aborted = false;
  #onChunk: (piece: Buffer) => void = () => {};
  #onEnd: (end: BodyEnd) => void = () => {};
  #settle: (answer: Result<EndpointAnswer, ExchangeFailure>) => void;
  paused = false;

  constructor(
    request: ForwardedRequest,
    options: AttemptOptions & { readonly address: string },
    settle: (answer: Result<EndpointAnswer, ExchangeFailure>) => void,
  ) {
    this.request = request;
    this.options = options;
    this.#settle = settle;
  }

  /** Delivers the response head. */
  async head(values: Partial<AnswerHead> = {}): Promise<void> {
    const head: AnswerHead = {
      status: 200,
      headers: ["Seal", String(this.options.endpoint)],
      requestId: this.request.id,
      notRun: false,
      ...values,
    };
    this.#settle(ok({
      head,
      read: (onChunk, onEnd) => {
        this.#onChunk = onChunk;
        this.#onEnd = onEnd;
      },
      pause: () => this.paused = true,
      resume: () => this.paused = false,
    }));
    await settled();
  }

  async piece(text: string): Promise<void> {
    this.#onChunk(Buffer.from(text));
    await settled();
  }

  async end(ending: BodyEnd = "whole"): Promise<void> {
    this.#onEnd(ending);
    await settled();
  }

  /** Delivers a complete response: head, body and end. */
  async answer(body: string, values: Partial<AnswerHead> = {}): Promise<void> {
    await this.head(values);
    await this.piece(body);
    await this.end();
  }

  async notRun(status = 503): Promise<void> {
    await this.answer("", { status, notRun: true });
  }

  async fail(name: ExchangeFailure["name"]): Promise<void> {
    this.#settle(err({ ...failure(EXCHANGE_FAILURE, { name }), name }));
    await settled();
  }
}

/** Records the response that a caller receives. */
export class RecordingSink implements CallerSink {
  gone = false;
  status: number | undefined;
  headers: readonly string[] = [];
  body = "";
  ended: "whole" | "cut" | undefined;
  refusal: Refusal | undefined;
  /** Result of `write`; false simulates a caller that reads slowly. */
  readsFast = true;
  #onGone: (() => void)[] = [];
  #onDrain: (() => void)[] = [];

  head(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headers = headers;
  }
  write(piece: Buffer): boolean {
    this.body += piece.toString();
    return this.readsFast;
  }
  finish(): void {
    this.ended = "whole";
  }
  cut(): void {
    this.ended = "cut";
  }
  onDrain(listener: () => void): void {
    this.#onDrain.push(listener);
  }
  onGone(listener: () => void): void {
    this.#onGone.push(listener);
  }
  refuse(refusal: Refusal): void {
    this.refusal = refusal;
    this.status = refusal.status;
  }
  drain(): void {
    for (const listener of this.#onDrain) listener();
  }
  leave(): void {
    this.gone = true;
    for (const listener of this.#onGone) listener();
  }
}

/** The forwarding path on virtual time; the test plays the endpoints. */
export class ForwardingBench {
  readonly timer = new ManualTimerService();
  readonly sent: SentAttempt[] = [];
  readonly released: string[] = [];
  /** Workspace and start time of each request that began to run. */
  readonly began: (readonly [workspace: string, at: number])[] = [];
  readonly decisions: Record<string, unknown>[] = [];
  readonly parts: ForwardingParts;
  /** Event loop delay of the entry, milliseconds. */
  loopDelay = 0;
  /**
   * Called for each attempt; if undefined, the test responds through `sent`.
   */
  onSend: ((attempt: SentAttempt) => void) | undefined;
  #routes: RouteTable;

  constructor(
    configuration: ForwardingConfiguration,
    options: {
      readonly repeats?: number;
      readonly linkMegabitsPerSecond?: number;
      readonly estimates?: EngineEstimates;
    } = {},
  ) {
    const { timer } = this;
    const random = seededRandom(11);
    const load = new LoadPicture(timer);
    const prefixes = new PrefixDirectory();
    const outcomes = new EndpointOutcomes(timer);
    const { estimates = knownEstimates() } = options;
    const slowness = new EngineSlowness(timer);
    this.#routes = new RouteTable(configuration);
    const endpointClient: EndpointDoor = {
      send: (request, attempt) => this.#send(request, attempt),
      keptHandle: (body) => body.length > 0 ? body.toString() : undefined,
      listKept: () => Promise.resolve(undefined),
      release: (_, handle) => void this.released.push(handle),
    };
    const availabilityZone = identifier<AvailabilityZoneId>("zone-1");
    const registry = new EndpointRegistry({ timer });
    this.parts = {
      timer,
      random,
      availabilityZone,
      registry,
      load,
      prefixes,
      outcomes,
      placement: new EnginePlacement({
        availabilityZone,
        load,
        prefixes,
        outcomes,
        estimates,
        slowness,
        random,
      }),
      estimates,
      slowness,
      allowance: new RetryAllowance({
        timer,
        ratio: 0.2,
        windowMilliseconds: 10_000,
        minimum: options.repeats ?? 100,
        entries: () => 1,
      }),
      returning: new ReturningCallers(timer),
      crashes: new CrashSuspects({ timer }),
      onTimeWork: new WorkRate(timer),
      held: new HeldPrompts(timer),
      entries: () => 1,
      link: new LinkQueue(timer, options.linkMegabitsPerSecond),
      loopDelay: () => this.loopDelay,
      isLoadStale: () => false,
      refreshLoad: () => Promise.resolve(),
      door: endpointClient,
      digestOf,
      observe: (decision, facts) => {
        this.decisions.push({ decision, ...facts });
      },
      routes: () => this.#routes,
      saidLeaving: (run) => registry.saidLeaving(run) !== undefined,
      began: (workspace, at) => void this.began.push([workspace, at]),
      isChanging: () => false,
    };
  }

  /** Replaces the configuration that is in force. */
  takeConfiguration(configuration: ForwardingConfiguration): void {
    this.#routes = new RouteTable(configuration);
  }

  /** Forwards a request and returns the sink of its caller. */
  async take(request: ForwardedRequest): Promise<RecordingSink> {
    const sink = new RecordingSink();
    void forward(this.parts, { request, sink });
    await settled();
    return sink;
  }

  #send(
    request: ForwardedRequest,
    options: AttemptOptions & { readonly address: string },
  ): Exchange {
    let attempt: SentAttempt | undefined;
    const answer = new Promise<Result<EndpointAnswer, ExchangeFailure>>(
      (resolve) => {
        attempt = new SentAttempt(request, options, resolve);
      },
    );
    const sentAttempt = attempt as unknown as SentAttempt;
    this.sent.push(sentAttempt);
    this.onSend?.(sentAttempt);
    return { answer, abort: () => sentAttempt.aborted = true };
  }
}

/** Resolves after all pending promise callbacks have run. */
export function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
