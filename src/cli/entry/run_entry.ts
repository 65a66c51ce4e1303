import { CallerDoor } from "../../adapters/callers/mod.ts";
import { HttpLogService } from "../../adapters/log_service/mod.ts";
import { PEER_METHODS, PeerServer } from "../../adapters/peers/mod.ts";
import { hashText, systemRandom } from "../../adapters/random/mod.ts";
import {
  type CheckedEntrySettings,
  loadSettings,
} from "../../adapters/settings/mod.ts";
import { watchLoopDelay } from "../../adapters/time/mod.ts";
import { HttpVmList } from "../../adapters/vm_list/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import type {
  StatusQuestion,
  WatchQuestion,
} from "../../generated/messages.ts";
import { EntryCore } from "../../entry/mod.ts";
import {
  EXIT_CODE_BAD_SETTINGS,
  EXIT_CODE_CANNOT_LISTEN,
} from "../exit_codes.ts";
import { onTerminate, reportBadSettings } from "../process_life.ts";
import { ProcessParts } from "../process_parts.ts";

/** A side's question carries its report, an operator's nothing. */
const MOST_PEER_BODY_BYTES = 1024 * 1024;

/** Runs an entry until it is told to stop; gives the exit code. */
export async function runEntry(settingsFile: string): Promise<number> {
  const settings = loadSettings(settingsFile, "entry");
  if (settings.isErr()) {
    reportBadSettings(settings.error);
    return EXIT_CODE_BAD_SETTINGS;
  }
  return await new EntryProgram(settings.value).run();
}

/** The entry's core with its sockets, log and metrics. */
class EntryProgram {
  readonly #settings: CheckedEntrySettings;
  readonly #parts: ProcessParts;
  readonly #core: EntryCore;
  readonly #log: HttpLogService;
  readonly #callerDoor: CallerDoor;
  readonly #peerServer: PeerServer;
  #requests = 0;

  constructor(settings: CheckedEntrySettings) {
    this.#settings = settings;
    this.#parts = new ProcessParts(settings);
    this.#log = new HttpLogService(settings.platform.logService, {
      timer: this.#parts.timer,
    });
    this.#core = this.#makeCore();
    this.#callerDoor = this.#makeCallerDoor();
    this.#peerServer = this.#makePeerServer();
  }

  async run(): Promise<number> {
    const peerPort = await this.#peerServer.listen();
    const callerPort = await this.#callerDoor.listen();
    if (peerPort.isErr()) return this.#cannotListen(peerPort.error);
    if (callerPort.isErr()) return this.#cannotListen(callerPort.error);
    this.#core.start();
    watchLoopDelay({
      timer: this.#parts.timer,
      onDelay: (milliseconds) => this.#core.scheduler.loopDelay(milliseconds),
    });
    this.#parts.logger.info(
      { callers: callerPort.value, peers: peerPort.value },
      "The entry listens",
    );
    await onTerminate();
    await this.#shutDown();
    return 0;
  }

  async #shutDown(): Promise<void> {
    this.#parts.logger.info(
      { open: this.#core.openRequests },
      "The entry shuts down",
    );
    const stopped = this.#core.stop();
    this.#callerDoor.stopListening();
    await stopped;
    this.#callerDoor.close();
    this.#peerServer.close();
    // A long poll under way would keep the process for its whole length.
    this.#log.close();
    await this.#parts.close();
    this.#parts.logger.info({}, "The entry has stopped");
  }

  #cannotListen(error: { message: string; hint: string }): number {
    this.#parts.logger.error({ hint: error.hint }, error.message);
    this.#callerDoor.close();
    this.#peerServer.close();
    return EXIT_CODE_CANNOT_LISTEN;
  }

  #makeCore(): EntryCore {
    const { name, region, availabilityZone, platform, limits, coordination } =
      this.#settings;
    return new EntryCore({
      name: identifier(name),
      incarnation: this.#parts.incarnation,
      region: identifier(region),
      availabilityZone: identifier(availabilityZone),
      timer: this.#parts.timer,
      random: systemRandom,
      log: this.#log,
      ...(platform.vmList !== undefined && {
        vmList: new HttpVmList(platform.vmList, { timer: this.#parts.timer }),
      }),
      sides: this.#parts.peers,
      entries: this.#parts.peers,
      peerAddresses: this.#settings.peerAddresses.map((each) =>
        identifier(each)
      ),
      hash: hashText,
      limits,
      times: coordination,
      observe: this.#parts.metrics.observe,
      tracer: this.#parts.tracing.tracer,
      logger: this.#parts.logger.labelled("entry"),
    });
  }

  #makeCallerDoor(): CallerDoor {
    const { callers, limits, name } = this.#settings;
    const run = this.#parts.incarnation;
    return new CallerDoor({
      host: callers.host,
      port: callers.port,
      mostBodyBytes: limits.mostBodyBytes,
      service: this.#core,
      logger: this.#parts.logger.labelled("callers"),
      newRequestId: () => identifier(`${name}-${run}-${this.#requests++}`),
      seconds: () => Math.floor(this.#parts.timer.wallClock() / 1000),
      metrics: () => this.#parts.renderMetrics(),
    });
  }

  #makePeerServer(): PeerServer {
    const { peers } = this.#settings;
    return new PeerServer({
      host: peers.host,
      port: peers.port,
      mostBodyBytes: MOST_PEER_BODY_BYTES,
      metrics: () => this.#parts.renderMetrics(),
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
