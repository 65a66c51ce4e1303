import { err, ok, type Result } from "neverthrow";
import { failure } from "../errors/mod.ts";
import type { Journal } from "../journal/mod.ts";
import { sleep, type TimerService } from "../time/mod.ts";
import type { ConfigurationContent } from "./check.ts";
import type {
  ConfigurationFold,
  PublicationOutcome,
} from "./configuration_fold.ts";
import {
  PUBLICATION_NOT_MADE,
  PUBLICATION_REJECTED,
  PUBLICATION_UNKNOWN,
  type PublicationFailure,
} from "./errors.ts";

export interface PublisherOptions {
  readonly journal: Journal;
  readonly fold: ConfigurationFold;
  readonly timer: TimerService;
  /** How long to wait for the stream to be read, and then for the verdict. */
  readonly verdictMilliseconds: number;
}

export interface PublicationOptions {
  /**
   * Idempotency id, chosen once per change; a repeated publication with it has
   * no further effect.
   */
  readonly publicationId: string;
  /** Version that the change is based on. */
  readonly base: number;
  readonly publisher?: string;
}

const POLL_INTERVAL_MILLISECONDS = 50;

/** Publishes a configuration for an operator and waits for its outcome. */
export class Publisher {
  readonly #options: PublisherOptions;

  constructor(options: PublisherOptions) {
    this.#options = options;
  }

  /**
   * Appends the publication, unless an earlier attempt whose answer was lost
   * has done so, and waits for its verdict. Returns the outcome if it is
   * accepted.
   */
  async publish(
    content: ConfigurationContent,
    options: PublicationOptions,
  ): Promise<Result<PublicationOutcome, PublicationFailure>> {
    const { publicationId } = options;
    if (!await this.#waitUntil(() => this.#options.journal.caughtUp)) {
      const reason = "the configuration stream could not be read";
      return err(failure(PUBLICATION_UNKNOWN, { publicationId, reason }));
    }
    if (!this.#isKnown(publicationId)) {
      const appendFailure = await this.#append(content, options);
      if (appendFailure !== undefined) return err(appendFailure);
    }
    return this.#awaitVerdict(publicationId);
  }

  async #append(
    content: ConfigurationContent,
    options: PublicationOptions,
  ): Promise<PublicationFailure | undefined> {
    const { publicationId } = options;
    const result = await this.#options.journal.append({
      kind: "publication",
      publicationId,
      base: options.base,
      publisher: options.publisher ?? "",
      content: { ...content },
    });
    if (this.#isKnown(publicationId)) return undefined;
    if (result.isOk()) {
      const reasons = [
        "too many publications are pending, or its base is not an existing version",
      ];
      return failure(PUBLICATION_REJECTED, { publicationId, reasons });
    }
    const definition = result.error.name === "append_not_made"
      ? PUBLICATION_NOT_MADE
      : PUBLICATION_UNKNOWN;
    const reason = result.error.message;
    return failure(definition, { publicationId, reason });
  }

  async #awaitVerdict(
    publicationId: string,
  ): Promise<Result<PublicationOutcome, PublicationFailure>> {
    const { fold } = this.#options;
    await this.#waitUntil(() => fold.outcome(publicationId) !== undefined);
    const outcome = fold.outcome(publicationId);
    if (outcome?.accepted) return ok(outcome);
    if (outcome !== undefined) {
      const reasons = rejectionReasons(outcome);
      return err(failure(PUBLICATION_REJECTED, { publicationId, reasons }));
    }
    const reason = "no verdict before the timeout";
    return err(failure(PUBLICATION_UNKNOWN, { publicationId, reason }));
  }

  #isKnown(publicationId: string): boolean {
    const { fold } = this.#options;
    return fold.outcome(publicationId) !== undefined ||
      fold.pending.some((other) => other.publicationId === publicationId);
  }

  async #waitUntil(condition: () => boolean): Promise<boolean> {
    const { timer, verdictMilliseconds } = this.#options;
    const deadline = timer.now() + verdictMilliseconds;
    while (!condition()) {
      if (timer.now() >= deadline) return false;
      await sleep(timer, POLL_INTERVAL_MILLISECONDS);
    }
    return true;
  }
}

/** Reasons of a rejection, including the conflicting publication. */
function rejectionReasons(outcome: PublicationOutcome): readonly string[] {
  const { beatenBy, reasons } = outcome;
  if (beatenBy === undefined) return reasons;
  const by = beatenBy.publisher === "" ? "" : ` by ${beatenBy.publisher}`;
  return [
    ...reasons,
    `publication "${beatenBy.publicationId}"${by} came first`,
  ];
}
