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

/** A publication that waits for its verdict. */
export interface PendingPublication {
  readonly offset: number;
  readonly publicationId: string;
  readonly base: number;
  readonly publisher: string;
  readonly content: Readonly<Record<string, unknown>>;
}

/** What became of a publication. */
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
  /** Publication whose version was in force instead, where one beat it. */
  readonly beatenBy?: {
    readonly publicationId: string;
    readonly publisher: string;
  };
}

/** Guards that a test may take out; the product never passes them. */
export interface ConfigurationGuards {
  /** A claim counts only if it replaces the one in force. */
  readonly replacesInForce: boolean;
  /** A verdict counts only under the claim in force. */
  readonly checksClaim: boolean;
  /** A publication comes into force only on the version that it replaces. */
  readonly checksBase: boolean;
  /** A publication that stands again does not count again. */
  readonly dropsRepeats: boolean;
}

export interface ConfigurationFoldOptions {
  readonly guards?: Partial<ConfigurationGuards>;
}

interface InForce {
  readonly version: number;
  readonly publicationId: string;
  readonly publisher: string;
  readonly content: Readonly<Record<string, unknown>>;
}

/**
 * Publications that may wait. Load: 7,300 changes a day are one in 12 s; a
 * judge that takes over after 9 s finds a handful. Harm prevented: a tool that
 * appends without end fills every process's memory. What stands behind the
 * limit is void for every reader alike.
 */
export const MOST_PENDING_PUBLICATIONS = 64;
/**
 * Outcomes that are kept, so that an operator whose answer was lost finds out
 * what happened: at 660 changes a day in a region, most of a working day.
 */
export const MOST_KEPT_OUTCOMES = 256;

/**
 * The configuration of one region by its stream. A publication comes into
 * force by the first verdict on it that stands under the claim in force, and only
 * if its base is the version in force at that place.
 *
 * What goes wrong otherwise: if every reader judged content by itself, readers
 * of two software versions would accept different publications, have
 * different bases from then on, and never agree again. Here the content plays
 * no part in acceptance; a reader that can't apply what was accepted keeps
 * the last content that it could and says so in `unapplied`.
 */
export class ConfigurationFold implements StreamFold {
  readonly #guards: ConfigurationGuards;
  readonly #listeners = new Set<() => void>();
  #claim: Claim | undefined;
  #lastSign = -1;
  #inForce: InForce | undefined;
  #pending = new Map<number, PendingPublication>();
  #outcomes: PublicationOutcome[] = [];
  #applied: ConfigurationContent | undefined;
  #appliedVersion = 0;
  #unapplied: readonly ConfigurationProblem[] = [];

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
    return numbered(this.#inForce?.version ?? 0);
  }

  /** Whether a publication made on this version could be accepted now. */
  fits(base: number): boolean {
    return base === this.version || !this.#guards.checksBase;
  }

  /** Version whose content this process follows; below `version` where it
   * can't apply what is in force. */
  get appliedVersion(): ConfigurationVersion {
    return numbered(this.#appliedVersion);
  }

  get inventory(): Inventory | undefined {
    return this.#applied?.inventory;
  }

  get rules(): Rules | undefined {
    return this.#applied?.rules;
  }

  /** Why the version in force can't be applied here; empty where it is. */
  get unapplied(): readonly ConfigurationProblem[] {
    return this.#unapplied;
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

  /** What became of the last publications, oldest first. */
  get history(): readonly PublicationOutcome[] {
    return this.#outcomes;
  }

  /** What became of a publication; nothing while it waits or is not known. */
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
      inForce: this.#inForce ?? null,
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
    this.#inForce = (state.inForce ?? undefined) as InForce | undefined;
    if (this.version !== before) this.#putInForce();
  }

  #addPublication(offset: number, record: PublicationRecord): void {
    const { publicationId, base, content } = record;
    const isRepeat = this.outcome(publicationId) !== undefined ||
      this.pending.some((other) => other.publicationId === publicationId);
    // A base at or above the publication's own place is no version that its
    // publisher can have seen; it must not match one that comes later.
    if (isRepeat && this.#guards.dropsRepeats) return;
    if (base > offset) return;
    if (this.#pending.size >= MOST_PENDING_PUBLICATIONS) return;
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
    const fits = this.fits(publication.base);
    const accepted = record.accepted && fits;
    const beaten = fits ? undefined : this.#inForce;
    if (accepted) this.#accept(offset, publication);
    this.#keepOutcome(publication, {
      accepted,
      reasons: fits ? record.reasons ?? [] : [
        `it replaces version ${publication.base}, in force is ${this.version}`,
      ],
      beaten,
    });
    if (accepted) this.#putInForce();
  }

  #accept(offset: number, publication: PendingPublication): void {
    const { publicationId, publisher, content } = publication;
    this.#inForce = { version: offset + 1, publicationId, publisher, content };
  }

  #keepOutcome(
    publication: PendingPublication,
    options: {
      accepted: boolean;
      reasons: readonly string[];
      beaten: InForce | undefined;
    },
  ): void {
    const { publicationId, publisher, offset, base } = publication;
    const { accepted, reasons, beaten } = options;
    this.#outcomes.push({
      publicationId,
      publisher,
      offset,
      base,
      accepted,
      reasons,
      version: this.version,
      ...(beaten === undefined ? {} : {
        beatenBy: {
          publicationId: beaten.publicationId,
          publisher: beaten.publisher,
        },
      }),
    });
    if (this.#outcomes.length > MOST_KEPT_OUTCOMES) this.#outcomes.shift();
  }

  #putInForce(): void {
    const content = this.#inForce?.content;
    this.#unapplied = content === undefined ? [] : checkConfiguration(content);
    if (this.#unapplied.length === 0 && content !== undefined) {
      this.#applied = content as unknown as ConfigurationContent;
      this.#appliedVersion = this.version;
    }
    for (const listener of [...this.#listeners]) listener();
  }
}
