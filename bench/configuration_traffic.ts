import type { LogItem, LogService } from "../src/core/journal/mod.ts";

/** Messages and payload bytes, without what HTTP and TCP add. */
export interface Traffic {
  messages: number;
  bytes: number;
}

export function noTraffic(): Traffic {
  return { messages: 0, bytes: 0 };
}

const sizes = new WeakMap<object, number>();

/** Size as JSON; remembered, as hundreds of readers get the same records. */
export function sizeOf(value: object): number {
  const known = sizes.get(value);
  if (known !== undefined) return known;
  const size = Buffer.byteLength(JSON.stringify(value));
  sizes.set(value, size);
  return size;
}

export function count(traffic: Traffic, bytes: number): void {
  traffic.messages += 1;
  traffic.bytes += bytes;
}

/** Offset, limit and wait of a read, and an empty page, as JSON. */
const READ_QUESTION_BYTES = 90;
const PAGE_BYTES = 50;

/** Counts what one process says to the log and hears from it. */
export function countingLog(log: LogService, traffic: Traffic): LogService {
  return {
    async append(stream, records) {
      const bytes = records.reduce<number>(
        (sum, record) => sum + Buffer.byteLength(JSON.stringify(record)),
        0,
      );
      count(traffic, bytes);
      return await log.append(stream, records);
    },
    async read(stream, options) {
      count(traffic, READ_QUESTION_BYTES);
      const answer = await log.read(stream, options);
      const items: readonly LogItem[] = answer.isOk()
        ? answer.value.records
        : [];
      count(
        traffic,
        items.reduce((sum, item) => sum + sizeOf(item), PAGE_BYTES),
      );
      return answer;
    },
  };
}
