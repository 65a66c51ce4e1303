import { err, ok } from "neverthrow";
import {
  encodePosition,
  type StoreFailure,
  type UsageClaim,
  type UsageReport,
} from "../../src/core/forwarding/mod.ts";
import { type ManualTimerService, sleep } from "../../src/core/time/mod.ts";
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

/** Interval at which a suspended entry checks whether it is resumed. */
const SUSPENDED_POLL_MILLISECONDS = 50;

export interface AcceptedReport {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
  readonly holder: string;
  readonly fencing: number;
  readonly at: number;
}

/**
 * The store's log of claims and the receiver of usage reports, shared by all
 * entries.
 */
export class UsagePlatform {
  readonly claims: UsageClaim[] = [];
  /** Accepted reports, including repeats. */
  readonly taken: AcceptedReport[] = [];
  /** Outcome that the receiver returns for every report, if set. */
  failsWith: ReportOutcome | undefined;
  /** Whether responses to reports are lost after the reports take effect. */
  losesResponses = false;
  /** Latency of the store's responses, milliseconds. */
  storeLatencyMilliseconds = 0;
  /**
   * If above 0, reports get no response and take effect after this delay,
   * milliseconds.
   */
  lateMilliseconds = 0;
  /** Whether the receiver accepts reports whose fencing token is outdated. */
  ignoresFencing = false;
  readonly #timer: ManualTimerService;
  #maxFencing = -1;
  #epoch = 0;

  constructor(timer: ManualTimerService) {
    this.#timer = timer;
  }

  /** Restores the store from a backup that lacks the newest `lost` claims. */
  restore({ lost }: { readonly lost: number }): void {
    this.claims.length = Math.max(0, this.claims.length - lost);
    this.#epoch += 1;
  }

  #positionOf(offset: number): number {
    return encodePosition({ epoch: this.#epoch, offset });
  }

  /**
   * The platform as seen by one entry. Calls fail while the entry is
   * partitioned, and their responses arrive only once the entry is not
   * suspended.
   */
  linkFor(
    { isPartitioned, isSuspended }: {
      readonly isPartitioned: () => boolean;
      readonly isSuspended: () => boolean;
    },
  ): UsageLink {
    const waitUntilResumed = async () => {
      while (isSuspended()) await this.#sleep(SUSPENDED_POLL_MILLISECONDS);
    };
    return {
      readClaim: async () => {
        if (isPartitioned()) return err(UNAVAILABLE);
        const newest = this.claims.at(-1);
        const offset = this.#positionOf(this.claims.length - 1);
        const claim = newest && { ...newest, offset };
        const end = this.#positionOf(this.claims.length);
        await this.#sleep(this.storeLatencyMilliseconds);
        await waitUntilResumed();
        return ok({ claim, end });
      },
      appendClaim: async (claim, at) => {
        if (isPartitioned()) return err(UNAVAILABLE);
        if (at !== this.#positionOf(this.claims.length)) return ok(undefined);
        this.claims.push({ ...claim, offset: at });
        await this.#sleep(this.storeLatencyMilliseconds);
        await waitUntilResumed();
        return ok(at);
      },
      report: async (report, options) => {
        if (isPartitioned()) return "unknown";
        if (this.failsWith) return this.failsWith;
        if (this.lateMilliseconds === 0) return this.#receive(report, options);
        void this.#sleep(this.lateMilliseconds)
          .then(() => this.#receive(report, options));
        return await Promise.resolve("unknown");
      },
    };
  }

  async #sleep(milliseconds: number): Promise<void> {
    if (milliseconds > 0) await sleep(this.#timer, milliseconds);
  }

  #receive(
    { counts, window }: UsageReport,
    { fencing, holder }: { readonly fencing: number; readonly holder: string },
  ): ReportOutcome {
    if (!this.ignoresFencing && fencing < this.#maxFencing) return "refused";
    this.#maxFencing = Math.max(this.#maxFencing, fencing);
    this.taken.push({
      window,
      counts: Object.fromEntries(counts),
      holder,
      fencing,
      at: this.#timer.now(),
    });
    return this.losesResponses ? "unknown" : "accepted";
  }

  /** Counts of the reported windows, by window. */
  get reported(): ReadonlyMap<number, Readonly<Record<string, number>>> {
    return new Map(this.taken.map(({ window, counts }) => [window, counts]));
  }

  /** Violations of the rule that one holder at a time sends reports. */
  violations(leaseMilliseconds: number): string[] {
    return [
      ...this.#inconsistentRepeats(),
      ...this.#sharedTokens(),
      ...this.#decreasingTokens(),
      ...this.#alternatingHolders(leaseMilliseconds),
    ];
  }

  #inconsistentRepeats(): string[] {
    const first = new Map<number, string>();
    return this.taken.flatMap(({ counts, window }) => {
      const text = JSON.stringify(counts);
      const firstCounts = first.get(window) ?? text;
      first.set(window, firstCounts);
      return firstCounts === text
        ? []
        : [`window ${window}: ${firstCounts}, then ${text}`];
    });
  }

  #sharedTokens(): string[] {
    const holders = new Map<number, string>();
    return this.taken.flatMap(({ fencing, holder }) => {
      const firstHolder = holders.get(fencing) ?? holder;
      holders.set(fencing, firstHolder);
      return firstHolder === holder
        ? []
        : [`token ${fencing}: ${firstHolder}, ${holder}`];
    });
  }

  #decreasingTokens(): string[] {
    return this.taken.flatMap(({ fencing }, index) => {
      const before = this.taken[index - 1]?.fencing ?? -1;
      return fencing >= before ? [] : [`token ${fencing} after ${before}`];
    });
  }

  #alternatingHolders(leaseMilliseconds: number): string[] {
    return this.taken.flatMap((report, index) => {
      const other = this.taken.slice(0, index)
        .findLast(({ holder }) => holder !== report.holder);
      if (other === undefined) return [];
      const earlier = this.taken.slice(0, this.taken.indexOf(other))
        .findLast(({ holder }) => holder === report.holder);
      const span = earlier === undefined ? Infinity : report.at - earlier.at;
      return span >= leaseMilliseconds
        ? []
        : [`${report.holder}, ${other.holder}, ${report.holder} in ${span} ms`];
    });
  }
}
