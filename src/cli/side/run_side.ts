import { HttpEndpointLink } from "../../adapters/endpoint/mod.ts";
import { PEER_METHODS, PeerServer } from "../../adapters/peers/mod.ts";
import { systemRandom } from "../../adapters/random/mod.ts";
import {
  type CheckedSideSettings,
  loadSettings,
} from "../../adapters/settings/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import type { OnceQuestion } from "../../generated/messages.ts";
import { SideCore } from "../../side/mod.ts";
import {
  EXIT_CODE_BAD_SETTINGS,
  EXIT_CODE_CANNOT_LISTEN,
} from "../exit_codes.ts";
import { onTerminate, reportBadSettings } from "../process_life.ts";
import { ProcessParts } from "../process_parts.ts";

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
  readonly #parts: ProcessParts;
  readonly #core: SideCore;
  readonly #server: PeerServer;

  constructor(settings: CheckedSideSettings) {
    this.#settings = settings;
    this.#parts = new ProcessParts(settings);
    this.#core = this.#makeCore();
    this.#server = this.#makeServer();
  }

  async run(): Promise<number> {
    const port = await this.#server.listen();
    if (port.isErr()) {
      this.#parts.logger.error({ hint: port.error.hint }, port.error.message);
      return EXIT_CODE_CANNOT_LISTEN;
    }
    this.#core.start();
    this.#parts.logger.info({ peers: port.value }, "The side listens");
    await onTerminate();
    this.#parts.logger.info(
      { running: this.#core.running },
      "The side shuts down",
    );
    await this.#core.stop();
    this.#server.close();
    await this.#parts.close();
    this.#parts.logger.info({}, "The side has stopped");
    return 0;
  }

  #makeCore(): SideCore {
    const settings = this.#settings;
    const { limits, coordination } = settings;
    return new SideCore({
      name: identifier(settings.name),
      incarnation: this.#parts.incarnation,
      endpointId: settings.endpoint,
      availabilityZone: identifier(settings.availabilityZone),
      kind: settings.kind,
      timer: this.#parts.timer,
      random: systemRandom,
      endpoint: new HttpEndpointLink(settings.target, {
        timer: this.#parts.timer,
        mostResponseBytes: limits.mostResponseBytes,
      }),
      entries: this.#parts.peers,
      entryAddresses: settings.entries.map((each) => identifier(each)),
      limits,
      times: coordination,
      observe: this.#parts.metrics.observe,
      tracer: this.#parts.tracing.tracer,
      logger: this.#parts.logger.labelled("side"),
    });
  }

  #makeServer(): PeerServer {
    const { host, port } = this.#settings.peers;
    return new PeerServer({
      host,
      port,
      mostBodyBytes: MOST_ATTEMPT_BYTES,
      runAttempt: (attempt, emit) => this.#core.run(attempt, emit),
      metrics: () => this.#parts.renderMetrics(),
      methods: {
        [PEER_METHODS.report]: () => this.#core.report(),
        [PEER_METHODS.ask]: (question: OnceQuestion) =>
          this.#core.ask(question),
      },
    });
  }
}
