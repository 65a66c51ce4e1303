import process from "node:process";
import { v7 as uuidv7 } from "uuid";
import { HttpLogService } from "../../adapters/log_service/mod.ts";
import { HttpPeerClient } from "../../adapters/peers/mod.ts";
import { newIncarnation, systemRandom } from "../../adapters/random/mod.ts";
import {
  type CheckedOperatorSettings,
  formatProblem,
  loadConfiguration,
  loadSettings,
} from "../../adapters/settings/mod.ts";
import { SystemTimerService } from "../../adapters/time/mod.ts";
import {
  ConfigurationFold,
  type PublicationFailure,
  Publisher,
} from "../../core/configuration/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import { Journal } from "../../core/journal/mod.ts";
import {
  EXIT_CODE_FAILURE,
  EXIT_CODE_INVALID_INPUT,
  EXIT_CODE_OUTCOME_UNKNOWN,
  EXIT_CODE_ROLLOUT_INCOMPLETE,
  EXIT_CODE_SUCCESS,
} from "../exit_codes.ts";
import { reportInvalidSettings } from "../process_lifecycle.ts";
import { countInForce, queryFleet } from "../status/fleet_status.ts";
import type { PublishArguments } from "./command.ts";

const POLL_INTERVAL_MILLISECONDS = 200;
/** The command writes no checkpoints, so the interval is unlimited. */
const UNLIMITED_CHECKPOINT_RECORDS = Number.MAX_SAFE_INTEGER;

/**
 * Publishes a configuration and waits for its rollout; returns the exit code.
 */
export async function runPublish(options: PublishArguments): Promise<number> {
  const settings = loadSettings(options.settings, "operator");
  if (settings.isErr()) {
    reportInvalidSettings(settings.error);
    return EXIT_CODE_INVALID_INPUT;
  }
  const content = loadConfiguration(options);
  if (content.isErr()) {
    for (const problem of content.error) {
      process.stderr.write(`${formatProblem(problem)}\n`);
    }
    return EXIT_CODE_INVALID_INPUT;
  }
  const publication = new PublicationRun(settings.value, {
    region: content.value.inventory.region,
    arguments: options,
  });
  return await publication.run(content.value);
}

interface PublicationRunOptions {
  readonly region: string;
  readonly arguments: PublishArguments;
}

/** One run of the command, with its journal, peer client and output. */
class PublicationRun {
  readonly #arguments: PublishArguments;
  readonly #settings: CheckedOperatorSettings;
  readonly #timer = new SystemTimerService();
  readonly #peers = new HttpPeerClient();
  readonly #fold = new ConfigurationFold();
  readonly #log: HttpLogService;
  readonly #journal: Journal;
  readonly #id: string;

  constructor(
    settings: CheckedOperatorSettings,
    options: PublicationRunOptions,
  ) {
    this.#arguments = options.arguments;
    this.#settings = settings;
    this.#id = options.arguments["publication-id"] ?? uuidv7();
    this.#log = new HttpLogService(settings.platform.logService, {
      timer: this.#timer,
    });
    this.#journal = this.#createJournal(options.region);
  }

  async run(
    content: Parameters<Publisher["publish"]>[0],
  ): Promise<number> {
    this.#journal.start();
    const exitCode = await this.#publish(content);
    this.#journal.stop();
    this.#log.close();
    this.#peers.close();
    return exitCode;
  }

  async #publish(
    content: Parameters<Publisher["publish"]>[0],
  ): Promise<number> {
    const timeoutMilliseconds = this.#arguments["wait-seconds"] * 1000;
    if (!await this.#waitUntilCaughtUp(timeoutMilliseconds)) {
      this.#printResult(
        { outcome: "not_made" },
        "Cannot read the stream from the log service",
      );
      return EXIT_CODE_FAILURE;
    }
    const base = this.#resolveBase();
    if (base === undefined) return this.#reportMissingBase();
    this.#printProgress(`Publishing ${this.#id} on version ${base}`);
    const publisher = new Publisher({
      journal: this.#journal,
      fold: this.#fold,
      timer: this.#timer,
      verdictMilliseconds: timeoutMilliseconds,
    });
    const published = await publisher.publish(content, {
      publicationId: this.#id,
      base,
      publisher: this.#arguments.publisher ?? process.env.USER,
    });
    if (published.isErr()) return this.#reportFailure(published.error);
    return await this.#waitUntilInForce(published.value.version);
  }

  /**
   * The version that the files are based on; undefined if it must be given. If
   * it defaulted to the version in force, an operator with an outdated file
   * would silently revert what another one has published meanwhile.
   */
  #resolveBase(): number | undefined {
    const { base } = this.#arguments;
    const { version } = this.#fold;
    if (base === "latest") return version;
    if (base !== undefined) return Number(base);
    const hasOutcome = this.#fold.outcome(this.#id) !== undefined;
    return version === 0 || hasOutcome ? version : undefined;
  }

  #reportMissingBase(): number {
    const { version } = this.#fold;
    this.#printResult(
      { outcome: "not_made", version },
      `Version ${version} is in force. Pass --base ${version} if the files are based on it, or --base latest to replace the current version`,
    );
    return EXIT_CODE_INVALID_INPUT;
  }

  #reportFailure(error: PublicationFailure): number {
    const isUnknown = error.name === "publication_unknown";
    const text = isUnknown
      ? `${error.message}\n${error.hint}: --publication-id ${this.#id}`
      : `${error.message}\n${error.hint}`;
    const version = this.#fold.version;
    this.#printResult(
      { outcome: error.name, reason: error.message, version },
      text,
    );
    return isUnknown ? EXIT_CODE_OUTCOME_UNKNOWN : EXIT_CODE_FAILURE;
  }

  /** Polls the entries until all processes have confirmed the version. */
  async #waitUntilInForce(version: number): Promise<number> {
    const deadline = this.#timer.now() + this.#arguments["wait-seconds"] * 1000;
    const addresses = this.#settings.entries.map((each) =>
      identifier<Parameters<HttpPeerClient["status"]>[0]>(each)
    );
    this.#printProgress(`Accepted as version ${version}`);
    let lastProgress = "";
    for (;;) {
      const fleet = await queryFleet(this.#peers, addresses);
      const { have, all, missing } = countInForce(fleet, version);
      const result = { outcome: "accepted", version, have, all, missing };
      const line = `In force in ${have} of ${all} processes`;
      if (have === all && all > 0) {
        this.#printResult(result, line);
        return EXIT_CODE_SUCCESS;
      }
      if (this.#timer.now() >= deadline) {
        this.#printResult(result, `${line}; not in ${missing.join(", ")}`);
        return EXIT_CODE_ROLLOUT_INCOMPLETE;
      }
      if (line !== lastProgress) this.#printProgress(line);
      lastProgress = line;
      await this.#sleep();
    }
  }

  async #waitUntilCaughtUp(milliseconds: number): Promise<boolean> {
    const deadline = this.#timer.now() + milliseconds;
    while (!this.#journal.caughtUp) {
      if (this.#timer.now() >= deadline) return false;
      await this.#sleep();
    }
    return true;
  }

  #sleep(): Promise<void> {
    return new Promise((resolve) => {
      this.#timer.after(POLL_INTERVAL_MILLISECONDS, resolve);
    });
  }

  #createJournal(region: string): Journal {
    return new Journal({
      log: this.#log,
      stream: identifier(`configuration.${region}`),
      fold: this.#fold,
      timer: this.#timer,
      random: systemRandom,
      writer: identifier(`operator-${this.#id}`),
      incarnation: newIncarnation(),
      appendDelayMilliseconds: 0,
      checkpointRecords: UNLIMITED_CHECKPOINT_RECORDS,
      writesCheckpoints: false,
    });
  }

  /** Prints progress, unless JSON output is selected. */
  #printProgress(line: string): void {
    if (!this.#arguments.json) process.stdout.write(`${line}\n`);
  }

  #printResult(facts: Record<string, unknown>, text: string): void {
    const line = this.#arguments.json
      ? JSON.stringify({ publicationId: this.#id, ...facts })
      : text;
    process.stdout.write(`${line}\n`);
  }
}
