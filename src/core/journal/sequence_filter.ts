import type { RecordEnvelope } from "./record_reading.ts";

interface WriterPosition {
  readonly writer: string;
  readonly incarnation: string;
  readonly sequence: number;
  readonly offset: number;
}

/**
 * Records after which a silent writer's last sequence number is forgotten.
 * Load: several hundred appends a second at the most, so this is minutes,
 * far longer than an append can be under way. Counted in records and not in
 * time, because every reader has to forget at the same place.
 */
export const FORGET_WRITER_AFTER_RECORDS = 20_000;

/**
 * Drops a record whose sequence number is not above its writer's last one.
 *
 * What goes wrong without it: an append whose answer was lost is sent again
 * and lands twice, or lands long after its writer gave it up and went on; one
 * would notice a publication or an order that acts a second time. Because a
 * record lower than its writer's last is void, a writer that reads back a later
 * record of its own knows that the missing one can't take effect any more.
 *
 * The verdict is part of the state that peers and checkpoints hand over:
 * a reader that joined late drops exactly the records that the others drop.
 */
export class SequenceFilter {
  #writers = new Map<string, WriterPosition>();

  /** True where the record counts; remembers its sequence number then. */
  admit(offset: number, record: RecordEnvelope): boolean {
    const key = writerKey(record.writer, record.incarnation);
    const last = this.#known(key, offset);
    if (last !== undefined && record.sequence <= last.sequence) return false;
    // Deleting first keeps the map in the order of last offsets.
    this.#writers.delete(key);
    this.#writers.set(key, {
      writer: record.writer,
      incarnation: record.incarnation,
      sequence: record.sequence,
      offset,
    });
    this.#forget(offset);
    return true;
  }

  save(): WriterPosition[] {
    return [...this.#writers.values()];
  }

  load(state: unknown): void {
    this.#writers = new Map();
    if (!Array.isArray(state)) return;
    for (const position of state as WriterPosition[]) {
      this.#writers.set(
        writerKey(position.writer, position.incarnation),
        { ...position },
      );
    }
  }

  #known(key: string, offset: number): WriterPosition | undefined {
    const last = this.#writers.get(key);
    if (last === undefined) return undefined;
    return isForgotten(last, offset) ? undefined : last;
  }

  #forget(offset: number): void {
    for (const [key, position] of this.#writers) {
      if (!isForgotten(position, offset)) return;
      this.#writers.delete(key);
    }
  }
}

function isForgotten(position: WriterPosition, offset: number): boolean {
  return position.offset < offset - FORGET_WRITER_AFTER_RECORDS;
}

function writerKey(writer: string, incarnation: string): string {
  return JSON.stringify([writer, incarnation]);
}
