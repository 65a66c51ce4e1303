import { createWriteStream, type WriteStream } from "node:fs";
import { type ExportResult, ExportResultCode } from "@opentelemetry/core";
import type { ReadableSpan, SpanExporter } from "@opentelemetry/sdk-trace-base";

/**
 * Maximum size of the trace file of one process. The VMs have no disks, so the
 * file takes memory from the process itself.
 */
const MAX_FILE_BYTES = 64 * 1024 * 1024;

/** Writes each span as one line of JSON, up to `MAX_FILE_BYTES`. */
export class FileSpanExporter implements SpanExporter {
  readonly #stream: WriteStream;
  #writtenLength = 0;
  #failed = false;

  constructor(file: string) {
    this.#stream = createWriteStream(file, { flags: "a" });
    this.#stream.on("error", () => this.#failed = true);
  }

  export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    const text = spans.map((span) => `${JSON.stringify(toRecord(span))}\n`)
      .join("");
    if (this.#failed || this.#writtenLength + text.length > MAX_FILE_BYTES) {
      done({ code: ExportResultCode.FAILED });
      return;
    }
    this.#writtenLength += text.length;
    this.#stream.write(text, () => done({ code: ExportResultCode.SUCCESS }));
  }

  shutdown(): Promise<void> {
    if (this.#failed) return Promise.resolve();
    return new Promise((resolve) => this.#stream.end(() => resolve()));
  }
}

function toRecord(span: ReadableSpan): Record<string, unknown> {
  const { traceId, spanId } = span.spanContext();
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    process: span.resource.attributes["service.instance.id"],
    startMilliseconds: toMilliseconds(span.startTime),
    durationMilliseconds: toMilliseconds(span.duration),
    facts: span.attributes,
    failure: span.status.message,
  };
}

function toMilliseconds([seconds, nanoseconds]: [number, number]): number {
  return seconds * 1000 + nanoseconds / 1e6;
}
