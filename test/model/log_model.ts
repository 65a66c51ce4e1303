/**
 * Any number of processes that append to one stream. What a process appends
 * follows from the prefix that it has read; it may have been paused since, so
 * a record may come from any prefix of the log, and the same one again at any
 * later time. The state is the log alone: late readers, late landings, lost
 * answers, repeats and takeovers are all orders of its records.
 */
import type { RecordBody } from "../../src/generated/log_records.ts";
import { numbered } from "../../src/core/identity/mod.ts";
import type { StreamFold } from "../../src/core/journal/mod.ts";
import type { Model } from "./search.ts";

export type Log = readonly RecordBody[];

export interface LogModelOptions<Fold extends StreamFold> {
  readonly makeFold: () => Fold;
  readonly processes: readonly string[];
  /** What the process may append when it has read up to the fold's state. */
  readonly wishes: (fold: Fold, process: string) => readonly RecordBody[];
  /** Records on the log at the most. */
  readonly records: number;
  /** What is wrong with the log, all of whose prefixes are right. */
  readonly violation: (
    log: Log,
    foldOf: (log: Log) => Fold,
  ) => string | undefined;
}

export function logModel<Fold extends StreamFold>(
  options: LogModelOptions<Fold>,
): Model<Log> {
  const folds = new Map<string, Fold>();

  function foldOf(log: Log): Fold {
    const key = JSON.stringify(log);
    const known = folds.get(key);
    if (known !== undefined) return known;
    const fold = options.makeFold();
    log.forEach((body, offset) => fold.apply(numbered(offset), body));
    folds.set(key, fold);
    return fold;
  }

  return {
    initial: [],
    key: (log) => JSON.stringify(log),
    *steps(log) {
      if (log.length >= options.records) return;
      for (let read = 0; read <= log.length; read += 1) {
        const fold = foldOf(log.slice(0, read));
        for (const process of options.processes) {
          for (const body of options.wishes(fold, process)) {
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
