import { classify, CompiledRules } from "../core/rules/mod.ts";
import type {
  AvailabilityZoneId,
  EndpointId,
  Incarnation,
  ProcessId,
  RegionId,
} from "../core/identity/mod.ts";
import { identifier } from "../core/identity/mod.ts";
import type { LogService } from "../core/journal/mod.ts";
import type {
  EntryLink,
  PeerAddress,
  SideLink,
  StreamSnapshot,
} from "../core/links/mod.ts";
import type {
  HistoryEventKind,
  Logger,
  Observe,
} from "../core/observation/mod.ts";
import { SILENT_LOGGER } from "../core/observation/mod.ts";
import { OnceCoordinator } from "../core/once/mod.ts";
import type { Random } from "../core/random/mod.ts";
import type {
  AnswerSink,
  CallerRequest,
  Outcome,
  Refusal,
} from "../core/requests/mod.ts";
import { createScheduler } from "../core/scheduling/mod.ts";
import type { Scheduler } from "../core/scheduling/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type {
  EntryStatus,
  WatchAnswer,
  WatchQuestion,
} from "../generated/messages.ts";
import type { Rules } from "../generated/rules.ts";
import { Catalog } from "./catalog.ts";
import { chooseEndpoints } from "./endpoint_subset.ts";
import { Planner } from "./planner.ts";
import { profileOf } from "./profile.ts";
import { RegionLog } from "./region_log.ts";
import { serveRepeatable } from "./repeatable_run.ts";
import { RequestRun } from "./request_run.ts";
import type { RunContext } from "./run_context.ts";
import { SideDirectory } from "./side_directory.ts";
import { serveKeyed, serveUnkeyed } from "./single_run.ts";
import { WatchDesk } from "./watch_desk.ts";

/** Limits of one entry; every one of them bounds its memory or its waiting. */
export interface EntryLimits {
  readonly mostQueued: number;
  readonly mostQueuedPerWorkspace: number;
  readonly mostOpenRequests: number;
  /** Time that a planned stop leaves to open requests, seconds. */
  readonly shutdownSeconds: number;
  /** Endpoints of one pool that this entry uses. */
  readonly mostEndpointsPerPool: number;
  /** Attempts of one request, the first included. */
  readonly mostAttempts: number;
}

export interface EntryTimes {
  readonly reportMilliseconds: number;
  readonly suspectMilliseconds: number;
  readonly appendDelayMilliseconds: number;
  readonly claimSilenceMilliseconds: number;
  readonly checkpointRecords: number;
  readonly planMilliseconds: number;
}

export interface EntryOptions {
  readonly name: ProcessId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly timer: TimerService;
  readonly random: Random;
  readonly log: LogService;
  readonly sides: SideLink;
  readonly entries: EntryLink;
  /** Other entries of the region, to take state from while the log is down. */
  readonly peerAddresses: readonly PeerAddress[];
  /** A hash of text, short and even; not secret. */
  readonly hash: (text: string) => string;
  readonly limits: EntryLimits;
  readonly times: EntryTimes;
  readonly observe?: Observe;
  readonly logger?: Logger;
}

/** A caller's hold on its request. */
export interface RequestHandle {
  /** The caller has hung up. */
  cancel(): void;
  /** The caller takes tokens again after a sink said no. */
  drained(): void;
}

interface InForce {
  readonly catalog: Catalog;
  readonly rules: Rules;
  readonly compiled: CompiledRules;
}

const NOTHING: RequestHandle = { cancel() {}, drained() {} };
/** When a caller may come back to an entry that has just started. */
const STARTING_RETRY_MILLISECONDS = 1_000;
/** When a caller turned away at a full entry may come back. */
const FULL_RETRY_MILLISECONDS = 2_000;

/**
 * One entry: admits, queues and places callers' requests, reads the log, and
 * relays what is in force to the sides. It holds no socket and no clock.
 */
export class EntryCore {
  readonly #options: EntryOptions;
  readonly #logger: Logger;
  readonly #log: RegionLog;
  readonly #planner: Planner;
  readonly #scheduler: Scheduler;
  readonly #directory: SideDirectory;
  readonly #desk: WatchDesk;
  readonly #context: RunContext;
  readonly #open = new Set<RequestRun>();
  #inForce: InForce | undefined;
  #told = 0;
  #draining = false;
  #idleListeners: (() => void)[] = [];

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#logger = options.logger ?? SILENT_LOGGER;
    this.#log = new RegionLog({
      ...options,
      logger: this.#logger,
      tell: (kind, facts) => this.#tell(kind, facts),
      eligible: () => !this.#draining,
      onConfiguration: () => this.#onConfiguration(),
      onOrders: () => this.#desk.changed(),
    });
    this.#scheduler = createScheduler({
      timer: options.timer,
      random: options.random,
      availabilityZone: options.availabilityZone,
      limits: options.limits,
      entriesSharing: () => options.peerAddresses.length + 1,
    });
    this.#directory = this.#makeDirectory();
    this.#desk = new WatchDesk({
      timer: options.timer,
      answerFor: (endpoint) => this.#answerFor(endpoint),
    });
    this.#context = this.#makeContext();
    this.#planner = this.#makePlanner();
  }

  start(): void {
    this.#tell("process_started", { role: "entry" });
    this.#log.start();
    this.#directory.start();
    this.#planner.start();
  }

  /**
   * Graceful shutdown: new requests are refused and the health page says
   * draining at once, so that the balancer turns away; claims are handed over;
   * open requests are finished within the limit, what is left is told the
   * truth.
   */
  async stop(): Promise<void> {
    this.#draining = true;
    this.#tell("entry_draining", { cause: "stop" });
    await this.#log.handOver();
    await this.#idleWithin(this.#options.limits.shutdownSeconds * 1000);
    for (const run of [...this.#open]) run.giveUp("The entry is shutting down");
    this.halt();
  }

  /** Ends everything at once, as far as this process can. */
  halt(): void {
    this.#draining = true;
    this.#planner.stop();
    this.#directory.stop();
    this.#desk.closeAll();
    this.#log.stop();
    this.#tell("process_stopped", {});
  }

  get state(): EntryStatus["state"] {
    if (this.#draining) return "draining";
    return this.#inForce === undefined ? "starting" : "serving";
  }

  /** Requests that are not finished yet. */
  get openRequests(): number {
    return this.#open.size;
  }

  /** Version of the configuration that this entry follows; 0 for none. */
  get configurationVersion(): number {
    return this.#log.configuration.appliedVersion;
  }

  get scheduler(): Scheduler {
    return this.#scheduler;
  }

  models(): readonly string[] {
    return this.#inForce?.catalog.models() ?? [];
  }

  routeIsIdempotent(method: string, path: string): boolean | undefined {
    const match = this.#inForce?.catalog.poolOfRoute(method, path);
    return match?.isOk() ? match.value.idempotent : undefined;
  }

  /** Takes a request; the sink gets exactly one final outcome. */
  submit(request: CallerRequest, sink: AnswerSink): RequestHandle {
    this.#tell("request_received", receivedFacts(request));
    const refusal = this.#closedBecause();
    if (refusal !== undefined) return this.#refuse(request, { sink, refusal });
    const inForce = this.#inForce as InForce;
    const workClass = classify(request, inForce.rules, {
      compiled: inForce.compiled,
    });
    const profiled = profileOf(request, {
      catalog: inForce.catalog,
      workClass,
      now: this.#options.timer.now(),
      availabilityZone: this.#options.availabilityZone,
      hash: this.#options.hash,
    });
    if (profiled.isErr()) {
      return this.#refuse(request, { sink, refusal: profiled.error });
    }
    const run: RequestRun = new RequestRun({
      context: this.#context,
      request,
      sink,
      profile: profiled.value.profile,
      workClass,
      resumes: profiled.value.resumes,
      ...this.#serving(request),
      done: (outcome) => this.#onDone(run, outcome),
    });
    this.#open.add(run);
    run.start();
    return run;
  }

  /** Answers a side's long poll. */
  watch(question: WatchQuestion): Promise<WatchAnswer> {
    this.#directory.heard(question.report);
    if (this.#draining) {
      return Promise.resolve(this.#answerFor(question.report.endpoint));
    }
    return this.#desk.watch(question);
  }

  status(): EntryStatus {
    const { name, incarnation, region, availabilityZone } = this.#options;
    const claim = this.#log.orders.claim;
    return {
      entry: name,
      incarnation,
      region,
      availabilityZone,
      state: this.state,
      configurationVersion: this.configurationVersion,
      ordersRead: this.#log.journals.orders.position,
      ...(claim && { claim: { offset: claim.offset, holder: claim.holder } }),
      logReachable: this.#log.journals.configuration.reachable,
      openRequests: this.#open.size,
      sides: this.#directory.reports(),
      demand: this.#scheduler.demand().map(({ pool, classes }) => ({
        pool,
        classes: [...classes ?? []],
      })),
    };
  }

  /** This entry's state of a stream, for a peer that can't read the log. */
  snapshot(stream: string): StreamSnapshot | undefined {
    return this.#log.snapshot(stream);
  }

  #closedBecause(): Refusal | undefined {
    if (this.#draining) {
      return refusalFor("draining", "This entry is shutting down");
    }
    if (this.#inForce === undefined) {
      return refusalFor("not_configured", "No configuration is in force yet");
    }
    if (this.#open.size >= this.#options.limits.mostOpenRequests) {
      return {
        ...refusalFor("overloaded_entry", "The entry has no room left"),
        retryAfterMilliseconds: FULL_RETRY_MILLISECONDS,
      };
    }
    return undefined;
  }

  #refuse(
    request: CallerRequest,
    refused: { sink: AnswerSink; refusal: Refusal },
  ): RequestHandle {
    this.#tell("request_finished", {
      requestId: request.requestId,
      outcome: "not_run",
      reason: refused.refusal.reason,
    });
    refused.sink.finish(refused.refusal);
    return NOTHING;
  }

  /** How a kind of work is served; what may run once only is not cancelled. */
  #serving(request: CallerRequest) {
    const { work } = request;
    if (work.kind === "generation" || work.idempotent) {
      return { serve: serveRepeatable, cancelsAttempts: true };
    }
    if (request.idempotencyKey === undefined) {
      return { serve: serveUnkeyed, cancelsAttempts: false };
    }
    const text = `${work.method} ${work.path}\n${work.body}`;
    const fingerprint = this.#options.hash(text);
    return {
      serve: (run: RequestRun) => serveKeyed(run, { fingerprint }),
      cancelsAttempts: false,
    };
  }

  #onDone(run: RequestRun, _outcome: Outcome): void {
    this.#open.delete(run);
    if (this.#open.size > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }

  #idleWithin(milliseconds: number): Promise<void> {
    if (this.#open.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const limit = this.#options.timer.after(milliseconds, resolve);
      this.#idleListeners.push(() => {
        limit.cancel();
        resolve();
      });
    });
  }

  /** A record of the configuration stream has been read. */
  #onConfiguration(): void {
    const { appliedVersion, inventory, rules } = this.#log.configuration;
    if (appliedVersion <= this.#told) return;
    if (inventory === undefined || rules === undefined) return;
    this.#told = appliedVersion;
    this.#inForce = {
      catalog: new Catalog(inventory),
      rules,
      compiled: new CompiledRules(rules),
    };
    this.#apply(this.#inForce);
    this.#tell("configuration_in_force", { version: appliedVersion });
    this.#logger.info(
      { version: appliedVersion },
      "Configuration is in force",
    );
  }

  #apply(inForce: InForce): void {
    const { name, availabilityZone, limits } = this.#options;
    const chosen = chooseEndpoints(inForce.catalog.inventory, {
      entry: name,
      availabilityZone,
      mostPerPool: limits.mostEndpointsPerPool,
    });
    this.#scheduler.configure(chosen.inventory, inForce.rules);
    this.#directory.use(chosen.sides);
    this.#desk.changed();
  }

  #answerFor(endpoint: string): WatchAnswer {
    const id = identifier<EndpointId>(endpoint);
    const catalog = this.#inForce?.catalog;
    const inventoried = catalog?.endpoint(id);
    const answer: WatchAnswer = {
      configurationVersion: this.configurationVersion,
      ordersRead: this.#log.journals.orders.position,
    };
    if (inventoried !== undefined) {
      const engine = catalog?.engineOf(id);
      answer.endpoint = {
        state: inventoried.state ?? "serving",
        checksFencing: engine?.checksFencing ?? false,
        resumesStreams: engine?.resumesStreams ?? false,
        ...(engine && { slots: engine.slots }),
        ...(engine && { roleChangeSeconds: engine.roleChangeSeconds }),
      };
    }
    const order = this.#log.orders.standingOrder(endpoint);
    if (order !== undefined) answer.order = order;
    return answer;
  }

  #makeDirectory(): SideDirectory {
    const { timer, sides, times } = this.#options;
    return new SideDirectory({
      timer,
      sides,
      reportMilliseconds: times.reportMilliseconds,
      suspectMilliseconds: times.suspectMilliseconds,
      onReport: (report, at) => this.#scheduler.report(report, at),
      onSuspicion: (endpoint, suspected) =>
        this.#onSuspicion(endpoint, suspected),
    });
  }

  #onSuspicion(endpoint: EndpointId, suspected: boolean): void {
    this.#tell(suspected ? "suspected" : "trusted", { endpoint });
    this.#logger.warn({ endpoint, suspected }, "Suspicion of a side changed");
    this.#scheduler.suspect(endpoint, suspected);
    if (!suspected) return;
    for (const run of [...this.#open]) run.suspect(endpoint);
  }

  #makeContext(): RunContext {
    const { timer, sides, availabilityZone, limits } = this.#options;
    return {
      timer,
      availabilityZone,
      scheduler: this.#scheduler,
      sides,
      directory: this.#directory,
      once: new OnceCoordinator({
        fold: this.#log.once,
        append: (body) => this.#log.journals.once.append(body),
        ask: (endpoint, question) => this.#askSide(endpoint, question),
        timer,
      }),
      mostAttempts: limits.mostAttempts,
      tell: (kind, facts) => this.#tell(kind, facts),
    };
  }

  #askSide(
    endpoint: EndpointId,
    question: Parameters<SideLink["ask"]>[1],
  ): ReturnType<SideLink["ask"]> {
    const side = this.#inForce?.catalog.sideOf(endpoint);
    return this.#options.sides.ask(side ?? UNKNOWN_ADDRESS, question);
  }

  #makePlanner(): Planner {
    const { timer, times, entries, peerAddresses } = this.#options;
    return new Planner({
      timer,
      planMilliseconds: times.planMilliseconds,
      journal: this.#log.journals.orders,
      orders: this.#log.orders,
      claim: this.#log.plannerClaim,
      entries,
      peers: () => peerAddresses,
      status: () => this.status(),
      inForce: () =>
        this.#inForce && {
          inventory: this.#inForce.catalog.inventory,
          rules: this.#inForce.rules,
        },
      logger: this.#logger,
    });
  }

  #tell(
    kind: HistoryEventKind,
    facts: Record<string, string | number | boolean>,
  ): void {
    this.#options.observe?.({
      at: this.#options.timer.now(),
      process: this.#options.name,
      kind,
      facts: { ...facts, incarnation: this.#options.incarnation },
    });
  }
}

/** Port 0 of the own machine: nobody listens there, so nothing is sent. */
const UNKNOWN_ADDRESS = identifier<PeerAddress>("127.0.0.1:0");

function refusalFor(reason: Refusal["reason"], detail: string): Refusal {
  return {
    kind: "not_run",
    reason,
    detail,
    retryAfterMilliseconds: STARTING_RETRY_MILLISECONDS,
  };
}

function receivedFacts(
  request: CallerRequest,
): Record<string, string | number | boolean> {
  const { work, idempotencyKey } = request;
  return {
    requestId: request.requestId,
    idempotent: work.kind === "generation" || work.idempotent,
    workspace: request.workspace,
    ...(idempotencyKey && { key: idempotencyKey }),
  };
}
