/** JSON logs by pino, written by the process itself. */
import { type DestinationStream, pino } from "pino";
import type { Logger } from "../../core/observation/mod.ts";

/**
 * Log text that may wait for a slow reader. Beyond it lines are dropped: a
 * log collector that hangs must not fill the memory of a thin VM.
 */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/** Standard output. */
const STDOUT_FILE_DESCRIPTOR = 1;

/** A logger that makes further ones for parts of the process. */
export interface LabelledLogger extends Logger {
  /** The same log with the part's name on each line. */
  labelled(part: string): LabelledLogger;
}

export interface LoggerOptions {
  readonly level: "debug" | "info" | "warn" | "error";
  /** Name of the process on each line. */
  readonly process: string;
  /** Absent: standard output. */
  readonly destination?: DestinationStream;
}

/** Makes the log of a process; without worker threads, as one binary has none. */
export function createLogger(options: LoggerOptions): LabelledLogger {
  const destination = options.destination ?? pino.destination({
    dest: STDOUT_FILE_DESCRIPTOR,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
  });
  const root = pino({
    level: options.level,
    base: { process: options.process },
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: (label) => ({ level: label }) },
  }, destination);
  return createPinoAdapter(root);
}

function createPinoAdapter(log: pino.Logger): LabelledLogger {
  return {
    debug: (fields, message) => log.debug(fields, message),
    info: (fields, message) => log.info(fields, message),
    warn: (fields, message) => log.warn(fields, message),
    error: (fields, message) => log.error(fields, message),
    labelled: (part) => createPinoAdapter(log.child({ part })),
  };
}
