import {
  identifier,
  numbered,
  type ReplicaStartTime,
  type RequestId,
  type SoftwareVersion,
} from "../../src/core/identity/mod.ts";
import type {
  ForwardedRequest,
  RegisteredEndpoint,
} from "../../src/core/forwarding/mod.ts";
import { EntryFleet, type EntryFleetOptions } from "./entry_fleet.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEndpoint,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
  PORTAL,
} from "./forwarding_fixtures.ts";
import type { RecordingSink, SentAttempt } from "./forwarding_harness.ts";

const DEADLINE_MILLISECONDS = 10_000;
/** Time for a response, an announcement or a search. */
const STEP_MILLISECONDS = 10;
const MAX_SEARCH_MILLISECONDS = 500;

/** A stream that a caller has begun. */
export interface BegunStream {
  readonly id: RequestId;
  readonly version: string;
}

export interface VersionedStreamsOptions
  extends Partial<Omit<EntryFleetOptions, "endpoints">> {
  readonly entries: number;
  /** Software version of each replica. */
  readonly versions: readonly string[];
  /** True: the replicas are engines that decode. */
  readonly areEngines?: boolean;
}

/**
 * A fleet on virtual time with replicas of several software versions, whose
 * streams callers begin and take up.
 */
export class VersionedStreams {
  readonly fleet: EntryFleet;
  readonly endpoints: readonly RegisteredEndpoint[];
  /** Attempts that replicas have received, the last one last. */
  readonly attempts: SentAttempt[] = [];
  readonly #areEngines: boolean;
  #requests = 0;

  constructor(options: VersionedStreamsOptions) {
    const { areEngines = false, versions } = options;
    this.#areEngines = areEngines;
    this.endpoints = versions.map((version, index) => {
      const softwareVersion = identifier<SoftwareVersion>(version);
      const startedAt = numbered<ReplicaStartTime>(0);
      const id = `replica-${index}`;
      return areEngines
        ? makeEngine(id, "decode", { softwareVersion, startedAt })
        : makeEndpoint(id, { softwareVersion, startedAt });
    });
    this.fleet = new EntryFleet({
      zones: 3,
      configuration: makeConfiguration({
        routes: [makeRoute({
          repeat: "stream",
          resumable: true,
          timeoutMilliseconds: DEADLINE_MILLISECONDS,
          shares: [{ pool: areEngines ? ENGINES : PORTAL, weight: 1 }],
        })],
      }),
      ...options,
      endpoints: this.endpoints,
    });
    this.fleet.onSend = (attempt) => this.attempts.push(attempt);
  }

  /** Version of the replica that received the attempt. */
  versionAt({ options }: SentAttempt): string {
    const endpoint = this.endpoints.find(({ id }) => id === options.endpoint);
    return String(endpoint?.softwareVersion);
  }

  /** Begins a stream, whose caller leaves after one event. */
  async begin(
    entry: number,
    values: Partial<ForwardedRequest> = {},
  ): Promise<BegunStream> {
    const { attempt, caller, id } = await this.submit(entry, values);
    if (attempt === undefined) throw new Error(`Nothing was sent for ${id}`);
    await attempt.head();
    await attempt.chunk("id: 1\ndata: a\n\n");
    caller.disconnect();
    return { id, version: this.versionAt(attempt) };
  }

  /** Takes a stream up; the attempt is absent if nothing was sent. */
  async takeUp(
    entry: number,
    { id: resumes }: Pick<BegunStream, "id">,
    values: Partial<ForwardedRequest> = {},
  ) {
    return await this.submit(entry, { resumes, lastEventId: "1", ...values });
  }

  /** Submits a request; settles once it was sent or refused. */
  async submit(
    entry: number,
    values: Partial<ForwardedRequest> = {},
  ): Promise<{
    readonly id: RequestId;
    readonly caller: RecordingSink;
    readonly attempt: SentAttempt | undefined;
  }> {
    const { fleet } = this;
    this.#requests += 1;
    const id = identifier<RequestId>(`request-${this.#requests}`);
    const request = makeRequest({
      id,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      ...(this.#areEngines &&
        { prompt: makePrompt(id, { shared: 100, own: 9 }) }),
      ...values,
    });
    const caller = fleet.submit(entry, request);
    const sentTo = () =>
      this.attempts.find((each) => each.request.id === request.id);
    const end = fleet.timer.now() + MAX_SEARCH_MILLISECONDS;
    while (
      sentTo() === undefined && caller.refusal === undefined &&
      fleet.timer.now() < end
    ) {
      await fleet.timer.advance(STEP_MILLISECONDS);
    }
    return { id: request.id, caller, attempt: sentTo() };
  }

  close(): void {
    for (const entry of this.fleet.entries) entry.close();
  }
}
