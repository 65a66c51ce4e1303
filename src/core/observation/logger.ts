/** Fields of a log line; plain JSON values. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Structured log of one component; lines already carry the component's label.
 */
export interface Logger {
  /** Details for debugging the program. */
  debug(fields: LogFields, message: string): void;
  /** A change of state that an operator expects to see. */
  info(fields: LogFields, message: string): void;
  /** Something failed and the system continues without an operator. */
  warn(fields: LogFields, message: string): void;
  /** Something failed that an operator has to look at. */
  error(fields: LogFields, message: string): void;
}

/** Discards everything; for tests and embedders that want no log. */
export const NOOP_LOGGER: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
