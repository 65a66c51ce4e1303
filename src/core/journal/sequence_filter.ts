import type { RecordEnvelope } from "./record_reading.ts";

/** Writer, incarnation and last sequence number of one run of a process. */
type SavedRun = readonly [
  writer: string,
  incarnation: string,
  sequence: number,
];

/**
 * Runs whose last sequence number is remembered, those that wrote last. Load:
 * 40 entries in a region that restart 300 times a day, and 660 operators'
 * commands, each a run of its own: hours of them, while an append is under way
 * for minutes at the most. Limit: 256 runs are 30 KB in a checkpoint. Counted
 * in runs and not in time, because every reader has to forget at the same place.
 */
export const MOST_REMEMBERED_RUNS = 256;

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
  /** In the order of their last records, the oldest first. */
  #runs = new Map<string, SavedRun>();

  /** True where the record counts; remembers its sequence number then. */
  admit({ incarnation, sequence, writer }: RecordEnvelope): boolean {
    const key = runKey(writer, incarnation);
    const last = this.#runs.get(key)?.[2] ?? -1;
    if (sequence <= last) return false;
    this.#runs.delete(key);
    this.#runs.set(key, [writer, incarnation, sequence]);
    if (this.#runs.size > MOST_REMEMBERED_RUNS) this.#forgetOldest();
    return true;
  }

  save(): readonly SavedRun[] {
    return [...this.#runs.values()];
  }

  load(state: unknown): void {
    const runs = Array.isArray(state) ? state as readonly SavedRun[] : [];
    this.#runs = new Map(
      runs.map((run) => [runKey(run[0], run[1]), run] as const),
    );
  }

  #forgetOldest(): void {
    const [oldest] = this.#runs.keys();
    this.#runs.delete(oldest);
  }
}

function runKey(writer: string, incarnation: string): string {
  return JSON.stringify([writer, incarnation]);
}
