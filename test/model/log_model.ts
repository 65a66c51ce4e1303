/**
 * Model of processes that append to one stream. A process derives its record
 * from the prefix that it has read. It may have been paused since, so a record
 * may come from any prefix of the log, and again at any later step. The state
 * is the log alone: slow readers, delayed appends, lost answers, retries and
 * takeovers only change the order of its records.
 */
import type { RecordBody } from "../../src/generated/log_records.ts";
import { numbered } from "../../src/core/identity/mod.ts";
import type { StreamFold } from "../../src/core/journal/mod.ts";
import type { Model } from "./state_search.ts";

export type LogRecords = readonly RecordBody[];

export interface LogModelOptions<Fold extends StreamFold> {
  readonly makeFold: () => Fold;
  readonly processes: readonly string[];
  /** Records that the process may append after reading the fold's prefix. */
  readonly candidateRecords: (
    fold: Fold,
    process: string,
  ) => readonly RecordBody[];
  /** Maximum number of records on the log. */
  readonly maxRecords: number;
  /** Describes the violation in a log whose proper prefixes have none. */
  readonly violation: (
    log: LogRecords,
    foldOf: (log: LogRecords) => Fold,
  ) => string | undefined;
}

export function createLogModel<Fold extends StreamFold>(
  options: LogModelOptions<Fold>,
): Model<LogRecords> {
  const folds = new Map<string, Fold>();

  function foldOf(log: LogRecords): Fold {
    const key = JSON.stringify(log);
    const cached = folds.get(key);
    if (cached !== undefined) return cached;
    const fold = options.makeFold();
    log.forEach((body, offset) => fold.apply(numbered(offset), body));
    folds.set(key, fold);
    return fold;
  }

  return {
    initial: [],
    key: (log) => JSON.stringify(log),
    *steps(log) {
      if (log.length >= options.maxRecords) return;
      for (let read = 0; read <= log.length; read += 1) {
        const fold = foldOf(log.slice(0, read));
        for (const process of options.processes) {
          for (const body of options.candidateRecords(fold, process)) {
            const name = `${process}, having read ${read}, appends ` +
              JSON.stringify(body);
            yield { name, state: [...log, body] };
          }
        }
      }
    },
    violation: (log) => options.violation(log, foldOf),
  };
}
