import type {
  ServiceName,
  SoftwareVersion,
  StreamDigest,
} from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { EndpointRun } from "../endpoints/endpoint_runs.ts";

/**
 * Time for which the origin of a stream is kept: longer than a stream and all
 * tries of its caller last.
 */
export const STREAM_LIFETIME_MILLISECONDS = 300_000;
/** Maximum number of streams that are kept; the oldest are dropped first. */
const MAX_STREAMS = 50_000;

/** Which replicas have written the beginning of a stream. */
export interface StreamOrigin {
  readonly pool: ServiceName;
  readonly softwareVersion: SoftwareVersion;
}

/** Origin of a stream; "ambiguous" if several versions may have written it. */
export type KnownOrigin = StreamOrigin | "ambiguous";

/** A stream and its origin. */
export interface StreamRecord {
  readonly stream: StreamDigest;
  readonly origin: KnownOrigin;
  /** Registered run that has just begun to write; absent from later copies. */
  readonly writer?: EndpointRun;
}

interface KeptOrigin {
  readonly origin: KnownOrigin;
  readonly recordedAt: number;
}

/**
 * Origins of resumable streams. What two software versions write does not fit
 * together, so only replicas of the same version may continue a stream.
 */
export class StreamOrigins {
  readonly #timer: TimerService;
  /** By stream, the oldest record first. */
  readonly #kept = new Map<StreamDigest, KeptOrigin>();
  /** One object for all streams of the same origin. */
  readonly #shared = new Map<string, StreamOrigin>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  get size(): number {
    return this.#kept.size;
  }

  /** Records an origin; a different one makes the stream ambiguous. */
  record({ origin, stream }: StreamRecord): void {
    const combined = combineOrigins(this.find(stream), origin);
    this.#kept.delete(stream);
    this.#kept.set(stream, {
      origin: this.#share(combined),
      recordedAt: this.#timer.now(),
    });
    this.#dropOldest();
  }

  /** The origin of the stream; undefined if it is not known. */
  find(stream: StreamDigest): KnownOrigin | undefined {
    const kept = this.#kept.get(stream);
    return kept !== undefined && this.#isCurrent(kept)
      ? kept.origin
      : undefined;
  }

  /** Streams that were recorded within this time. */
  recent(milliseconds: number): StreamRecord[] {
    const since = this.#timer.now() - milliseconds;
    const found: StreamRecord[] = [];
    for (const [stream, { origin, recordedAt }] of this.#kept) {
      if (recordedAt >= since) found.push({ stream, origin });
    }
    return found;
  }

  #share(origin: KnownOrigin): KnownOrigin {
    if (origin === "ambiguous") return origin;
    const key = JSON.stringify([origin.pool, origin.softwareVersion]);
    const shared = this.#shared.get(key);
    if (shared !== undefined) return shared;
    this.#shared.set(key, origin);
    return origin;
  }

  #isCurrent({ recordedAt }: KeptOrigin): boolean {
    return this.#timer.now() - recordedAt < STREAM_LIFETIME_MILLISECONDS;
  }

  #dropOldest(): void {
    for (const [stream, kept] of this.#kept) {
      if (this.#kept.size <= MAX_STREAMS && this.#isCurrent(kept)) return;
      this.#kept.delete(stream);
    }
  }
}

/** What two sources say together; "ambiguous" if they differ. */
export function combineOrigins(
  known: KnownOrigin | undefined,
  origin: KnownOrigin,
): KnownOrigin {
  return known === undefined || isSameOrigin(known, origin)
    ? origin
    : "ambiguous";
}

function isSameOrigin(left: KnownOrigin, right: KnownOrigin): boolean {
  if (left === "ambiguous" || right === "ambiguous") return left === right;
  return left.pool === right.pool &&
    left.softwareVersion === right.softwareVersion;
}
