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
  EXIT_CODE_INVALID_INPUT,
  EXIT_CODE_LISTEN_FAILED,
} from "../exit_codes.ts";
import {
  reportInvalidSettings,
  waitForTermination,
} from "../process_lifecycle.ts";
import { ProcessContext } from "../process_context.ts";

/**
 * Sufficient for a request body of a caller plus the tokens delivered so far.
 */
const MAX_ATTEMPT_BYTES = 8 * 1024 * 1024;

/** Runs a side until SIGTERM or SIGINT; returns the exit code. */
export async function runSide(settingsFile: string): Promise<number> {
  const settings = loadSettings(settingsFile, "side");
  if (settings.isErr()) {
    reportInvalidSettings(settings.error);
    return EXIT_CODE_INVALID_INPUT;
  }
  return await new SideProcess(settings.value).run();
}

/** The core of a side with its server, endpoint client and metrics. */
class SideProcess {
  readonly #settings: CheckedSideSettings;
  readonly #context: ProcessContext;
  readonly #core: SideCore;
  readonly #server: PeerServer;

  constructor(settings: CheckedSideSettings) {
    this.#settings = settings;
    this.#context = new ProcessContext(settings);
    this.#core = this.#createCore();
    this.#server = this.#createServer();
  }

  async run(): Promise<number> {
    const port = await this.#server.listen();
    if (port.isErr()) {
      this.#context.logger.error({ hint: port.error.hint }, port.error.message);
      return EXIT_CODE_LISTEN_FAILED;
    }
    this.#core.start();
    this.#context.logger.info({ peers: port.value }, "Side is listening");
    await waitForTermination();
    this.#context.logger.info(
      { running: this.#core.running },
      "Side is shutting down",
    );
    await this.#core.stop();
    this.#server.close();
    await this.#context.close();
    this.#context.logger.info({}, "Side has stopped");
    return 0;
  }

  #createCore(): SideCore {
    const settings = this.#settings;
    const { limits, coordination } = settings;
    return new SideCore({
      name: identifier(settings.name),
      incarnation: this.#context.incarnation,
      endpointId: settings.endpoint,
      availabilityZone: identifier(settings.availabilityZone),
      kind: settings.kind,
      timer: this.#context.timer,
      random: systemRandom,
      endpoint: new HttpEndpointLink(settings.target, {
        timer: this.#context.timer,
        mostResponseBytes: limits.mostResponseBytes,
      }),
      entries: this.#context.peers,
      entryAddresses: settings.entries.map((each) => identifier(each)),
      limits,
      times: coordination,
      observe: this.#context.metrics.observe,
      tracer: this.#context.tracing.tracer,
      logger: this.#context.logger.forComponent("side"),
    });
  }

  #createServer(): PeerServer {
    const { host, port } = this.#settings.peers;
    return new PeerServer({
      host,
      port,
      mostBodyBytes: MAX_ATTEMPT_BYTES,
      runAttempt: (attempt, emit) => this.#core.run(attempt, emit),
      onFault: this.#context.reportFaults("peer_server"),
      metrics: () => this.#context.renderMetrics(),
      methods: {
        [PEER_METHODS.report]: () => this.#core.report(),
        [PEER_METHODS.ask]: (question: OnceQuestion) =>
          this.#core.ask(question),
      },
    });
  }
}
