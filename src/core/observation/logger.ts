/** Facts that go with a log line; plain JSON values. */
export type LogFacts = Readonly<Record<string, unknown>>;

/** Structured log of one part; the part's label is already on it. */
export interface Logger {
  /** For those who look for a fault in the program. */
  debug(facts: LogFacts, message: string): void;
  /** A change of state that an operator expects to see. */
  info(facts: LogFacts, message: string): void;
  /** Something failed and the system goes on without an operator. */
  warn(facts: LogFacts, message: string): void;
  /** Something failed that an operator has to look at. */
  error(facts: LogFacts, message: string): void;
}

/** Says nothing; for tests and embedders that want no log. */
export const SILENT_LOGGER: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
