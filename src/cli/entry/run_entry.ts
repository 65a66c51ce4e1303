import { CallerApiServer } from "../../adapters/callers/mod.ts";
import { HttpLogService } from "../../adapters/log_service/mod.ts";
import { PEER_METHODS, PeerServer } from "../../adapters/peers/mod.ts";
import { hashText, systemRandom } from "../../adapters/random/mod.ts";
import {
  type CheckedEntrySettings,
  loadSettings,
} from "../../adapters/settings/mod.ts";
import { monitorLoopDelay } from "../../adapters/time/mod.ts";
import { HttpVmList } from "../../adapters/vm_list/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import type {
  StatusQuestion,
  WatchQuestion,
} from "../../generated/messages.ts";
import { EntryCore } from "../../entry/mod.ts";
import {
  EXIT_CODE_INVALID_INPUT,
  EXIT_CODE_LISTEN_FAILED,
} from "../exit_codes.ts";
import {
  reportInvalidSettings,
  waitForTermination,
} from "../process_lifecycle.ts";
import { ProcessContext } from "../process_context.ts";

/** Sufficient for watch requests, which contain the report of a side. */
const MAX_PEER_BODY_BYTES = 1024 * 1024;

/** Runs an entry until SIGTERM or SIGINT; returns the exit code. */
export async function runEntry(settingsFile: string): Promise<number> {
  const settings = loadSettings(settingsFile, "entry");
  if (settings.isErr()) {
    reportInvalidSettings(settings.error);
    return EXIT_CODE_INVALID_INPUT;
  }
  return await new EntryProcess(settings.value).run();
}

/** The core of an entry with its servers, log client and metrics. */
class EntryProcess {
  readonly #settings: CheckedEntrySettings;
  readonly #context: ProcessContext;
  readonly #core: EntryCore;
  readonly #log: HttpLogService;
  readonly #callerServer: CallerApiServer;
  readonly #peerServer: PeerServer;
  #requestCount = 0;

  constructor(settings: CheckedEntrySettings) {
    this.#settings = settings;
    this.#context = new ProcessContext(settings);
    this.#log = new HttpLogService(settings.platform.logService, {
      timer: this.#context.timer,
    });
    this.#core = this.#createCore();
    this.#callerServer = this.#createCallerServer();
    this.#peerServer = this.#createPeerServer();
  }

  async run(): Promise<number> {
    const peerPort = await this.#peerServer.listen();
    const callerPort = await this.#callerServer.listen();
    if (peerPort.isErr()) return this.#reportListenFailure(peerPort.error);
    if (callerPort.isErr()) return this.#reportListenFailure(callerPort.error);
    this.#core.start();
    monitorLoopDelay({
      timer: this.#context.timer,
      onDelay: (milliseconds) => this.#core.scheduler.loopDelay(milliseconds),
    });
    this.#context.logger.info(
      { callers: callerPort.value, peers: peerPort.value },
      "Entry is listening",
    );
    await waitForTermination();
    await this.#shutDown();
    return 0;
  }

  async #shutDown(): Promise<void> {
    this.#context.logger.info(
      { open: this.#core.openRequests },
      "Entry is shutting down",
    );
    const stopped = this.#core.stop();
    this.#callerServer.stopListening();
    await stopped;
    this.#callerServer.close();
    this.#peerServer.close();
    // Aborts a long poll, which would otherwise keep the process alive.
    this.#log.close();
    await this.#context.close();
    this.#context.logger.info({}, "Entry has stopped");
  }

  #reportListenFailure(error: { message: string; hint: string }): number {
    this.#context.logger.error({ hint: error.hint }, error.message);
    this.#callerServer.close();
    this.#peerServer.close();
    return EXIT_CODE_LISTEN_FAILED;
  }

  #createCore(): EntryCore {
    const { name, region, availabilityZone, platform, limits, coordination } =
      this.#settings;
    return new EntryCore({
      name: identifier(name),
      incarnation: this.#context.incarnation,
      region: identifier(region),
      availabilityZone: identifier(availabilityZone),
      timer: this.#context.timer,
      random: systemRandom,
      log: this.#log,
      ...(platform.vmList !== undefined && {
        vmList: new HttpVmList(platform.vmList, { timer: this.#context.timer }),
      }),
      sides: this.#context.peers,
      entries: this.#context.peers,
      peerAddresses: this.#settings.peerAddresses.map((each) =>
        identifier(each)
      ),
      hash: hashText,
      limits,
      times: coordination,
      observe: this.#context.metrics.observe,
      tracer: this.#context.tracing.tracer,
      logger: this.#context.logger.forComponent("entry"),
    });
  }

  #createCallerServer(): CallerApiServer {
    const { callers, limits, name } = this.#settings;
    const incarnation = this.#context.incarnation;
    return new CallerApiServer({
      host: callers.host,
      port: callers.port,
      mostBodyBytes: limits.mostBodyBytes,
      service: this.#core,
      logger: this.#context.logger.forComponent("callers"),
      newRequestId: () =>
        identifier(`${name}-${incarnation}-${this.#requestCount++}`),
      wallClockSeconds: () =>
        Math.floor(this.#context.timer.wallClock() / 1000),
      metrics: () => this.#context.renderMetrics(),
    });
  }

  #createPeerServer(): PeerServer {
    const { peers } = this.#settings;
    return new PeerServer({
      host: peers.host,
      port: peers.port,
      mostBodyBytes: MAX_PEER_BODY_BYTES,
      onFault: this.#context.reportFaults("peer_server"),
      metrics: () => this.#context.renderMetrics(),
      methods: {
        [PEER_METHODS.watch]: (question: WatchQuestion) =>
          this.#core.watch(question),
        [PEER_METHODS.status]: (question: StatusQuestion) =>
          this.#core.status(question),
        [PEER_METHODS.snapshot]: ({ stream }: { stream: string }) =>
          this.#core.snapshot(stream),
      },
    });
  }
}
