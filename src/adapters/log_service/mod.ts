/** HTTP client of the platform's log service. */
import { err, ok, type Result } from "../../core/errors/result.ts";
import { failure } from "../../core/errors/mod.ts";
import { type LogOffset, numbered } from "../../core/identity/mod.ts";
import type {
  LogFailure,
  LogPage,
  LogReadOptions,
  LogService,
  StreamName,
} from "../../core/journal/mod.ts";
import type { TimerService } from "../../core/time/mod.ts";
import type { AppendAnswer, LogReadAnswer } from "../../generated/platform.ts";
import {
  validateAppendAnswer,
  validateLogReadAnswer,
} from "../../generated/validators.js";
import { HttpClient, parseJson } from "../http_client/mod.ts";
import { LOG_EXPIRED, LOG_UNAVAILABLE, LOG_UNKNOWN } from "./errors.ts";

/**
 * Response timeout, in addition to the long-poll wait of a read. The service
 * handles hundreds of appends a second, so no response for seconds means that
 * it is down; a longer timeout would delay a caller's request whose record is
 * being appended.
 */
const DEFAULT_TIMEOUT_MILLISECONDS = 3_000;
/** Limit for one page of records, so that it fits the memory of a small VM. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Options of an `HttpLogService`. */
export interface HttpLogServiceOptions {
  readonly timer: TimerService;
  readonly timeoutMilliseconds?: number;
}

/** Appends and reads records over keep-alive HTTP connections. */
export class HttpLogService implements LogService {
  readonly #client: HttpClient;
  readonly #timeoutMilliseconds: number;

  constructor(url: string, options: HttpLogServiceOptions) {
    this.#client = new HttpClient(url, { timer: options.timer });
    this.#timeoutMilliseconds = options.timeoutMilliseconds ??
      DEFAULT_TIMEOUT_MILLISECONDS;
  }

  async append(
    stream: StreamName,
    records: readonly unknown[],
  ): Promise<Result<LogOffset, LogFailure>> {
    const response = await this.#client.call(recordsPath(stream), {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ records }),
      timeoutMilliseconds: this.#timeoutMilliseconds,
      mostResponseBytes: MAX_RESPONSE_BYTES,
    });
    if (response.isErr()) {
      const definition = response.error.name === "http_not_sent"
        ? LOG_UNAVAILABLE
        : LOG_UNKNOWN;
      return err(
        failure(definition, { stream, reason: response.error.message }),
      );
    }
    const { status, body } = response.value;
    if (isClientError(status)) {
      return err(
        failure(LOG_UNAVAILABLE, { stream, reason: `status ${status}` }),
      );
    }
    const value = status < 300 ? parseJson(body) : undefined;
    if (!validateAppendAnswer(value)) {
      const reason = status < 300 ? "malformed response" : `status ${status}`;
      return err(failure(LOG_UNKNOWN, { stream, reason }));
    }
    return ok(numbered<LogOffset>((value as AppendAnswer).offset));
  }

  async read(
    stream: StreamName,
    options: LogReadOptions,
  ): Promise<Result<LogPage, LogFailure>> {
    const query = new URLSearchParams({
      from: String(options.from),
      limit: String(options.limit),
      wait: String(Math.round(options.waitMilliseconds)),
    });
    const response = await this.#client.call(
      `${recordsPath(stream)}?${query}`,
      {
        method: "GET",
        timeoutMilliseconds: options.waitMilliseconds +
          this.#timeoutMilliseconds,
        mostResponseBytes: MAX_RESPONSE_BYTES,
      },
    );
    if (response.isErr()) {
      return err(
        failure(LOG_UNAVAILABLE, { stream, reason: response.error.message }),
      );
    }
    const { status, body } = response.value;
    if (status === 410) {
      return err(failure(LOG_EXPIRED, { stream, from: options.from }));
    }
    const value = status === 200 ? parseJson(body) : undefined;
    if (!validateLogReadAnswer(value)) {
      const reason = status === 200 ? "malformed response" : `status ${status}`;
      return err(failure(LOG_UNAVAILABLE, { stream, reason }));
    }
    return validatePage(value as LogReadAnswer, { stream, options });
  }

  /** Closes all connections; aborts a long poll in progress. */
  close(): void {
    this.#client.close();
  }
}

/**
 * Checks that a page has no gap. A reader that skipped a record would reach
 * other decisions than all other readers from then on. A page with a gap is
 * treated as an outage; it shows as a log service that responds while the
 * reader makes no progress.
 */
function validatePage(
  response: LogReadAnswer,
  context: { stream: StreamName; options: LogReadOptions },
): Result<LogPage, LogFailure> {
  const { stream, options } = context;
  const first = Math.max(options.from, response.oldest);
  const isContiguous = response.records.every((item, index) =>
    item.offset === first + index
  );
  if (!isContiguous) {
    const reason = "the page has a gap between its records";
    return err(failure(LOG_UNAVAILABLE, { stream, reason }));
  }
  return ok({
    records: response.records.map((item) => ({
      offset: numbered<LogOffset>(item.offset),
      value: item.value,
    })),
    oldest: numbered<LogOffset>(response.oldest),
    head: numbered<LogOffset>(response.head),
  });
}

/**
 * Whether the service rejected the call, so that nothing was appended. After a
 * timeout (408) or a server error the append may have taken effect.
 */
function isClientError(status: number): boolean {
  return status >= 400 && status < 500 && status !== 408;
}

function recordsPath(stream: StreamName): string {
  return `/streams/${encodeURIComponent(stream)}/records`;
}
