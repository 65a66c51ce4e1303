import {
  type ForwardedRequest,
  isPrefillEngine,
  isResumable,
  type RegisteredEndpoint,
  type Route,
  type StreamOrigin,
  type Workspace,
} from "../../core/forwarding/mod.ts";
import type { StreamDigest } from "../../core/identity/mod.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";

export interface StreamWriterOptions {
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly workspace?: Workspace;
  /** What has begun the stream that the caller takes up, if it takes up one. */
  readonly origin?: StreamOrigin;
}

/**
 * Which replicas may write the response to one request. Until a resumable
 * stream has begun, those of any version may; then only those of its version.
 */
export class StreamWriter {
  readonly #dependencies: ForwardingDependencies;
  readonly #options: StreamWriterOptions;
  #origin: StreamOrigin | undefined;
  /** Digest of this attempt, once a replica has responded. */
  #stream: StreamDigest | undefined;

  constructor(
    dependencies: ForwardingDependencies,
    options: StreamWriterOptions,
  ) {
    this.#dependencies = dependencies;
    this.#options = options;
    this.#origin = options.origin;
  }

  /**
   * Records that the replica has begun to write the response, also for the
   * caller's next attempts.
   */
  record(endpoint: RegisteredEndpoint): void {
    if (!this.#isResumable) return;
    const { pool, softwareVersion } = endpoint;
    this.#origin ??= { pool, softwareVersion };
    const { request, workspace } = this.#options;
    if (request.id === "") return;
    const { streams } = this.#dependencies;
    this.#stream = streams.digestOf(request.id, workspace?.id);
    streams.announce(this.#stream, endpoint);
  }

  /** Endpoints that may write what follows, and those that only prefill. */
  filter(
    endpoints: readonly RegisteredEndpoint[],
  ): readonly RegisteredEndpoint[] {
    const origin = this.#origin;
    if (origin === undefined) {
      const { versions } = this.#dependencies;
      return this.#isResumable
        ? versions.filterBeginners(endpoints)
        : endpoints;
    }
    // A prefill writes no event; its cache belongs to a version of weights.
    return endpoints.filter((endpoint) =>
      isPrefillEngine(endpoint) ||
      endpoint.softwareVersion === origin.softwareVersion
    );
  }

  /** True once a stream has begun that only some replicas may continue. */
  get hasBegun(): boolean {
    return this.#origin !== undefined;
  }

  /**
   * True if the stream that has begun may not be continued, as the replicas may
   * have been replaced by others under their ids since they were last known.
   */
  get isUnconfirmed(): boolean {
    return this.hasBegun && this.#dependencies.contact.isLost;
  }

  /** True if a new stream has to wait until a version is listed. */
  isUnlisted(endpoints: readonly RegisteredEndpoint[]): boolean {
    const mayBegin = this.#isResumable && !this.hasBegun;
    return mayBegin && !endpoints.every(isPrefillEngine) &&
      this.filter(endpoints).every(isPrefillEngine);
  }

  /** True if none of the filtered endpoints may continue the begun stream. */
  isGone(filtered: readonly RegisteredEndpoint[]): boolean {
    const isInDoubt = this.#stream !== undefined &&
      this.#dependencies.streams.isAmbiguous(this.#stream);
    return isInDoubt || filtered.every(isPrefillEngine);
  }

  /** True if replicas that may continue the stream may come back soon. */
  get mayReturn(): boolean {
    return this.#origin !== undefined &&
      this.#dependencies.versions.mayReturn(this.#origin);
  }

  get #isResumable(): boolean {
    return isResumable(this.#options.route);
  }
}
