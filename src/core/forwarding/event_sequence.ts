import type { CompleteEvents } from "./event_splitter.ts";

const DECIMAL_INTEGER = /^\d+$/;
/** Digits that a number holds exactly. */
const MAX_NUMBER_DIGITS = 15;
/**
 * Longer ids are compared as opaque ones: the time to convert digits grows
 * faster than their number.
 */
const MAX_ID_DIGITS = 64;
/** Ids with which numbered events may begin. */
const MAX_FIRST_ID = 1;
/**
 * Ids that a header can carry unchanged, read as latin1. An empty one names no
 * position: the run that is asked for it starts over.
 */
const HEADER_VALUE =
  /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

/**
 * The ids of the events of a stream that the caller has received. A further run
 * of the stream may only add the events after them.
 */
export class EventSequence {
  #lastEventId: string | undefined;
  /** False once two successive ids differed by more than one. */
  #isConsecutive = true;
  /** False behind an event without an id, which no position can name. */
  #isLastNamed = true;
  /**
   * False once an id was not the next one, nor one with which ids begin. Ids
   * without an order show nothing.
   */
  #isNumbered = true;
  readonly #begins: boolean;
  readonly #beginsAnywhere: boolean;

  /**
   * `lastEventId`: id of the last event that the caller had before.
   * `beginsAnywhere`: the first event may be any one of the stream.
   */
  constructor(lastEventId?: string, { beginsAnywhere = false } = {}) {
    this.#beginsAnywhere = beginsAnywhere;
    this.#lastEventId = lastEventId === "" ? undefined : lastEventId;
    this.#begins = this.#lastEventId === undefined;
  }

  /**
   * True if the events were numbered from their first one on; undefined if that
   * can't be told, as one alone does not show by how much ids increase.
   */
  get isNumbered(): boolean | undefined {
    if (!this.#begins || this.#lastEventId === undefined) return undefined;
    return this.#isNumbered && mayBegin(this.#lastEventId)
      ? undefined
      : this.#isNumbered;
  }

  /** Id of the last event that the caller has received. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** False if no request can name where a further run goes on. */
  get isNameable(): boolean {
    if (!this.#isLastNamed) return false;
    return this.#lastEventId === undefined ||
      HEADER_VALUE.test(this.#lastEventId);
  }

  /** Records the events that were passed on. */
  record(
    { eventIds, lastHasId }: Pick<CompleteEvents, "eventIds" | "lastHasId">,
  ): void {
    this.#isLastNamed = lastHasId ?? this.#isLastNamed;
    for (const eventId of eventIds) {
      const step = stepBetween(this.#lastEventId, eventId);
      if (step !== undefined && step !== 1) this.#isConsecutive = false;
      const isNext = this.#lastEventId === undefined
        ? mayBegin(eventId)
        : step === undefined || step === 1;
      if (!isNext) this.#isNumbered = false;
      this.#lastEventId = eventId;
    }
  }

  /**
   * The first id that does not follow the one before it; undefined if all do. A
   * further run may not leave an event out, nor begin with an empty id, which
   * names no event. Ids within one run may have gaps, but not repeat or go back,
   * unless the events of the writer are numbered.
   */
  findMismatch(
    eventIds: readonly string[],
    { isFurtherRun, isNumbered }: {
      readonly isFurtherRun: boolean;
      readonly isNumbered: boolean;
    },
  ): string | undefined {
    let before = this.#lastEventId;
    return eventIds.find((eventId, index) => {
      const isFirst = index === 0 && isFurtherRun;
      const mayHaveGap = !isNumbered && (!isFirst || !this.#isConsecutive);
      const follows = before === undefined
        ? !isNumbered || this.#beginsAnywhere || mayBegin(eventId)
        : isAfter(before, eventId, { mayHaveGap }) &&
          !(isFirst && eventId === "");
      before = eventId;
      return !follows;
    });
  }
}

function isAfter(
  before: string,
  eventId: string,
  { mayHaveGap }: { readonly mayHaveGap: boolean },
): boolean {
  const step = stepBetween(before, eventId);
  if (step === undefined) return eventId !== before;
  return mayHaveGap ? step > 0 : step === 1;
}

/** True for the first ids of numbered events, and for ids without an order. */
function mayBegin(eventId: string): boolean {
  const value = stepBetween("0", eventId);
  return value === undefined || value <= MAX_FIRST_ID;
}

/** Difference of two ids; undefined if they are not both integers. */
function stepBetween(
  before: string | undefined,
  after: string,
): number | undefined {
  if (before === undefined) return undefined;
  const digits = Math.max(before.length, after.length);
  const areIntegers = digits <= MAX_ID_DIGITS && DECIMAL_INTEGER.test(before) &&
    DECIMAL_INTEGER.test(after);
  if (!areIntegers) return undefined;
  return digits <= MAX_NUMBER_DIGITS
    ? Number(after) - Number(before)
    : Number(BigInt(after) - BigInt(before));
}
