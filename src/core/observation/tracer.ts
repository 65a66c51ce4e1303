/** A hop of a request; each has one span. */
export type SpanName =
  | "entry.receive"
  | "entry.queue"
  | "entry.dispatch"
  | "entry.resume"
  | "side.attempt"
  | "endpoint.call";

/** Facts on a span; plain values. */
export type SpanFacts = Readonly<Record<string, string | number | boolean>>;

/** One hop that is under way. */
export interface Span {
  /**
   * What the next hop takes as its parent, in W3C form. Absent where nothing
   * is traced; the hop then passes on what it got itself.
   */
  readonly traceparent: string | undefined;
  add(facts: SpanFacts): void;
  /** Marks the hop as failed; it still has to end. */
  fail(reason: string): void;
  end(): void;
}

export interface SpanOptions {
  /** The parent in W3C form; without it the span starts a trace. */
  readonly traceparent?: string;
  readonly facts?: SpanFacts;
}

/** Makes spans; the cores know no tracing library. */
export interface Tracer {
  start(name: SpanName, options: SpanOptions): Span;
}

const NOOP_SPAN: Span = {
  traceparent: undefined,
  add() {},
  fail() {},
  end() {},
};

/** Makes nothing and keeps nothing; stands where tracing is off. */
export const NO_TRACER: Tracer = { start: () => NOOP_SPAN };
