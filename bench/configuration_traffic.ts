import type { LogItem, LogService } from "../src/core/journal/mod.ts";

/** Messages and payload bytes, without the overhead of HTTP and TCP. */
export interface Traffic {
  messages: number;
  bytes: number;
}

export function zeroTraffic(): Traffic {
  return { messages: 0, bytes: 0 };
}

const sizeCache = new WeakMap<object, number>();

/** Size as JSON, cached because hundreds of readers get the same records. */
export function jsonBytes(value: object): number {
  const cached = sizeCache.get(value);
  if (cached !== undefined) return cached;
  const size = Buffer.byteLength(JSON.stringify(value));
  sizeCache.set(value, size);
  return size;
}

export function countMessage(traffic: Traffic, bytes: number): void {
  traffic.messages += 1;
  traffic.bytes += bytes;
}

/** Sizes as JSON of a read request (offset, limit, wait) and an empty page. */
const READ_REQUEST_BYTES = 90;
const EMPTY_PAGE_BYTES = 50;

/** Wraps a log and counts the requests and responses of one process. */
export function countingLog(log: LogService, traffic: Traffic): LogService {
  return {
    async append(stream, records) {
      const bytes = records.reduce<number>(
        (sum, record) => sum + Buffer.byteLength(JSON.stringify(record)),
        0,
      );
      countMessage(traffic, bytes);
      return await log.append(stream, records);
    },
    async read(stream, options) {
      countMessage(traffic, READ_REQUEST_BYTES);
      const page = await log.read(stream, options);
      const items: readonly LogItem[] = page.isOk() ? page.value.records : [];
      countMessage(
        traffic,
        items.reduce((sum, item) => sum + jsonBytes(item), EMPTY_PAGE_BYTES),
      );
      return page;
    },
  };
}
