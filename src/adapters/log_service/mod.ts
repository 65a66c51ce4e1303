/** The platform's log service over HTTP. */
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
 * How long an answer may take beyond the wait that a read asked for. The
 * service takes hundreds of appends a second, so that seconds of silence
 * mean that it is down; a longer wait would hold a caller's request whose
 * record is being appended.
 */
const DEFAULT_TIMEOUT_MILLISECONDS = 3_000;
/** A page of records; keeps one answer from taking a thin VM's memory. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

export interface HttpLogServiceOptions {
  readonly timer: TimerService;
  readonly timeoutMilliseconds?: number;
}

/** Appends and reads over HTTP, with kept connections. */
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
      const reason = status < 300
        ? "the answer is malformed"
        : `status ${status}`;
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
      const reason = status === 200
        ? "the answer is malformed"
        : `status ${status}`;
      return err(failure(LOG_UNAVAILABLE, { stream, reason }));
    }
    return validatePage(value as LogReadAnswer, { stream, options });
  }

  /** Closes kept connections. */
  close(): void {
    this.#client.close();
  }
}

/**
 * A page with a hole would let a reader pass over a record, and from there on
 * its verdicts would differ from everyone else's. Such a page is refused like
 * an outage, which shows in the log as a service that answers and does not
 * move on.
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
    const reason = "the answer's records have a hole";
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
 * The service itself refused the call. A timeout (408) is no refusal, and a
 * server error may come after the effect.
 */
function isClientError(status: number): boolean {
  return status >= 400 && status < 500 && status !== 408;
}

function recordsPath(stream: StreamName): string {
  return `/streams/${encodeURIComponent(stream)}/records`;
}
