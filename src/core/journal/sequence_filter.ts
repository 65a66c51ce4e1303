import type { RecordEnvelope } from "./record_reading.ts";

/** Writer, incarnation and last sequence number of one run of a process. */
type SavedRun = readonly [
  writer: string,
  incarnation: string,
  sequence: number,
];

/**
 * Runs whose last sequence number is stored; the least recent writer is
 * evicted. 40 entries of a region that restart 300 times a day and 660
 * operators' commands, each a run of its own, fill it in hours, while an append
 * is in flight for minutes at most. 256 runs take 30 KB in a checkpoint. The
 * limit is a count and not a time because every reader has to evict at the same
 * position.
 */
export const MAX_STORED_RUNS = 256;

/**
 * Drops a record whose sequence number is not above its writer's last one.
 *
 * Without it, an append whose answer was lost is sent again and the record is
 * on the log twice, or an append completes long after its writer gave it up, so
 * that a publication or order takes effect a second time. Because a record
 * lower than its writer's last one is void, a writer that reads back a later
 * record of its own knows that the missing one can no longer take effect.
 *
 * The filter is part of the state in snapshots and checkpoints: a reader that
 * joined late drops exactly the records that the others drop.
 */
export class SequenceFilter {
  /** In the order of their last records, the oldest first. */
  #runs = new Map<string, SavedRun>();

  /** Returns true and stores the sequence number if the record counts. */
  admit({ incarnation, sequence, writer }: RecordEnvelope): boolean {
    const key = runKey(writer, incarnation);
    const last = this.#runs.get(key)?.[2] ?? -1;
    if (sequence <= last) return false;
    this.#runs.delete(key);
    this.#runs.set(key, [writer, incarnation, sequence]);
    if (this.#runs.size > MAX_STORED_RUNS) this.#evictOldest();
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

  #evictOldest(): void {
    const [oldest] = this.#runs.keys();
    this.#runs.delete(oldest);
  }
}

function runKey(writer: string, incarnation: string): string {
  return JSON.stringify([writer, incarnation]);
}
