import type { KnownOrigin, StreamRecord } from "../../core/forwarding/mod.ts";
import {
  identifier,
  type ServiceName,
  type SoftwareVersion,
  type StreamDigest,
} from "../../core/identity/mod.ts";

/** Notification that carries origins of streams to their keepers. */
export const STREAMS_METHOD = "entry.streams";
/** Notification that asks a peer for the origin of a stream. */
export const STREAM_QUERY_METHOD = "entry.streamQuery";
/** Notification that answers such a query. */
export const STREAM_ANSWER_METHOD = "entry.streamAnswer";

/** Pool and software version; null if several versions may have written. */
type OriginRow = readonly [pool: string, softwareVersion: string] | null;

/** Origins of streams; the streams refer to origins by index. */
export interface StreamNotification {
  readonly origins: readonly OriginRow[];
  readonly streams: readonly (readonly [stream: string, origin: number])[];
}

export interface StreamQuery {
  readonly entry: string;
  readonly id: number;
  readonly stream: string;
}

export interface StreamAnswer {
  readonly entry: string;
  readonly id: number;
  readonly stream: string;
  /** Absent if the peer does not know the stream. */
  readonly origin?: OriginRow;
}

export function encodeStreams(
  records: readonly StreamRecord[],
): StreamNotification {
  const rows = new Map<string, OriginRow>();
  for (const { origin } of records) {
    const row = encodeOrigin(origin);
    rows.set(JSON.stringify(row), row);
  }
  const keys = [...rows.keys()];
  return {
    origins: [...rows.values()],
    streams: records.map(({ origin, stream }) => [
      stream,
      keys.indexOf(JSON.stringify(encodeOrigin(origin))),
    ]),
  };
}

/** Undefined if the notification is malformed. */
export function decodeStreams(params: unknown): StreamRecord[] | undefined {
  if (!isObject(params)) return undefined;
  const { origins, streams } = params;
  if (!Array.isArray(origins) || !Array.isArray(streams)) return undefined;
  const records: StreamRecord[] = [];
  for (const row of streams) {
    if (!Array.isArray(row) || typeof row[0] !== "string") return undefined;
    const origin = decodeOrigin(origins[row[1]]);
    if (origin === undefined) return undefined;
    records.push({ stream: identifier<StreamDigest>(row[0]), origin });
  }
  return records;
}

export function encodeOrigin(origin: KnownOrigin): OriginRow {
  return origin === "ambiguous" ? null : [origin.pool, origin.softwareVersion];
}

/** Undefined if the row is absent or malformed. */
export function decodeOrigin(row: unknown): KnownOrigin | undefined {
  if (row === null) return "ambiguous";
  if (!Array.isArray(row)) return undefined;
  const [pool, softwareVersion] = row;
  if (typeof pool !== "string" || typeof softwareVersion !== "string") {
    return undefined;
  }
  return {
    pool: identifier<ServiceName>(pool),
    softwareVersion: identifier<SoftwareVersion>(softwareVersion),
  };
}

export function isStreamQuery(value: unknown): value is StreamQuery {
  return isObject(value) && typeof value.entry === "string" &&
    typeof value.id === "number" && typeof value.stream === "string";
}

export function isStreamAnswer(value: unknown): value is StreamAnswer {
  return isStreamQuery(value);
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null;
}
