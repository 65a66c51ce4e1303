import type { Journal } from "../journal/mod.ts";
import type { TimerService } from "../time/mod.ts";
import { checkConfiguration } from "./check.ts";
import type { ConfigurationProblem } from "./problem.ts";
import type {
  ConfigurationFold,
  PendingPublication,
} from "./configuration_fold.ts";

export interface ConfigurationJudgeOptions {
  readonly timer: TimerService;
  readonly journal: Journal;
  readonly fold: ConfigurationFold;
  /** Offset of the claim that this process holds on the stream, if it does. */
  readonly heldClaim: () => number | undefined;
  readonly check?: (content: unknown) => readonly ConfigurationProblem[];
}

/** Largest number of reasons in one verdict, which keeps the record short. */
const MAX_REASONS = 20;

/**
 * Validates publications and appends verdicts while its process holds the
 * claim, one at a time, so that each is checked against the version that the
 * previous verdict left. A verdict of a process that has lost the claim is void
 * by its position.
 */
export class ConfigurationJudge {
  readonly #options: ConfigurationJudgeOptions;
  #isProcessing = false;

  constructor(options: ConfigurationJudgeOptions) {
    this.#options = options;
  }

  /**
   * Starts processing pending publications; call it after each record of the
   * stream and periodically.
   */
  consider(): void {
    if (!this.#isProcessing) {
      this.#options.timer.run(() => this.#processPending());
    }
  }

  async #processPending(): Promise<void> {
    this.#isProcessing = true;
    for (;;) {
      const claim = this.#options.heldClaim();
      const [publication] = this.#options.fold.pending;
      if (claim === undefined || publication === undefined) break;
      if (!await this.#appendVerdict(publication, claim)) break;
    }
    this.#isProcessing = false;
  }

  async #appendVerdict(
    publication: PendingPublication,
    claim: number,
  ): Promise<boolean> {
    const reasons = this.#rejectionReasons(publication);
    const result = await this.#options.journal.append({
      kind: "verdict",
      claim,
      publication: publication.offset,
      accepted: reasons.length === 0,
      reasons,
    });
    return result.isOk();
  }

  #rejectionReasons(publication: PendingPublication): string[] {
    const { fold } = this.#options;
    const { version } = fold;
    if (!fold.fits(publication.base)) {
      return [
        `it replaces version ${publication.base}, in force is ${version}`,
      ];
    }
    const check = this.#options.check ?? checkConfiguration;
    return check(publication.content).slice(0, MAX_REASONS).map((problem) =>
      `${problem.path}: found ${problem.found}, expected ${problem.expected}`
    );
  }
}
