import {
  combineOrigins,
  type EndpointRegistry,
  type EndpointRun,
  type KnownOrigin,
  type LoadOwners,
  type RegisteredEndpoint,
  type StreamKeepers,
  type StreamOrigins,
  type StreamRecord,
} from "../../core/forwarding/mod.ts";
import {
  identifier,
  type ProcessId,
  type RequestId,
  type StreamDigest,
  type WorkspaceId,
} from "../../core/identity/mod.ts";
import type { Subscription, TimerService } from "../../core/time/mod.ts";
import type { SendToPeer } from "./notifications/notifications.ts";
import type { QueryAllowance } from "./query_allowance.ts";
import {
  decodeOrigin,
  decodeStreams,
  encodeOrigin,
  encodeStreams,
  STREAM_ANSWER_METHOD,
  STREAM_QUERY_METHOD,
  type StreamAnswer,
  type StreamNotification,
  type StreamQuery,
  STREAMS_METHOD,
} from "./notifications/stream_notification.ts";

/**
 * Number of other entries that keep the origin of a stream. In a large fleet,
 * three of them are rarely all lost with one of three availability zones.
 */
const KEEPERS = 3;
/** Fleets with up to this many other entries keep each origin everywhere. */
const SMALL_FLEET_PEERS = 8;
/**
 * Number of entries that are asked first. It exceeds the number of keepers, as
 * the lists of the fleet may differ between the entry that chose the keepers
 * and the one that asks them.
 */
const ASKED_FIRST = 6;
/** How long origins that follow another one are batched for their keepers. */
const BATCH_MILLISECONDS = 4;
/** Timeout of a query to the entries that should know the stream. */
const FIRST_TIMEOUT_MILLISECONDS = 60;
/** Timeout of a query to all others, which only the lost or late ones need. */
const LAST_TIMEOUT_MILLISECONDS = 120;
/** Streams that are sent again when an entry starts or stops. */
const HANDED_ON_MILLISECONDS = 30_000;
/** Streams in one datagram. */
const MAX_ROWS = 400;
/**
 * Time before a change of a replica's version is noticed in which its new run
 * may already have written, under the same id.
 */
const LATE_REGISTRATION_MILLISECONDS = 5_000;

/** How the origin of a stream was found, or that it was not. */
export type StreamLookupOutcome =
  | "known"
  | "answered"
  | "answered_late"
  | "unknown"
  | "unanswered";

/** Result of a lookup; the origin is absent if no entry in reach knows it. */
export interface StreamLookup {
  readonly origin?: KnownOrigin;
  readonly outcome: StreamLookupOutcome;
  /** Number of entries that were asked, and of those that answered in time. */
  readonly asked: number;
  readonly answered: number;
}

/** What the entries that were asked have answered together. */
interface QueryResult {
  readonly origin?: KnownOrigin;
  readonly asked: number;
  readonly answered: number;
}

const NOBODY_ASKED: QueryResult = { asked: 0, answered: 0 };

export interface StreamOriginExchangeOptions {
  readonly self: ProcessId;
  readonly timer: TimerService;
  readonly registry: EndpointRegistry;
  readonly origins: StreamOrigins;
  readonly keepers: StreamKeepers;
  readonly owners: LoadOwners;
  readonly allowance: Pick<QueryAllowance, "take">;
  readonly send: SendToPeer;
  /** Entries in the list of the fleet, without this one. */
  readonly peers: () => readonly ProcessId[];
  readonly onOutcome: (outcome: StreamLookupOutcome) => void;
  /** Called when a peer has answered a query in time. */
  readonly onAnswered?: () => void;
  /** Digest of the attempt that began a stream. */
  readonly digestOf: (
    attempt: RequestId,
    workspace: WorkspaceId | undefined,
  ) => StreamDigest;
}

interface PendingQuery {
  readonly stream: StreamDigest;
  readonly waiting: Set<ProcessId>;
  /** What the answers so far say together. */
  found: KnownOrigin | undefined;
  readonly settle: () => void;
}

interface RecentStream extends StreamRecord {
  readonly writer: EndpointRun;
  readonly isOwn: boolean;
  readonly recordedAt: number;
}

/**
 * Keeps the origins of this entry's streams at other entries, and finds those
 * of streams that began elsewhere. Origins are sent as soon as a replica has
 * responded, without waiting for the keepers.
 */
export class StreamOriginExchange {
  readonly #options: StreamOriginExchangeOptions;
  readonly #pending = new Map<number, PendingQuery>();
  /** Streams of the last seconds whose writer is known, the oldest first. */
  readonly #recentStreams: RecentStream[] = [];
  #unsent: StreamRecord[] = [];
  #batch: Subscription | undefined;
  #lastId = 0;

  constructor(options: StreamOriginExchangeOptions) {
    this.#options = options;
  }

  /** Number of streams that are kept here. */
  get size(): number {
    return this.#options.origins.size;
  }

  /**
   * Identifies a stream by the attempt that brought its first event. Attempts of
   * another workspace with the same id are other streams.
   */
  digestOf(attempt: RequestId, workspace?: WorkspaceId): StreamDigest {
    return this.#options.digestOf(attempt, workspace);
  }

  /** Records that this replica writes the stream, here and at the keepers. */
  announce(stream: StreamDigest, writer: RegisteredEndpoint): void {
    const { registry, timer } = this.#options;
    const { pool, softwareVersion } = writer;
    const current = registry.get(writer.id) ?? writer;
    const origin: KnownOrigin = current.softwareVersion === softwareVersion
      ? { pool, softwareVersion }
      : "ambiguous";
    const { id, startedAt } = writer;
    const record = { stream, origin, writer: { id, startedAt } };
    this.#noteRecent({ ...record, isOwn: true, recordedAt: timer.now() });
    this.#distribute([record]);
  }

  /**
   * Marks streams whose writer may have been a run of another version than the
   * registry showed, as the registration of a restarted replica is late. Each
   * keeper does so by itself: the news from the stream's entry may be lost.
   */
  onEndpointChange(endpoint: RegisteredEndpoint): void {
    const oldest = this.#options.timer.now() - LATE_REGISTRATION_MILLISECONDS;
    const inDoubt = this.#recentStreams.filter((each) =>
      each.recordedAt >= oldest && mayBeWrittenBy(endpoint, each)
    );
    for (const { isOwn, stream } of inDoubt) {
      if (!isOwn) this.#options.origins.record(ambiguous(stream));
    }
    this.#distribute(
      inDoubt.filter(({ isOwn }) => isOwn).map(({ stream }) =>
        ambiguous(stream)
      ),
    );
  }

  /** Sends a peer that has started the recent streams that it should keep. */
  onPeerStart(peer: ProcessId): void {
    const records = this.#recent().filter(({ stream }) =>
      this.#keepersOf(stream, peer).includes(peer)
    );
    this.#sendRecords(peer, records);
  }

  /** Sends the recent streams to the entries that keep them without this one. */
  handOn(): void {
    this.#unsent.push(...this.#recent());
    this.flush();
  }

  /** Sends what is still batched. */
  flush(): void {
    this.#batch?.cancel();
    this.#batch = undefined;
    const byKeeper = new Map<ProcessId, StreamRecord[]>();
    for (const record of this.#unsent.splice(0)) {
      for (const keeper of this.#keepersOf(record.stream)) {
        const records = byKeeper.get(keeper);
        if (records !== undefined) records.push(record);
        else byKeeper.set(keeper, [record]);
      }
    }
    for (const [keeper, records] of byKeeper) {
      this.#sendRecords(keeper, records);
    }
  }

  /** True if runs of several versions may have written the stream. */
  isAmbiguous(stream: StreamDigest): boolean {
    return this.#options.origins.find(stream) === "ambiguous";
  }

  /** Finds the origin of a stream that a caller takes up. */
  async find(stream: StreamDigest): Promise<StreamLookup> {
    const lookup = await this.#find(stream);
    this.#options.onOutcome(lookup.outcome);
    return lookup;
  }

  /** Records the origins of a peer's streams. */
  onStreams(params: StreamNotification): void {
    const { origins, registry, timer } = this.#options;
    for (const record of decodeStreams(params)) {
      origins.record(record);
      const { stream, writer } = record;
      if (writer === undefined) continue;
      const recordedAt = timer.now();
      const recent = { ...record, writer, isOwn: false, recordedAt };
      this.#noteRecent(recent);
      const current = registry.get(writer.id);
      if (current !== undefined && mayBeWrittenBy(current, recent)) {
        origins.record(ambiguous(stream));
      }
    }
  }

  /** Answers a peer's query. */
  onQuery(params: StreamQuery): void {
    const { origins, self, send } = this.#options;
    const origin = origins.find(identifier<StreamDigest>(params.stream));
    send(identifier<ProcessId>(params.entry), {
      method: STREAM_ANSWER_METHOD,
      params: {
        entry: self,
        id: params.id,
        stream: params.stream,
        ...(origin !== undefined && { origin: encodeOrigin(origin) }),
      },
    });
  }

  /** Applies a peer's answer; ignores one that matches no pending query. */
  onAnswer(params: StreamAnswer): void {
    const query = this.#pending.get(params.id);
    const peer = identifier<ProcessId>(params.entry);
    // A late answer to the former process may have the id of another query.
    if (query === undefined || query.stream !== params.stream) return;
    if (!query.waiting.delete(peer)) return;
    this.#options.onAnswered?.();
    if (params.origin !== undefined) {
      query.found = combineOrigins(query.found, decodeOrigin(params.origin));
    }
    const isSettled = query.found === "ambiguous" || query.waiting.size === 0;
    if (isSettled) query.settle();
  }

  async #find(stream: StreamDigest): Promise<StreamLookup> {
    const { allowance, keepers, origins, peers } = this.#options;
    const known = origins.find(stream);
    if (known !== undefined) {
      return { origin: known, outcome: "known", ...NOBODY_ASKED };
    }
    const isSmall = peers().length <= SMALL_FLEET_PEERS;
    const first = isSmall
      ? peers()
      : keepers.keepersOf(stream, { count: ASKED_FIRST });
    const answer = await this.#query(first, {
      stream,
      timeoutMilliseconds: FIRST_TIMEOUT_MILLISECONDS,
    });
    if (answer.origin !== undefined) return { ...answer, outcome: "answered" };
    const others = peers().filter((each) => !first.includes(each));
    const mayAskOthers = others.length > 0 && allowance.take(others.length);
    const last = mayAskOthers
      ? await this.#query(others, {
        stream,
        timeoutMilliseconds: LAST_TIMEOUT_MILLISECONDS,
      })
      : NOBODY_ASKED;
    const asked = answer.asked + last.asked;
    const answered = answer.answered + last.answered;
    // An announcement may have arrived in the meantime.
    const origin = origins.find(stream);
    if (origin !== undefined) {
      return { origin, outcome: "answered_late", asked, answered };
    }
    const isComplete = answered > 0 &&
      answered === first.length + others.length;
    return { outcome: isComplete ? "unknown" : "unanswered", asked, answered };
  }

  /**
   * Settles once all have answered or the time is up. An entry that knows one
   * origin does not prove that no other entry knows another one, as a datagram
   * to it may be lost or late; only "ambiguous" settles the query at once.
   */
  async #query(
    asked: readonly ProcessId[],
    { stream, timeoutMilliseconds }: {
      readonly stream: StreamDigest;
      readonly timeoutMilliseconds: number;
    },
  ): Promise<QueryResult> {
    if (asked.length === 0) return NOBODY_ASKED;
    const { origins, self, send, timer } = this.#options;
    this.#lastId += 1;
    const id = this.#lastId;
    const waiting = new Set(asked);
    let timeout: Subscription | undefined;
    await new Promise<void>((settle) => {
      this.#pending.set(id, { stream, waiting, found: undefined, settle });
      timeout = timer.after(timeoutMilliseconds, settle);
      const params = { entry: self, id, stream };
      for (const peer of asked) {
        send(peer, { method: STREAM_QUERY_METHOD, params });
      }
    });
    timeout?.cancel();
    const found = this.#pending.get(id)?.found;
    this.#pending.delete(id);
    if (found !== undefined) origins.record({ stream, origin: found });
    // An announcement that has arrived in the meantime counts with the answers.
    return {
      origin: origins.find(stream),
      asked: asked.length,
      answered: asked.length - waiting.size,
    };
  }

  #noteRecent(recent: RecentStream): void {
    const oldest = recent.recordedAt - LATE_REGISTRATION_MILLISECONDS;
    const kept = this.#recentStreams;
    const firstKept = kept.findIndex((each) => each.recordedAt >= oldest);
    kept.splice(0, firstKept === -1 ? kept.length : firstKept);
    kept.push(recent);
  }

  #distribute(records: readonly StreamRecord[]): void {
    if (records.length === 0) return;
    const { origins, timer } = this.#options;
    for (const each of records) origins.record(each);
    this.#unsent.push(...records);
    if (this.#batch !== undefined) return;
    // The first one is sent at once: it outlives a crash from then on.
    this.flush();
    this.#batch = timer.after(BATCH_MILLISECONDS, () => this.flush());
  }

  #recent(): StreamRecord[] {
    return this.#options.origins.recent(HANDED_ON_MILLISECONDS);
  }

  /** Keepers that have been heard of lately; `started` counts as one. */
  #keepersOf(
    stream: StreamDigest,
    started?: ProcessId,
  ): readonly ProcessId[] {
    const { keepers, owners, peers } = this.#options;
    const fleet = peers();
    if (fleet.length <= SMALL_FLEET_PEERS) return fleet;
    const live = keepers.keepersOf(stream, {
      count: KEEPERS,
      isUsable: (entry) => entry === started || owners.isLive(entry),
    });
    return live.length > 0 ? live : keepers.keepersOf(stream, {
      count: KEEPERS,
    });
  }

  #sendRecords(peer: ProcessId, records: readonly StreamRecord[]): void {
    const { send } = this.#options;
    for (let from = 0; from < records.length; from += MAX_ROWS) {
      const part = records.slice(from, from + MAX_ROWS);
      send(peer, { method: STREAMS_METHOD, params: encodeStreams(part) });
    }
  }
}

function ambiguous(stream: StreamDigest): StreamRecord {
  return { stream, origin: "ambiguous" };
}

/** True if this run of another version may have written the stream instead. */
function mayBeWrittenBy(
  { id, softwareVersion, startedAt }: RegisteredEndpoint,
  { isOwn, origin, writer }: RecentStream,
): boolean {
  const isOtherVersion = writer.id === id && origin !== "ambiguous" &&
    origin.softwareVersion !== softwareVersion;
  // The stream's entry may have read a newer registration than this one has.
  const isLater = startedAt !== undefined && writer.startedAt !== undefined &&
    startedAt > writer.startedAt;
  return isOtherVersion && (isOwn || isLater);
}
