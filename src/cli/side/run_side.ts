import { HttpEndpointLink } from "../../adapters/endpoint/mod.ts";
import {
  HttpPeers,
  PEER_METHODS,
  PeerServer,
} from "../../adapters/peers/mod.ts";
import { newIncarnation, systemRandom } from "../../adapters/random/mod.ts";
import {
  type CheckedSideSettings,
  loadSettings,
} from "../../adapters/settings/mod.ts";
import {
  createLogger,
  createTracing,
  type LabelledLogger,
  Metrics,
  type Tracing,
} from "../../adapters/telemetry/mod.ts";
import { SystemTimerService } from "../../adapters/time/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import type { OnceQuestion } from "../../generated/messages.ts";
import { SideCore } from "../../side/mod.ts";
import {
  EXIT_CODE_BAD_SETTINGS,
  EXIT_CODE_CANNOT_LISTEN,
} from "../exit_codes.ts";
import { onTerminate, reportBadSettings } from "../process_life.ts";

/** A body that an entry lets in, with the tokens of a cut-off answer. */
const MOST_ATTEMPT_BYTES = 8 * 1024 * 1024;
/** Runs a side until it is told to stop; gives the exit code. */
export async function runSide(settingsFile: string): Promise<number> {
  const settings = loadSettings(settingsFile, "side");
  if (settings.isErr()) {
    reportBadSettings(settings.error);
    return EXIT_CODE_BAD_SETTINGS;
  }
  return await new SideProgram(settings.value).run();
}

/** The side's core with its sockets, log and metrics. */
class SideProgram {
  readonly #settings: CheckedSideSettings;
  readonly #logger: LabelledLogger;
  readonly #metrics = new Metrics({ processMetrics: true });
  readonly #tracing: Tracing;
  readonly #timer = new SystemTimerService();
  readonly #peers = new HttpPeers();
  readonly #core: SideCore;
  readonly #server: PeerServer;

  constructor(settings: CheckedSideSettings) {
    this.#settings = settings;
    this.#logger = createLogger({
      level: settings.log.level,
      process: settings.name,
    });
    this.#tracing = createTracing({
      process: settings.name,
      ...settings.traces,
    });
    this.#core = this.#makeCore();
    this.#server = this.#makeServer();
  }

  async run(): Promise<number> {
    const port = await this.#server.listen();
    if (port.isErr()) {
      this.#logger.error({ hint: port.error.hint }, port.error.message);
      return EXIT_CODE_CANNOT_LISTEN;
    }
    this.#core.start();
    this.#logger.info({ peers: port.value }, "The side listens");
    await onTerminate();
    this.#logger.info({ running: this.#core.running }, "The side shuts down");
    await this.#core.stop();
    this.#server.close();
    this.#peers.close();
    await this.#tracing.shutdown();
    this.#logger.info({}, "The side has stopped");
    return 0;
  }

  #makeCore(): SideCore {
    const settings = this.#settings;
    const { limits, coordination } = settings;
    return new SideCore({
      name: identifier(settings.name),
      incarnation: newIncarnation(),
      endpointId: settings.endpoint,
      availabilityZone: identifier(settings.availabilityZone),
      kind: settings.kind,
      timer: this.#timer,
      random: systemRandom,
      endpoint: new HttpEndpointLink(settings.target, {
        timer: this.#timer,
        mostResponseBytes: limits.mostResponseBytes,
      }),
      entries: this.#peers,
      entryAddresses: settings.entries.map((each) => identifier(each)),
      limits,
      times: coordination,
      observe: this.#metrics.observe,
      tracer: this.#tracing.tracer,
      logger: this.#logger.labelled("side"),
    });
  }

  #makeServer(): PeerServer {
    const { host, port } = this.#settings.peers;
    return new PeerServer({
      host,
      port,
      mostBodyBytes: MOST_ATTEMPT_BYTES,
      runAttempt: (attempt, emit) => this.#core.run(attempt, emit),
      metrics: async () => (await this.#metrics.render()).body,
      methods: {
        [PEER_METHODS.report]: () => this.#core.report(),
        [PEER_METHODS.ask]: (question: OnceQuestion) =>
          this.#core.ask(question),
      },
    });
  }
}
