import { makeConnection } from "./endpoint_connection.ts";
import { err, ok, type Result } from "neverthrow";
import { defineError, failure } from "../../src/core/errors/mod.ts";
import {
  CrashTracker,
  DecodePace,
  EndpointAvailability,
  EndpointLimits,
  EndpointRegistry,
  type EngineEstimates,
  EnginePlacement,
  EngineSlowness,
  EventNumbering,
  FormerRoutes,
  type ForwardedRequest,
  type ForwardingConfiguration,
  HeldPromptQueue,
  LinkBacklog,
  ListedVersions,
  LoadOwners,
  PermitQueue,
  PoolShares,
  PrefixDirectory,
  ResponseBuffers,
  type ResponseHead,
  ReturningCallers,
  RoleWork,
  RouteTable,
  SharedRetryBudget,
  StreamKeepers,
  StreamOrigins,
  TrialIssuer,
  WorkRate,
} from "../../src/core/forwarding/mod.ts";
import {
  type AvailabilityZoneId,
  identifier,
  type ProcessId,
} from "../../src/core/identity/mod.ts";
import { NOOP_LOGGER } from "../../src/core/observation/mod.ts";
import { seededRandom } from "../../src/core/random/mod.ts";
import {
  digestOf,
  partDigestOf,
  streamDigestOf,
} from "../../src/adapters/forwarding/mod.ts";
import {
  ENGINES,
  knownEstimates,
  PORTAL,
  VERSION,
} from "./forwarding_fixtures.ts";
import { makePlacementState } from "./placement_state.ts";
import { makePlannedStop } from "./planned_stop.ts";
import { ManualTimerService } from "../../src/core/time/mod.ts";
import {
  type BodyEnd,
  type BodyFraming,
  type CallerSink,
  ConfigurationStatus,
  CrashGate,
  type EndpointClient,
  type EndpointResponse,
  type Exchange,
  type ExchangeFailure,
  FleetContact,
  FleetOutcomes,
  forward,
  type ForwardingDependencies,
  type ForwardingRefusal,
  LostRunChecks,
  QueryAllowance,
  RequestPermits,
  type SendOptions,
  StreamOriginExchange,
  TrialExchange,
  VersionListing,
  WriterConnections,
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
  readonly options: SendOptions;
  aborted = false;
  /** Index of the entry that sent it, where there are several. */
  entry = 0;
  #onChunk: (chunk: Buffer) => void = () => {};
  #onEnd: (end: BodyEnd) => void = () => {};
  #settle: (answer: Result<EndpointResponse, ExchangeFailure>) => void;
  paused = false;
  framing: BodyFraming = "length";

  constructor(
    request: ForwardedRequest,
    options: SendOptions,
    settle: (answer: Result<EndpointResponse, ExchangeFailure>) => void,
  ) {
    this.request = request;
    this.options = options;
    this.#settle = settle;
  }

  /** Delivers the response head. */
  async head(values: Partial<ResponseHead> = {}): Promise<void> {
    const head: ResponseHead = {
      status: 200,
      headers: ["Seal", String(this.options.endpoint)],
      notExecuted: false,
      ...values,
    };
    this.#settle(ok({
      head,
      framing: this.framing,
      read: (onChunk, onEnd) => {
        this.#onChunk = onChunk;
        this.#onEnd = onEnd;
      },
      pause: () => this.paused = true,
      resume: () => this.paused = false,
      close: () => this.aborted = true,
    }));
    await flushPromises();
  }

  async chunk(text: string): Promise<void> {
    this.#onChunk(Buffer.from(text));
    await flushPromises();
  }

  async end(ending: BodyEnd = "whole"): Promise<void> {
    this.#onEnd(ending);
    await flushPromises();
  }

  /** Delivers a complete response: head, body and end. */
  async respond(
    body: string,
    values: Partial<ResponseHead> = {},
  ): Promise<void> {
    await this.head(values);
    await this.chunk(body);
    await this.end();
  }

  async respondNotRun(status = 503): Promise<void> {
    await this.respond("", { status, notExecuted: true });
  }

  async fail(name: ExchangeFailure["name"]): Promise<void> {
    this.#settle(err({ ...failure(EXCHANGE_FAILURE, { name }), name }));
    await flushPromises();
  }
}

/** Records the response that a caller receives. */
export class RecordingSink implements CallerSink {
  isDisconnected = false;
  status: number | undefined;
  headers: readonly string[] = [];
  body = "";
  ended: "whole" | "cut" | undefined;
  refusal: ForwardingRefusal | undefined;
  /** Result of `write`; false simulates a caller that reads slowly. */
  acceptsWrites = true;
  #onDisconnect: (() => void)[] = [];
  /** Bytes that a caller that reads slowly has not read. */
  bufferedBytes = 0;
  /** True once the unread rest of a finished response was dropped. */
  isUnreadDiscarded = false;
  #onDrain: (() => void)[] = [];
  #onClosed: (() => void)[] = [];

  head(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headers = headers;
  }
  write(chunk: Buffer): boolean {
    this.body += chunk.toString();
    if (!this.acceptsWrites) this.bufferedBytes += chunk.length;
    return this.acceptsWrites;
  }
  finish(): void {
    this.ended = "whole";
  }
  abort(): void {
    this.ended = "cut";
  }
  onDrain(listener: () => void): void {
    this.#onDrain.push(listener);
  }
  onDisconnect(listener: () => void): void {
    this.#onDisconnect.push(listener);
  }
  onClosed(listener: () => void): void {
    this.#onClosed.push(listener);
  }
  discardUnread(): void {
    this.isUnreadDiscarded = true;
  }
  refuse(refusal: ForwardingRefusal): void {
    this.refusal = refusal;
    this.status = refusal.status;
  }
  drain(): void {
    this.bufferedBytes = 0;
    for (const listener of this.#onDrain) listener();
  }
  disconnect(): void {
    this.isDisconnected = true;
    for (const listener of this.#onDisconnect) listener();
    for (const listener of this.#onClosed) listener();
  }
}

/** The forwarding path on virtual time; the test responds as the endpoints. */
export class ForwardingHarness {
  readonly timer = new ManualTimerService();
  readonly sent: SentAttempt[] = [];
  readonly released: string[] = [];
  /** Workspace and start time of each request that began to run. */
  readonly started: (readonly [workspace: string, at: number])[] = [];
  readonly decisions: Record<string, unknown>[] = [];
  readonly dependencies: ForwardingDependencies;
  /** Whole from the start, with the version of the fixtures' endpoints. */
  readonly listedVersions = new ListedVersions();
  /** False if endpoints end with a body that ends with its connection. */
  endpointsKeepListening = true;
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
      /** Memory for responses to callers that read slowly, bytes. */
      readonly bufferBytes?: number;
      readonly estimates?: EngineEstimates;
    } = {},
  ) {
    const { timer } = this;
    this.listedVersions.addAll(
      [ENGINES, PORTAL].map((pool) => ({ pool, softwareVersion: VERSION })),
    );
    const random = seededRandom(11);
    const placementState = makePlacementState(timer);
    const { load, loadReports } = placementState;
    const prefixes = new PrefixDirectory();
    const availability = new EndpointAvailability(timer);
    const { estimates = knownEstimates() } = options;
    const slowness = new EngineSlowness(timer);
    const pace = new DecodePace(timer, load);
    this.#routes = new RouteTable(configuration);
    const endpointClient: EndpointClient = {
      send: (request, attempt) => this.#send(request, attempt),
      parseCacheHandle: (body) => body.length > 0 ? body.toString() : undefined,
      listCachedParts: () => Promise.resolve(undefined),
      checkHealth: () => Promise.resolve(undefined),
      connect: () => makeConnection(this.endpointsKeepListening),
      release: (_, handle) => void this.released.push(handle),
    };
    const crashes = new CrashTracker({ timer });
    const availabilityZone = identifier<AvailabilityZoneId>("zone-1");
    const registry = new EndpointRegistry({ timer });
    const limits = new EndpointLimits();
    const self = identifier<ProcessId>("entry-0");
    const owners = new LoadOwners({ self, timer });
    this.dependencies = {
      ...placementState,
      random,
      availabilityZone,
      registry,
      prefixes,
      availability,
      placement: new EnginePlacement({
        availabilityZone,
        load,
        prefixes,
        availability,
        estimates,
        slowness,
        pace,
        random,
      }),
      estimates,
      slowness,
      pace,
      retryBudget: new SharedRetryBudget({
        timer,
        ratio: 0.2,
        windowMilliseconds: 10_000,
        minimum: options.repeats ?? 100,
        entries: () => 1,
      }),
      returningCallers: new ReturningCallers(timer),
      crashes,
      crashGate: new CrashGate({
        timer,
        crashes,
        trials: new TrialExchange({
          self,
          incarnation: "1",
          timer,
          issuer: new TrialIssuer(timer),
          crashes,
          owners,
          send() {},
        }),
      }),
      lostRunChecks: new LostRunChecks({
        timer,
        registry,
        crashes,
        endpointClient,
        healthPathOf: () => undefined,
      }),
      writerConnections: new WriterConnections(endpointClient, timer),
      eventNumbering: new EventNumbering(),
      limits,
      outcomes: new FleetOutcomes({
        self,
        timer,
        registry,
        loadReports,
        owners,
        logger: NOOP_LOGGER,
        broadcast() {},
        onVerdict() {},
      }),
      roleWork: new RoleWork(timer),
      permits: new RequestPermits({
        self,
        timer,
        limits,
        registry,
        owners,
        send() {},
        share: () => 1,
        onOutcome() {},
      }),
      permitQueue: new PermitQueue(),
      onTimeWork: new WorkRate(timer),
      held: new HeldPromptQueue(timer),
      shares: new PoolShares(timer, random),
      entries: () => 1,
      responseBuffers: new ResponseBuffers(options.bufferBytes ?? 0),
      link: new LinkBacklog(timer, options.linkMegabitsPerSecond),
      loopDelayMilliseconds: () => this.loopDelay,
      readDelayMilliseconds: () => 0,
      isLoadStale: () => false,
      refreshLoad: () => Promise.resolve(),
      queryAllowance: new QueryAllowance({
        timer,
        entries: () => 1,
        endpoints: () => registry.size,
      }),
      plannedStop: makePlannedStop(timer),
      openForwards: new Set(),
      endpointClient,
      streams: new StreamOriginExchange({
        self,
        timer,
        registry,
        origins: new StreamOrigins(timer),
        keepers: new StreamKeepers(),
        owners,
        allowance: { take: () => true },
        send() {},
        peers: () => [],
        onOutcome() {},
        digestOf: streamDigestOf,
      }),
      contact: new FleetContact({
        timer,
        peerCount: () => 0,
        hasHeardPeer: () => false,
      }),
      versions: new VersionListing({
        self,
        timer,
        random,
        logger: NOOP_LOGGER,
        registry,
        listed: this.listedVersions,
        link: {
          read: () => Promise.resolve(ok(this.listedVersions.all)),
          add: () => Promise.resolve(ok(undefined)),
          remove: () => Promise.resolve(ok(undefined)),
        },
        peers: () => [],
        registrationsFollowedSince: () => 0,
        ranking: () => [self],
        broadcast() {},
        send() {},
      }),
      digestOf,
      partDigestOf,
      observe: (decision, facts) => {
        this.decisions.push({ decision, ...facts });
      },
      routes: () => this.#routes,
      formerRoutes: new FormerRoutes(timer),
      configurationStatus: new ConfigurationStatus({
        timer,
        logger: NOOP_LOGGER,
        version: () => this.#routes.configuration.version,
      }),
      reportLeaving: (run) => registry.markLeaving(run) !== undefined,
      noteStarted: (workspace, at) => void this.started.push([workspace, at]),
      isChanging: () => false,
    };
  }

  /** Replaces the configuration that is in force. */
  applyConfiguration(configuration: ForwardingConfiguration): void {
    this.#routes = new RouteTable(configuration);
  }

  /** Forwards a request and returns the sink of its caller. */
  async submit(request: ForwardedRequest): Promise<RecordingSink> {
    const sink = new RecordingSink();
    void forward(this.dependencies, { request, sink });
    await flushPromises();
    return sink;
  }

  #send(
    request: ForwardedRequest,
    options: SendOptions,
  ): Exchange {
    let attempt: SentAttempt | undefined;
    const answer = new Promise<Result<EndpointResponse, ExchangeFailure>>(
      (resolve) => {
        attempt = new SentAttempt(request, options, resolve);
      },
    );
    const sentAttempt = attempt as unknown as SentAttempt;
    this.sent.push(sentAttempt);
    this.onSend?.(sentAttempt);
    return {
      answer,
      evidence: undefined,
      abort: () => sentAttempt.aborted = true,
    };
  }
}

/** Resolves after all pending promise callbacks have run. */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
