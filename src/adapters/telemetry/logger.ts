/** JSON logging with pino. */
import { type DestinationStream, pino } from "pino";
import type { Logger } from "../../core/observation/mod.ts";

/**
 * Maximum log text buffered for a slow reader. Further lines are dropped, so
 * that a stalled log collector cannot exhaust the memory of a small VM.
 */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/** Standard output. */
const STDOUT_FILE_DESCRIPTOR = 1;

/** A logger that can create child loggers for the components of the process. */
export interface ComponentLogger extends Logger {
  /** Returns a child logger that adds the component's name to each line. */
  forComponent(component: string): ComponentLogger;
}

/** Options of `createLogger`. */
export interface LoggerOptions {
  readonly level: "debug" | "info" | "warn" | "error";
  /** Process name added to each line. */
  readonly process: string;
  /** Defaults to standard output. */
  readonly destination?: DestinationStream;
}

/**
 * Creates the logger of a process. It uses no worker threads because they are
 * not available in the single-binary build.
 */
export function createLogger(options: LoggerOptions): ComponentLogger {
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

function createPinoAdapter(log: pino.Logger): ComponentLogger {
  return {
    debug: (fields, message) => log.debug(fields, message),
    info: (fields, message) => log.info(fields, message),
    warn: (fields, message) => log.warn(fields, message),
    error: (fields, message) => log.error(fields, message),
    forComponent: (component) =>
      createPinoAdapter(log.child({ part: component })),
  };
}
