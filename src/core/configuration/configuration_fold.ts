import type { Inventory } from "../../generated/inventory.ts";
import type {
  PublicationRecord,
  RecordBody,
  VerdictRecord,
} from "../../generated/log_records.ts";
import type { Rules } from "../../generated/rules.ts";
import { type Claim, loadClaim, nextClaim } from "../authority/mod.ts";
import {
  type ConfigurationVersion,
  type LogOffset,
  numbered,
} from "../identity/mod.ts";
import type { StreamFold } from "../journal/mod.ts";
import { checkConfiguration, type ConfigurationContent } from "./check.ts";
import type { ConfigurationProblem } from "./problem.ts";

/** A publication without a verdict yet. */
export interface PendingPublication {
  readonly offset: number;
  readonly publicationId: string;
  readonly base: number;
  readonly publisher: string;
  readonly content: Readonly<Record<string, unknown>>;
}

/** Outcome of a publication that has a verdict. */
export interface PublicationOutcome {
  readonly publicationId: string;
  readonly publisher: string;
  /** Offset of the publication. */
  readonly offset: number;
  readonly base: number;
  readonly accepted: boolean;
  readonly reasons: readonly string[];
  /** Version in force after the verdict. */
  readonly version: number;
  /**
   * Publication whose version was in force instead, if the base was outdated.
   */
  readonly beatenBy?: {
    readonly publicationId: string;
    readonly publisher: string;
  };
}

/** Checks that a test can disable; production code leaves all enabled. */
export interface ConfigurationGuards {
  /** A claim is valid only if it replaces the one in force. */
  readonly replacesInForce: boolean;
  /** A verdict is valid only under the claim in force. */
  readonly checksClaim: boolean;
  /** A publication can be accepted only if its base is the version in force. */
  readonly checksBase: boolean;
  /** A repeated publication is void. */
  readonly dropsRepeats: boolean;
}

export interface ConfigurationFoldOptions {
  readonly guards?: Partial<ConfigurationGuards>;
}

interface ActiveVersion {
  readonly version: number;
  readonly publicationId: string;
  readonly publisher: string;
  readonly content: Readonly<Record<string, unknown>>;
}

/**
 * Largest number of publications without a verdict. 7,300 changes a day are one
 * in 12 s, so a validator that takes over after 9 s finds a handful. Without a
 * limit, a tool that appends continuously fills every process's memory.
 * Publications beyond the limit are void for every reader.
 */
export const MAX_PENDING_PUBLICATIONS = 64;
/**
 * Number of stored outcomes, from which an operator whose answer was lost can
 * learn the result: at 660 changes a day in a region, most of a working day.
 */
export const MAX_STORED_OUTCOMES = 256;

/**
 * Configuration of one region, computed from its stream. A publication takes
 * effect with the first verdict on it under the claim in force, and only if its
 * base is the version in force at that position.
 *
 * If every reader validated content itself, readers of two software versions
 * would accept different publications, have different bases from then on, and
 * diverge permanently. Here the content has no influence on acceptance; a
 * reader that can't apply the accepted content keeps the last content that it
 * could apply and reports the reasons in `unapplied`.
 */
export class ConfigurationFold implements StreamFold {
  readonly #guards: ConfigurationGuards;
  readonly #listeners = new Set<() => void>();
  #claim: Claim | undefined;
  #lastSign = -1;
  #active: ActiveVersion | undefined;
  #pending = new Map<number, PendingPublication>();
  #outcomes: PublicationOutcome[] = [];
  #applied: ConfigurationContent | undefined;
  #appliedVersion = 0;
  #applyProblems: readonly ConfigurationProblem[] = [];

  constructor(options: ConfigurationFoldOptions = {}) {
    this.#guards = {
      replacesInForce: true,
      checksClaim: true,
      checksBase: true,
      dropsRepeats: true,
      ...options.guards,
    };
  }

  /** Offset of the accepting verdict plus one; 0 before the first. */
  get version(): ConfigurationVersion {
    return numbered(this.#active?.version ?? 0);
  }

  /** Whether a publication made on this version could be accepted now. */
  fits(base: number): boolean {
    return base === this.version || !this.#guards.checksBase;
  }

  /**
   * Version whose content this process applies; below `version` if it can't
   * apply the version in force.
   */
  get appliedVersion(): ConfigurationVersion {
    return numbered(this.#appliedVersion);
  }

  get inventory(): Inventory | undefined {
    return this.#applied?.inventory;
  }

  get rules(): Rules | undefined {
    return this.#applied?.rules;
  }

  /**
   * Reasons that the version in force can't be applied; empty if it is applied.
   */
  get unapplied(): readonly ConfigurationProblem[] {
    return this.#applyProblems;
  }

  get claim(): Claim | undefined {
    return this.#claim;
  }

  /** Offset of the last record that the claim's holder can have written. */
  get lastSign(): number {
    return this.#lastSign;
  }

  /** Publications without a verdict, in the order of the log. */
  get pending(): readonly PendingPublication[] {
    return [...this.#pending.values()];
  }

  /** Outcomes of the last publications, oldest first. */
  get history(): readonly PublicationOutcome[] {
    return this.#outcomes;
  }

  /** Outcome of a publication; undefined while it is pending or unknown. */
  outcome(publicationId: string): PublicationOutcome | undefined {
    return this.#outcomes.findLast((outcome) =>
      outcome.publicationId === publicationId
    );
  }

  /** Calls the listener whenever a new version is in force. */
  onChange(listener: () => void): { cancel(): void } {
    this.#listeners.add(listener);
    return { cancel: () => this.#listeners.delete(listener) };
  }

  apply(offset: LogOffset, body: RecordBody): void {
    if (body.kind === "publication") this.#addPublication(offset, body);
    else if (body.kind === "verdict") this.#applyVerdict(offset, body);
    else if (body.kind === "claim") this.#applyClaim(offset, body);
    else if (body.kind === "renewal" && body.claim === this.#claim?.offset) {
      this.#lastSign = offset;
    }
  }

  save(): Record<string, unknown> {
    return {
      claim: this.#claim ?? null,
      lastSign: this.#lastSign,
      inForce: this.#active ?? null,
      pending: this.pending,
      outcomes: this.#outcomes,
    };
  }

  load(state: Record<string, unknown>): void {
    this.#claim = loadClaim(state.claim);
    this.#lastSign = typeof state.lastSign === "number" ? state.lastSign : -1;
    this.#pending = new Map(
      ((state.pending ?? []) as PendingPublication[]).map((publication) =>
        [publication.offset, publication] as const
      ),
    );
    this.#outcomes = [...(state.outcomes ?? []) as PublicationOutcome[]];
    const before = this.version;
    this.#active = (state.inForce ?? undefined) as ActiveVersion | undefined;
    if (this.version !== before) this.#applyActive();
  }

  #addPublication(offset: number, record: PublicationRecord): void {
    const { publicationId, base, content } = record;
    const isRepeat = this.outcome(publicationId) !== undefined ||
      this.pending.some((other) => other.publicationId === publicationId);
    // A base at or above the publication's own offset is no version that its
    // publisher can have seen; it must not match a later one.
    if (isRepeat && this.#guards.dropsRepeats) return;
    if (base > offset) return;
    if (this.#pending.size >= MAX_PENDING_PUBLICATIONS) return;
    const publisher = record.publisher ?? "";
    this.#pending.set(offset, {
      offset,
      publicationId,
      base,
      publisher,
      content,
    });
  }

  #applyClaim(
    offset: number,
    record: Extract<RecordBody, { kind: "claim" }>,
  ): void {
    const unchecked = !this.#guards.replacesInForce;
    const next = nextClaim(this.#claim, { offset, record, unchecked });
    if (next === this.#claim) return;
    this.#claim = next;
    this.#lastSign = offset;
  }

  #applyVerdict(offset: number, record: VerdictRecord): void {
    const isUnderClaim = record.claim === this.#claim?.offset;
    if (!isUnderClaim && this.#guards.checksClaim) return;
    this.#lastSign = offset;
    const publication = this.#pending.get(record.publication);
    if (publication === undefined) return;
    this.#pending.delete(record.publication);
    const isUpToDate = this.fits(publication.base);
    const accepted = record.accepted && isUpToDate;
    const conflicting = isUpToDate ? undefined : this.#active;
    if (accepted) this.#activate(offset, publication);
    this.#storeOutcome(publication, {
      accepted,
      reasons: isUpToDate ? record.reasons ?? [] : [
        `it replaces version ${publication.base}, in force is ${this.version}`,
      ],
      conflicting,
    });
    if (accepted) this.#applyActive();
  }

  #activate(offset: number, publication: PendingPublication): void {
    const { publicationId, publisher, content } = publication;
    this.#active = { version: offset + 1, publicationId, publisher, content };
  }

  #storeOutcome(
    publication: PendingPublication,
    options: {
      accepted: boolean;
      reasons: readonly string[];
      conflicting: ActiveVersion | undefined;
    },
  ): void {
    const { publicationId, publisher, offset, base } = publication;
    const { accepted, reasons, conflicting } = options;
    this.#outcomes.push({
      publicationId,
      publisher,
      offset,
      base,
      accepted,
      reasons,
      version: this.version,
      ...(conflicting === undefined ? {} : {
        beatenBy: {
          publicationId: conflicting.publicationId,
          publisher: conflicting.publisher,
        },
      }),
    });
    if (this.#outcomes.length > MAX_STORED_OUTCOMES) this.#outcomes.shift();
  }

  #applyActive(): void {
    const content = this.#active?.content;
    this.#applyProblems = content === undefined
      ? []
      : checkConfiguration(content);
    if (this.#applyProblems.length === 0 && content !== undefined) {
      this.#applied = content as unknown as ConfigurationContent;
      this.#appliedVersion = this.version;
    }
    for (const listener of [...this.#listeners]) listener();
  }
}
