import type {
  NotRunFrame,
  OnceAnswer,
  OncePermit,
  OnceQuestion,
} from "../../generated/messages.ts";

/** What the endpoint answered, as it is kept for repeats. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType?: string;
  readonly body: string;
}

interface RecordState {
  readonly key: string;
  readonly state: "barred" | "running" | "answered" | "failed";
  readonly answer?: KeptAnswer;
  /** Memory that the answer is counted with, bytes. */
  readonly size: number;
}

/**
 * Load: one endpoint runs some tens of non-idempotent calls a second. Harm
 * prevented: the side lives in 128 MB beside its endpoint. Limits: 20,000
 * records of about 200 bytes are 4 MB and last for minutes at that rate;
 * 16 MB of answers keep 4,000 of 4 kB; one answer above 1 MB would push out
 * hundreds of others, so it is told once and not kept.
 */
const MOST_RECORDS = 20_000;
const MOST_KEPT_ANSWERS = 4_000;
const MOST_KEPT_ANSWER_BYTES = 16 * 1024 * 1024;
const MOST_BYTES_PER_ANSWER = 1024 * 1024;

/** Guards that a test may take out; the product never passes them. */
export interface SideOnceTableGuards {
  readonly bars: boolean;
  readonly checksIncarnation: boolean;
  readonly remembersRuns: boolean;
}

export interface SideOnceTableOptions {
  readonly incarnation: string;
  readonly mostKeptAnswers?: number;
  readonly mostKeptAnswerBytes?: number;
  readonly mostBytesPerAnswer?: number;
  /** Records whose fate is remembered, with or without an answer. */
  readonly mostRecords?: number;
  /** Told when a record is barred for good. */
  readonly onBarred?: (key: string, record: number) => void;
  readonly guards?: Partial<SideOnceTableGuards>;
}

/**
 * What one run of a side has done with each record of the `once` stream. Each
 * record runs at most once, and only in the incarnation that it names; an
 * answer to a question and the bar that it asks for are one step.
 *
 * Memory is bounded. Records that are dropped leave a floor behind: offsets
 * only rise, so a record at or below the floor that the table doesn't know
 * may be one that ran and was dropped. It is never run again, and a question
 * about it gets `failed` (may have run), never `barred` or `not_seen`.
 */
export class SideOnceTable {
  readonly #incarnation: string;
  readonly #mostRecords: number;
  readonly #mostAnswers: number;
  readonly #mostAnswerBytes: number;
  readonly #mostBytesPerAnswer: number;
  readonly #guards: SideOnceTableGuards;
  readonly #onBarred: (key: string, record: number) => void;
  readonly #records = new Map<number, RecordState>();
  /** The record under which a key has run here; the key runs under no other. */
  readonly #ranUnder = new Map<string, number>();
  /** Records with a kept answer, oldest answer first. */
  readonly #answers = new Set<number>();
  #answerBytes = 0;
  #floor = -1;

  constructor(options: SideOnceTableOptions) {
    this.#incarnation = options.incarnation;
    this.#mostRecords = options.mostRecords ?? MOST_RECORDS;
    this.#mostAnswers = options.mostKeptAnswers ?? MOST_KEPT_ANSWERS;
    this.#mostAnswerBytes = options.mostKeptAnswerBytes ??
      MOST_KEPT_ANSWER_BYTES;
    this.#mostBytesPerAnswer = options.mostBytesPerAnswer ??
      MOST_BYTES_PER_ANSWER;
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
   * Asked right before the work is handed to the endpoint. `run`: hand it
   * over now. `already`: this is a repeat of a record that has run or may
   * have; say nothing of "not run". A reason: it has not run here and never
   * will. `wrong_incarnation` speaks for this run of the side alone: an
   * earlier copy of the message may have reached the run before it.
   */
  begin(permit: OncePermit): "run" | NotRunFrame["reason"] | "already" {
    if (this.#isForeign(permit.sideIncarnation)) return "wrong_incarnation";
    const known = this.#records.get(permit.record);
    if (known !== undefined && this.#guards.remembersRuns) {
      return known.state === "barred" ? "barred" : "already";
    }
    if (permit.record <= this.#floor) return "already";
    if (this.#hasRun(permit.key)) {
      this.#bar(permit.key, permit.record);
      return "barred";
    }
    this.#set(permit.record, { key: permit.key, state: "running", size: 0 });
    this.#ranUnder.set(permit.key, permit.record);
    return "run";
  }

  /**
   * Asked before the side answers "not run" for a reason of its own, such as
   * draining. True: the record is barred from now on and the answer is true.
   * False: another copy of the message has run it, so the answer would lie.
   */
  refuse(permit: OncePermit): boolean {
    if (this.#isForeign(permit.sideIncarnation)) return false;
    const known = this.#records.get(permit.record);
    if (known !== undefined) return known.state === "barred";
    if (permit.record <= this.#floor) return false;
    this.#bar(permit.key, permit.record);
    return true;
  }

  /** The endpoint is done; `undefined`: nobody knows what it did. */
  finish(permit: OncePermit, answer: KeptAnswer | undefined): void {
    const known = this.#records.get(permit.record);
    if (known === undefined || known.state !== "running") return;
    if (answer === undefined) {
      this.#set(permit.record, { key: known.key, state: "failed", size: 0 });
      return;
    }
    const size = 2 * answer.body.length;
    const kept = size <= this.#mostBytesPerAnswer;
    this.#set(permit.record, {
      key: known.key,
      state: "answered",
      answer: kept ? answer : undefined,
      size: kept ? size : 0,
    });
    if (!kept) return;
    this.#answers.add(permit.record);
    this.#answerBytes += size;
    this.#dropAnswers();
  }

  /**
   * The endpoint turned the work down before it started, for example because
   * nobody listened there: the record is barred, and "not run" is true.
   */
  turnedDown(permit: OncePermit): void {
    const known = this.#records.get(permit.record);
    if (known === undefined || known.state !== "running") return;
    this.#ranUnder.delete(known.key);
    this.#bar(known.key, permit.record);
  }

  /** What became of a record; with `bar`, it will not run if it has not. */
  ask(question: OnceQuestion): OnceAnswer {
    if (this.#isForeign(question.sideIncarnation)) {
      return { state: "other_incarnation" };
    }
    const known = this.#records.get(question.record);
    if (known !== undefined) {
      return { state: known.state, ...known.answer };
    }
    if (question.record <= this.#floor) return { state: "failed" };
    if (!question.bar) return { state: "not_seen" };
    this.#bar(question.key, question.record);
    return { state: "barred" };
  }

  /**
   * A restarted side knows nothing of what its predecessor ran. Without this
   * check a delayed message runs the predecessor's record a second time, seen
   * as a case number issued twice.
   */
  #isForeign(incarnation: string): boolean {
    return this.#guards.checksIncarnation && incarnation !== this.#incarnation;
  }

  /**
   * A takeover is valid only behind a bar, so a second record for a key that
   * has run here can only come from an entry that broke the protocol.
   */
  #hasRun(key: string): boolean {
    return this.#guards.remembersRuns && this.#ranUnder.has(key);
  }

  #bar(key: string, record: number): void {
    if (this.#guards.bars) {
      this.#set(record, { key, state: "barred", size: 0 });
    }
    this.#onBarred(key, record);
  }

  #set(record: number, state: RecordState): void {
    this.#records.set(record, state);
    if (this.#records.size > this.#mostRecords) this.#dropRecords();
  }

  /** Bodies go first: without one a repeat still learns that the call ran. */
  #dropAnswers(): void {
    for (const record of this.#answers) {
      const fits = this.#answerBytes <= this.#mostAnswerBytes &&
        this.#answers.size <= this.#mostAnswers;
      if (fits) return;
      const known = this.#records.get(record);
      this.#answers.delete(record);
      if (known === undefined) continue;
      this.#answerBytes -= known.size;
      this.#records.set(record, { key: known.key, state: "answered", size: 0 });
    }
  }

  /**
   * Drops a tenth at a time, lowest offsets first, so that the floor rises as
   * little as it can and the sort is paid once for many records. What runs
   * stays: its answer is still to come.
   */
  #dropRecords(): void {
    const count = Math.ceil(this.#mostRecords / 10);
    const settled = [...this.#records.entries()]
      .filter(([, known]) => known.state !== "running")
      .sort(([one], [other]) => one - other)
      .slice(0, count);
    for (const [record, known] of settled) {
      this.#records.delete(record);
      if (this.#answers.delete(record)) this.#answerBytes -= known.size;
      if (this.#ranUnder.get(known.key) === record) {
        this.#ranUnder.delete(known.key);
      }
      this.#floor = Math.max(this.#floor, record);
    }
  }
}
