import type {
  NotRunFrame,
  OnceAnswer,
  OncePermit,
  OnceQuestion,
} from "../../generated/messages.ts";

/** The endpoint's answer, stored for repeated requests. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType?: string;
  readonly body: string;
}

interface RecordState {
  readonly key: string;
  readonly state: "barred" | "running" | "answered" | "failed";
  readonly answer?: StoredAnswer;
  /** Memory accounted for the answer, bytes. */
  readonly size: number;
}

/**
 * Memory limits of the table. One endpoint runs some tens of non-idempotent
 * calls per second, and the side has 128 MB on its VM. 20,000 records of
 * about 200 bytes are 4 MB and last for minutes at that rate; 16 MB of answers
 * hold 4,000 of 4 kB. One answer above 1 MB would evict hundreds of others, so
 * it is returned once and not stored.
 */
const MAX_RECORDS = 20_000;
const MAX_STORED_ANSWERS = 4_000;
const MAX_STORED_ANSWER_BYTES = 16 * 1024 * 1024;
const MAX_BYTES_PER_ANSWER = 1024 * 1024;

/** Checks that a test can disable; production code leaves all enabled. */
export interface SideOnceTableGuards {
  readonly bars: boolean;
  readonly checksIncarnation: boolean;
  readonly remembersRuns: boolean;
}

export interface SideOnceTableOptions {
  readonly incarnation: string;
  readonly mostKeptAnswers?: number;
  readonly mostKeptAnswerBytes?: number;
  readonly maxBytesPerAnswer?: number;
  /** Records whose state is stored, with or without an answer. */
  readonly maxRecords?: number;
  /** Called when a record is barred permanently. */
  readonly onBarred?: (key: string, record: number) => void;
  readonly guards?: Partial<SideOnceTableGuards>;
}

/**
 * State of each record of the `once` stream in one incarnation of a side.
 * Each record runs at most once, and only in the incarnation that it names.
 * Answering a query and barring the record on its request are one atomic step.
 *
 * Memory is bounded. Offsets only increase, so an unknown record at or below
 * the highest evicted offset may have run. It is never run again, and a query
 * about it returns `failed` (may have run), never `barred` or `not_seen`.
 */
export class SideOnceTable {
  readonly #incarnation: string;
  readonly #maxRecords: number;
  readonly #maxAnswers: number;
  readonly #maxAnswerBytes: number;
  readonly #maxBytesPerAnswer: number;
  readonly #guards: SideOnceTableGuards;
  readonly #onBarred: (key: string, record: number) => void;
  readonly #records = new Map<number, RecordState>();
  /**
   * The record that has run each key here; the key runs for no other record.
   */
  readonly #recordsByRunKey = new Map<string, number>();
  /** Records with a stored answer, oldest answer first. */
  readonly #answers = new Set<number>();
  #answerBytes = 0;
  #highestEvicted = -1;

  constructor(options: SideOnceTableOptions) {
    this.#incarnation = options.incarnation;
    this.#maxRecords = options.maxRecords ?? MAX_RECORDS;
    this.#maxAnswers = options.mostKeptAnswers ?? MAX_STORED_ANSWERS;
    this.#maxAnswerBytes = options.mostKeptAnswerBytes ??
      MAX_STORED_ANSWER_BYTES;
    this.#maxBytesPerAnswer = options.maxBytesPerAnswer ??
      MAX_BYTES_PER_ANSWER;
    this.#onBarred = options.onBarred ?? (() => {});
    this.#guards = {
      bars: true,
      checksIncarnation: true,
      remembersRuns: true,
      ...options.guards,
    };
  }

  get size(): number {
    return this.#records.size;
  }

  get answerBytes(): number {
    return this.#answerBytes;
  }

  /**
   * Called right before the work is sent to the endpoint. `run`: send it now.
   * `already`: a repeat of a record that has run or may have, so the reply must
   * not be "not run". A reason: it has not run here and never will.
   * `wrong_incarnation` applies to this incarnation alone: an earlier copy of
   * the message may have reached the previous one.
   */
  begin(permit: OncePermit): "run" | NotRunFrame["reason"] | "already" {
    if (this.#isOtherRun(permit.sideIncarnation)) return "wrong_incarnation";
    const known = this.#records.get(permit.record);
    if (known !== undefined && this.#guards.remembersRuns) {
      return known.state === "barred" ? "barred" : "already";
    }
    if (permit.record <= this.#highestEvicted) return "already";
    if (this.#hasRun(permit.key)) {
      this.#bar(permit.key, permit.record);
      return "barred";
    }
    this.#set(permit.record, { key: permit.key, state: "running", size: 0 });
    this.#recordsByRunKey.set(permit.key, permit.record);
    return "run";
  }

  /**
   * Called before the side replies "not run" for a reason of its own, such
   * as draining. True: the record is now barred, so the reply is correct.
   * False: another copy of the message may have run it, so the reply would be
   * wrong.
   */
  refuse(permit: OncePermit): boolean {
    if (this.#isOtherRun(permit.sideIncarnation)) return false;
    const known = this.#records.get(permit.record);
    if (known !== undefined) return known.state === "barred";
    if (permit.record <= this.#highestEvicted) return false;
    this.#bar(permit.key, permit.record);
    return true;
  }

  /**
   * Records the end of the call; an undefined answer means an unknown outcome.
   */
  finish(permit: OncePermit, answer: StoredAnswer | undefined): void {
    const known = this.#records.get(permit.record);
    if (known === undefined || known.state !== "running") return;
    if (answer === undefined) {
      this.#set(permit.record, { key: known.key, state: "failed", size: 0 });
      return;
    }
    const size = 2 * answer.body.length;
    const isStored = size <= this.#maxBytesPerAnswer;
    this.#set(permit.record, {
      key: known.key,
      state: "answered",
      answer: isStored ? answer : undefined,
      size: isStored ? size : 0,
    });
    if (!isStored) return;
    this.#answers.add(permit.record);
    this.#answerBytes += size;
    this.#evictAnswers();
  }

  /**
   * The endpoint rejected the work before it started, for example with a
   * refused connection: the record is barred, and "not run" is correct.
   */
  turnedDown(permit: OncePermit): void {
    const known = this.#records.get(permit.record);
    if (known === undefined || known.state !== "running") return;
    this.#recordsByRunKey.delete(known.key);
    this.#bar(known.key, permit.record);
  }

  /** State of a record; with `bar`, a record that has not run never will. */
  ask(question: OnceQuestion): OnceAnswer {
    if (this.#isOtherRun(question.sideIncarnation)) {
      return { state: "other_incarnation" };
    }
    const known = this.#records.get(question.record);
    if (known !== undefined) {
      return { state: known.state, ...known.answer };
    }
    if (question.record <= this.#highestEvicted) return { state: "failed" };
    if (!question.bar) return { state: "not_seen" };
    this.#bar(question.key, question.record);
    return { state: "barred" };
  }

  /**
   * A restarted side has no state of its predecessor. Without this check, a
   * delayed message runs the predecessor's record a second time, such as a case
   * number issued twice.
   */
  #isOtherRun(incarnation: string): boolean {
    return this.#guards.checksIncarnation && incarnation !== this.#incarnation;
  }

  /**
   * A takeover is valid only after a bar, so a second record for a key that has
   * run here can only come from an entry that violated the protocol.
   */
  #hasRun(key: string): boolean {
    return this.#guards.remembersRuns && this.#recordsByRunKey.has(key);
  }

  #bar(key: string, record: number): void {
    if (this.#guards.bars) {
      this.#set(record, { key, state: "barred", size: 0 });
    }
    this.#onBarred(key, record);
  }

  #set(record: number, state: RecordState): void {
    this.#records.set(record, state);
    if (this.#records.size > this.#maxRecords) this.#evictRecords();
  }

  /**
   * Evicts bodies before records: without the body, a repeated request still
   * learns that the call ran.
   */
  #evictAnswers(): void {
    for (const record of this.#answers) {
      const fits = this.#answerBytes <= this.#maxAnswerBytes &&
        this.#answers.size <= this.#maxAnswers;
      if (fits) return;
      const known = this.#records.get(record);
      this.#answers.delete(record);
      if (known === undefined) continue;
      this.#answerBytes -= known.size;
      this.#records.set(record, { key: known.key, state: "answered", size: 0 });
    }
  }

  /**
   * Evicts a tenth of the records at a time, lowest offsets first: the highest
   * evicted offset stays as low as possible, and one sort serves many records.
   * Running records stay, since their answer is still to come.
   */
  #evictRecords(): void {
    const count = Math.ceil(this.#maxRecords / 10);
    const evictable = [...this.#records.entries()]
      .filter(([, known]) => known.state !== "running")
      .sort(([one], [other]) => one - other)
      .slice(0, count);
    for (const [record, known] of evictable) {
      this.#records.delete(record);
      if (this.#answers.delete(record)) this.#answerBytes -= known.size;
      if (this.#recordsByRunKey.get(known.key) === record) {
        this.#recordsByRunKey.delete(known.key);
      }
      this.#highestEvicted = Math.max(this.#highestEvicted, record);
    }
  }
}
