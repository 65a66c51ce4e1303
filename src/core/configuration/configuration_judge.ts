import type { Journal } from "../journal/mod.ts";
import { checkConfiguration } from "./check.ts";
import type { ConfigurationProblem } from "./problem.ts";
import type {
  ConfigurationFold,
  PendingPublication,
} from "./configuration_fold.ts";

export interface ConfigurationJudgeOptions {
  readonly journal: Journal;
  readonly fold: ConfigurationFold;
  /** Offset of the claim that this process holds on the stream, if it does. */
  readonly heldClaim: () => number | undefined;
  readonly check?: (content: unknown) => readonly ConfigurationProblem[];
}

/** Reasons in one verdict; further ones help nobody and make it long. */
const MOST_REASONS = 20;

/**
 * Judges publications while its process holds the claim, one after another,
 * so that each is held against the version that the former verdict left.
 * A verdict from a process that has lost the claim is void by position.
 */
export class ConfigurationJudge {
  readonly #options: ConfigurationJudgeOptions;
  #judging = false;

  constructor(options: ConfigurationJudgeOptions) {
    this.#options = options;
  }

  /** Call after each record of the stream and now and then besides. */
  consider(): void {
    if (!this.#judging) void this.#judgeAll();
  }

  async #judgeAll(): Promise<void> {
    this.#judging = true;
    for (;;) {
      const claim = this.#options.heldClaim();
      const [publication] = this.#options.fold.pending;
      if (claim === undefined || publication === undefined) break;
      if (!await this.#judge(publication, claim)) break;
    }
    this.#judging = false;
  }

  async #judge(
    publication: PendingPublication,
    claim: number,
  ): Promise<boolean> {
    const reasons = this.#reasonsAgainst(publication);
    const result = await this.#options.journal.append({
      kind: "verdict",
      claim,
      publication: publication.offset,
      accepted: reasons.length === 0,
      reasons,
    });
    return result.isOk();
  }

  #reasonsAgainst(publication: PendingPublication): string[] {
    const { fold } = this.#options;
    const { version } = fold;
    if (!fold.fits(publication.base)) {
      return [
        `it replaces version ${publication.base}, in force is ${version}`,
      ];
    }
    const check = this.#options.check ?? checkConfiguration;
    return check(publication.content).slice(0, MOST_REASONS).map((problem) =>
      `${problem.path}: found ${problem.found}, expected ${problem.expected}`
    );
  }
}
