import { err, ok } from "neverthrow";
import {
  positionOf,
  type StoreFailure,
  type UsageClaim,
  type UsageReport,
} from "../../src/core/forwarding/mod.ts";
import { type ManualTimerService, pause } from "../../src/core/time/mod.ts";
import type {
  ReportOutcome,
  UsageLink,
} from "../../src/entry/forwarding/mod.ts";

const UNAVAILABLE: StoreFailure = {
  name: "store_unavailable",
  title: "",
  message: "",
  hint: "",
};

/** How soon a thawed entry goes on. */
const THAW_MILLISECONDS = 50;

export interface TakenReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
  readonly holder: string;
  readonly fencing: number;
  readonly at: number;
}

/** The store's log of claims and the receiver of reports, as all entries see them. */
export class UsagePlatform {
  readonly claims: UsageClaim[] = [];
  /** Reports that were accepted, repeats too. */
  readonly taken: TakenReport[] = [];
  /** What the receiver answers while it is not well. */
  failsWith: ReportOutcome | undefined;
  /** Reports take effect, and their answers are lost. */
  losesAnswers = false;
  /** Answers of the store come so late. */
  storeMilliseconds = 0;
  /** Reports get no answer and take effect so much later; 0: at once. */
  lateMilliseconds = 0;
  /** True: higher fencing tokens than the call's are not looked at. */
  checksNoFencing = false;
  readonly #timer: ManualTimerService;
  #highest = -1;
  #epoch = 0;

  constructor(timer: ManualTimerService) {
    this.#timer = timer;
  }

  /** The store comes back from a copy without the newest claims. */
  restore({ lost }: { readonly lost: number }): void {
    this.claims.length = Math.max(0, this.claims.length - lost);
    this.#epoch += 1;
  }

  #positionOf(offset: number): number {
    return positionOf({ epoch: this.#epoch, offset });
  }

  /**
   * The platform as one entry reaches it: not at all while it is cut off, and
   * with answers that it takes up only once it is thawed.
   */
  linkOf(
    { isCut, isFrozen }: {
      readonly isCut: () => boolean;
      readonly isFrozen: () => boolean;
    },
  ): UsageLink {
    const thaw = async () => {
      while (isFrozen()) await this.#wait(THAW_MILLISECONDS);
    };
    return {
      readClaim: async () => {
        if (isCut()) return err(UNAVAILABLE);
        const newest = this.claims.at(-1);
        const offset = this.#positionOf(this.claims.length - 1);
        const claim = newest && { ...newest, offset };
        const end = this.#positionOf(this.claims.length);
        await this.#wait(this.storeMilliseconds);
        await thaw();
        return ok({ claim, end });
      },
      appendClaim: async (claim, at) => {
        if (isCut()) return err(UNAVAILABLE);
        if (at !== this.#positionOf(this.claims.length)) return ok(undefined);
        this.claims.push({ ...claim, offset: at });
        await this.#wait(this.storeMilliseconds);
        await thaw();
        return ok(at);
      },
      report: async (report, options) => {
        if (isCut()) return "unknown";
        if (this.failsWith) return this.failsWith;
        if (this.lateMilliseconds === 0) return this.#take(report, options);
        void this.#wait(this.lateMilliseconds)
          .then(() => this.#take(report, options));
        return await Promise.resolve("unknown");
      },
    };
  }

  async #wait(milliseconds: number): Promise<void> {
    if (milliseconds > 0) await pause(this.#timer, milliseconds);
  }

  #take(
    { counts, window }: UsageReport,
    { fencing, holder }: { readonly fencing: number; readonly holder: string },
  ): ReportOutcome {
    if (!this.checksNoFencing && fencing < this.#highest) return "refused";
    this.#highest = Math.max(this.#highest, fencing);
    this.taken.push({
      window,
      counts: Object.fromEntries(counts),
      holder,
      fencing,
      at: this.#timer.now(),
    });
    return this.losesAnswers ? "unknown" : "accepted";
  }

  /** Windows that were reported, each with its counts. */
  get reported(): ReadonlyMap<number, Readonly<Record<string, number>>> {
    return new Map(this.taken.map(({ window, counts }) => [window, counts]));
  }

  /** What breaks the rules on calls of one holder at a time. */
  violations(leaseMilliseconds: number): string[] {
    return [
      ...this.#differingRepeats(),
      ...this.#sharedTokens(),
      ...this.#fallingTokens(),
      ...this.#alternatingHolders(leaseMilliseconds),
    ];
  }

  #differingRepeats(): string[] {
    const first = new Map<number, string>();
    return this.taken.flatMap(({ counts, window }) => {
      const text = JSON.stringify(counts);
      const known = first.get(window) ?? text;
      first.set(window, known);
      return known === text ? [] : [`window ${window}: ${known}, then ${text}`];
    });
  }

  #sharedTokens(): string[] {
    const holders = new Map<number, string>();
    return this.taken.flatMap(({ fencing, holder }) => {
      const known = holders.get(fencing) ?? holder;
      holders.set(fencing, known);
      return known === holder ? [] : [`token ${fencing}: ${known}, ${holder}`];
    });
  }

  #fallingTokens(): string[] {
    return this.taken.flatMap(({ fencing }, index) => {
      const before = this.taken[index - 1]?.fencing ?? -1;
      return fencing >= before ? [] : [`token ${fencing} after ${before}`];
    });
  }

  #alternatingHolders(lease: number): string[] {
    return this.taken.flatMap((call, index) => {
      const other = this.taken.slice(0, index)
        .findLast(({ holder }) => holder !== call.holder);
      if (other === undefined) return [];
      const earlier = this.taken.slice(0, this.taken.indexOf(other))
        .findLast(({ holder }) => holder === call.holder);
      const span = earlier === undefined ? Infinity : call.at - earlier.at;
      return span >= lease
        ? []
        : [`${call.holder}, ${other.holder}, ${call.holder} in ${span} ms`];
    });
  }
}
