/** A hop of a request; each has one span. */
export type SpanName =
  | "entry.receive"
  | "entry.queue"
  | "entry.dispatch"
  | "entry.resume"
  | "side.attempt"
  | "endpoint.call";

/** Attributes of a span; plain values. */
export type SpanAttributes = Readonly<
  Record<string, string | number | boolean>
>;

/** A hop in progress. */
export interface Span {
  /**
   * Parent for the next hop, in W3C form. Undefined while tracing is off; the
   * hop then passes on the value that it received itself.
   */
  readonly traceparent: string | undefined;
  add(attributes: SpanAttributes): void;
  /** Marks the hop as failed; it still has to end. */
  fail(reason: string): void;
  end(): void;
}

export interface SpanOptions {
  /** Parent in W3C form; without it the span starts a trace. */
  readonly traceparent?: string;
  readonly facts?: SpanAttributes;
}

/** Creates spans; keeps the core independent of a tracing library. */
export interface Tracer {
  start(name: SpanName, options: SpanOptions): Span;
}

const NOOP_SPAN: Span = {
  traceparent: undefined,
  add() {},
  fail() {},
  end() {},
};

/** Records nothing; used while tracing is off. */
export const NOOP_TRACER: Tracer = { start: () => NOOP_SPAN };
