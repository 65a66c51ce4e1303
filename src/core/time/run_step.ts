/** Receives what a step has thrown. */
export type OnThrow = (cause: unknown) => void;

/** Passes what a step throws, now or later, to its owner. */
export function runStep(step: () => unknown, onThrow: OnThrow): void {
  try {
    const result = step();
    if (result instanceof Promise) result.catch(onThrow);
  } catch (cause) {
    onThrow(cause);
  }
}

/** Ends the process, or the test, as no owner is known. */
export function rethrow(cause: unknown): never {
  throw cause;
}
