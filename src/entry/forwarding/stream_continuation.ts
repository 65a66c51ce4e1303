import { err, ok, type Result } from "neverthrow";
import type {
  ForwardedRequest,
  Route,
  StreamOrigin,
  Workspace,
} from "../../core/forwarding/mod.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import type { VersionProof } from "./version_listing.ts";

/**
 * Retry delay where an entry that could not be reached may know the stream, or
 * where this entry has just started.
 */
const UNANSWERED_RETRY_MILLISECONDS = 250;

/** Why a stream can't be continued; nothing has run. */
export interface ContinuationRefusal {
  readonly reason:
    | "stream_origin_unknown"
    | "stream_origin_ambiguous"
    | "stream_pool_changed";
  /** Absent if a retry is of no use. */
  readonly retryAfterMilliseconds?: number;
}

export interface ContinuationOptions {
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly workspace: Workspace | undefined;
}

/**
 * Finds which pool and software version wrote the beginning of the stream that
 * the caller takes up. Without proof there is no origin: a version chosen by
 * chance would write events that do not fit those the caller has.
 */
export async function findOrigin(
  dependencies: ForwardingDependencies,
  options: ContinuationOptions,
): Promise<Result<StreamOrigin, ContinuationRefusal>> {
  const { request, route, workspace } = options;
  const { contact, streams, timer, versions } = dependencies;
  const startedAt = timer.now();
  const lookup = request.resumes === undefined ? undefined : await streams.find(
    streams.digestOf(request.resumes, workspace?.id),
  );
  const proof = lookup?.origin === undefined
    ? await findSoleOrigin(dependencies, options)
    : undefined;
  const found = lookup?.origin ?? proof?.origin;
  const outcome = proof?.origin === undefined
    ? lookup?.outcome ?? "unknown"
    : "sole_version";
  dependencies.observe("continued", {
    requestId: request.id,
    route: route.name,
    outcome,
    ...(typeof found === "object" && found),
    ...(lookup && { asked: lookup.asked, answered: lookup.answered }),
    ...(proof && {
      versionList: proof.ground,
      listAgeMilliseconds: Math.round(versions.ageMilliseconds),
    }),
    registrationAgeMilliseconds: Math.round(
      contact.registrationAgeMilliseconds,
    ),
    milliseconds: Math.round(timer.now() - startedAt),
  });
  if (found === undefined) {
    const mayBeKnownSoon = outcome === "unanswered" ||
      proof?.ground === "list_not_read" || proof?.ground === "list_restored";
    return err(unknownOrigin(mayBeKnownSoon));
  }
  if (found === "ambiguous") return err({ reason: "stream_origin_ambiguous" });
  const isServed = route.shares.some(({ pool }) => pool === found.pool);
  return isServed ? ok(found) : err({ reason: "stream_pool_changed" });
}

/** What the list of versions says of all streams of a route. */
interface ListProof {
  readonly ground:
    | "sole_version"
    | "several_pools"
    | Exclude<VersionProof, object>;
  readonly origin?: StreamOrigin;
}

/** Finds the origin of every stream of the route, if there can be only one. */
async function findSoleOrigin(
  { formerRoutes, versions }: ForwardingDependencies,
  { request: { host, target }, route }: ContinuationOptions,
): Promise<ListProof> {
  const [pool, ...others] = new Set([
    ...route.shares.map((share) => share.pool),
    ...formerRoutes.poolsOf(host, target),
  ]);
  if (pool === undefined || others.length > 0) {
    return { ground: "several_pools" };
  }
  const proof = await versions.confirmSoleVersion(pool);
  if (typeof proof === "string") return { ground: proof };
  return { ground: "sole_version", origin: { pool, ...proof } };
}

function unknownOrigin(mayBeKnownSoon: boolean): ContinuationRefusal {
  return {
    reason: "stream_origin_unknown",
    ...(mayBeKnownSoon &&
      { retryAfterMilliseconds: UNANSWERED_RETRY_MILLISECONDS }),
  };
}

/** True if the caller takes up a stream that an earlier attempt began. */
export function isContinuation(
  { lastEventId, resumes }: ForwardedRequest,
  { repeat }: Route,
): boolean {
  return repeat === "stream" &&
    (lastEventId !== undefined || resumes !== undefined);
}
