import type { TimerService } from "../time/mod.ts";
import type { HistoryEventKind, Observe } from "./mod.ts";

/** Fields of an event; plain JSON values. */
export type EventFields = Readonly<Record<string, string | number | boolean>>;

/** Emits an event of one process. */
export type EmitEvent = (kind: HistoryEventKind, fields: EventFields) => void;

export interface EmitEventOptions {
  readonly observe: Observe | undefined;
  readonly timer: TimerService;
  readonly process: string;
  /** Fields added to every event of the process, such as its incarnation. */
  readonly commonFields: EventFields;
}

/**
 * Creates the function with which a process emits its events; a no-op without
 * an observer.
 */
export function createEmitEvent(options: EmitEventOptions): EmitEvent {
  const { observe, timer, process, commonFields } = options;
  if (observe === undefined) return () => {};
  return (kind, fields) =>
    observe({
      at: timer.now(),
      process,
      kind,
      facts: { ...fields, ...commonFields },
    });
}
