/** OpenTelemetry tracing, exported to an OTLP collector or to a file. */
import {
  type Context,
  ROOT_CONTEXT,
  type Span as OtelSpan,
  SpanStatusCode,
  trace,
  TraceFlags,
  type Tracer as OtelTracer,
} from "@opentelemetry/api";
import { parseTraceParent } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  type SpanExporter,
  TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-base";
import {
  NOOP_TRACER,
  type Span,
  type SpanAttributes,
  type SpanName,
  type SpanOptions,
  type Tracer,
} from "../../core/observation/mod.ts";
import { FileSpanExporter } from "./file_span_exporter.ts";

/** Maximum number of spans queued for export; further spans are dropped. */
const MAX_QUEUED_SPANS = 4_096;

/** Options of `createTracing`. */
export interface TracingOptions {
  /** Process name added to each span. */
  readonly process: string;
  /** URL of an OTLP collector; takes precedence over `file`. */
  readonly otlpUrl?: string;
  readonly file?: string;
  /** Sampling ratio of traces that start in this process, 0 to 1. */
  readonly share: number;
}

/** The tracer of a process and its shutdown. */
export interface Tracing {
  readonly tracer: Tracer;
  /** Exports the queued spans and stops. */
  shutdown(): Promise<void>;
}

/** Creates the tracing of a process; does nothing if no output is set. */
export function createTracing(options: TracingOptions): Tracing {
  const exporter = createExporter(options);
  if (exporter === undefined) {
    return { tracer: NOOP_TRACER, shutdown: () => Promise.resolve() };
  }
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      "service.name": "filbertshore",
      "service.instance.id": options.process,
    }),
    sampler: new ParentBasedSampler({
      root: new TraceIdRatioBasedSampler(options.share),
    }),
    spanProcessors: [
      new BatchSpanProcessor(exporter, { maxQueueSize: MAX_QUEUED_SPANS }),
    ],
  });
  return {
    tracer: new OpenTelemetryTracer(provider.getTracer("filbertshore")),
    shutdown: () => provider.shutdown(),
  };
}

function createExporter(options: TracingOptions): SpanExporter | undefined {
  if (options.otlpUrl !== undefined) {
    return new OTLPTraceExporter({ url: options.otlpUrl });
  }
  return options.file === undefined
    ? undefined
    : new FileSpanExporter(options.file);
}

class OpenTelemetryTracer implements Tracer {
  readonly #tracer: OtelTracer;

  constructor(tracer: OtelTracer) {
    this.#tracer = tracer;
  }

  start(name: SpanName, options: SpanOptions): Span {
    const span = this.#tracer.startSpan(
      name,
      { attributes: options.facts },
      parentContext(options.traceparent),
    );
    return new OpenTelemetrySpan(span);
  }
}

class OpenTelemetrySpan implements Span {
  readonly traceparent: string;
  readonly #span: OtelSpan;

  constructor(span: OtelSpan) {
    this.#span = span;
    const { traceId, spanId, traceFlags } = span.spanContext();
    const flags = traceFlags & TraceFlags.SAMPLED ? "01" : "00";
    this.traceparent = `00-${traceId}-${spanId}-${flags}`;
  }

  add(facts: SpanAttributes): void {
    this.#span.setAttributes(facts);
  }

  fail(reason: string): void {
    this.#span.setStatus({ code: SpanStatusCode.ERROR, message: reason });
  }

  end(): void {
    this.#span.end();
  }
}

/**
 * Context of the caller's span; an invalid `traceparent` starts a new trace.
 */
function parentContext(traceparent: string | undefined): Context {
  if (traceparent === undefined) return ROOT_CONTEXT;
  const parent = parseTraceParent(traceparent);
  if (parent === null) return ROOT_CONTEXT;
  return trace.setSpanContext(ROOT_CONTEXT, { ...parent, isRemote: true });
}
