import type {
  KnownOrigin,
  StreamRecord,
} from "../../../core/forwarding/mod.ts";
import {
  type EndpointId,
  identifier,
  numbered,
  type ReplicaStartTime,
  type ServiceName,
  type SoftwareVersion,
  type StreamDigest,
} from "../../../core/identity/mod.ts";
import {
  type Check,
  isInteger,
  isListOf,
  isNullable,
  isNumber,
  isObjectOf,
  isOptional,
  isRow,
  isText,
} from "../../../core/validation/mod.ts";

/** Notification that carries origins of streams to their keepers. */
export const STREAMS_METHOD = "entry.streams";
/** Notification that asks a peer for the origin of a stream. */
export const STREAM_QUERY_METHOD = "entry.streamQuery";
/** Notification that answers such a query. */
export const STREAM_ANSWER_METHOD = "entry.streamAnswer";

/** Pool and software version; null if several versions may have written. */
type OriginRow = readonly [pool: string, softwareVersion: string] | null;

/** The run that writes is absent if its start is not known. */
type StreamRow = readonly [
  stream: string,
  origin: number,
  writer?: string,
  writerStartedAt?: number,
];

/** Origins of streams; the streams refer to origins by index. */
export interface StreamNotification {
  readonly origins: readonly OriginRow[];
  readonly streams: readonly StreamRow[];
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
    streams: records.map(({ origin, stream, writer }) => [
      stream,
      keys.indexOf(JSON.stringify(encodeOrigin(origin))),
      ...(writer?.startedAt === undefined
        ? [] as const
        : [writer.id, writer.startedAt] as const),
    ]),
  };
}

export function decodeStreams(
  { origins, streams }: StreamNotification,
): StreamRecord[] {
  return streams.map(([stream, origin, writer, startedAt]) => ({
    stream: identifier<StreamDigest>(stream),
    origin: decodeOrigin(origins[origin]),
    ...(writer !== undefined && startedAt !== undefined && {
      writer: {
        id: identifier<EndpointId>(writer),
        startedAt: numbered<ReplicaStartTime>(startedAt),
      },
    }),
  }));
}

export function encodeOrigin(origin: KnownOrigin): OriginRow {
  return origin === "ambiguous" ? null : [origin.pool, origin.softwareVersion];
}

export function decodeOrigin(row: OriginRow): KnownOrigin {
  if (row === null) return "ambiguous";
  const [pool, softwareVersion] = row;
  return {
    pool: identifier<ServiceName>(pool),
    softwareVersion: identifier<SoftwareVersion>(softwareVersion),
  };
}

const isOriginRow: Check<OriginRow> = isNullable(
  isRow<NonNullable<OriginRow>>([isText, isText]),
);

const hasStreamFields = isObjectOf<StreamNotification>({
  origins: isListOf(isOriginRow),
  streams: isListOf(
    isRow<StreamRow>([
      isText,
      isInteger,
      isOptional(isText),
      isOptional(isNumber),
    ]),
  ),
});

/** Checks also that the streams refer to origins that are there. */
export function isStreamNotification(
  value: unknown,
): value is StreamNotification {
  return hasStreamFields(value) &&
    value.streams.every(([, origin]) => value.origins[origin] !== undefined);
}

const QUERY = { entry: isText, id: isNumber, stream: isText } as const;

export const isStreamQuery = isObjectOf<StreamQuery>(QUERY);

export const isStreamAnswer = isObjectOf<StreamAnswer>({
  ...QUERY,
  origin: isOptional(isOriginRow),
});
