import {
  authenticate,
  type AuthenticationFailure,
  type ForwardedRequest,
  isResumable,
  type Pool,
  type Route,
  type RouteTable,
  selectPool,
  type StreamOrigin,
  type Workspace,
} from "../../core/forwarding/mod.ts";
import { err, ok, type Result } from "neverthrow";
import type { LogFields } from "../../core/observation/mod.ts";
import type { Random } from "../../core/random/mod.ts";
import {
  RequestForwarder,
  RETRY_AFTER_MILLISECONDS,
} from "./request_forwarder.ts";
import type { CallerSink, ForwardingRefusal } from "./network_interfaces.ts";
import type { ForwardingDependencies } from "./forwarding_dependencies.ts";
import { findOrigin, isContinuation } from "./stream_continuation.ts";

/** Reason of a refusal of a request that names several positions. */
const AMBIGUOUS_POSITION = "ambiguous_position";
/** Reason of a refusal where no route matches. */
const NO_ROUTE = "no_route";

/**
 * Forwards a request: finds its route, authenticates the caller and runs the
 * request, or refuses it immediately.
 */
export async function forward(
  dependencies: ForwardingDependencies,
  options: { readonly request: ForwardedRequest; readonly sink: CallerSink },
): Promise<void> {
  const { request, sink } = options;
  const routes = dependencies.routes();
  const refuse = (refusal: ForwardingRefusal) => {
    const { reason, status } = refusal;
    const version = routes?.configuration.version;
    const requestId = request.id;
    dependencies.observe("refused", {
      requestId,
      route: "",
      status,
      reason,
      version,
      ...(reason === NO_ROUTE && currentness(dependencies)),
    });
    sink.refuse(refusal);
  };
  if (routes === undefined) {
    return refuse({
      status: 503,
      reason: "no_configuration",
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    });
  }
  const route = routes.find(request.host, request.target);
  if (route === undefined) return refuse({ status: 404, reason: NO_ROUTE });
  if (request.hasAmbiguousPosition === true) {
    return refuse({ status: 400, reason: AMBIGUOUS_POSITION });
  }
  const caller = identify(routes, { request, route });
  if (caller.isErr()) return refuse({ status: 401, reason: caller.error });
  // The caller's deadline, the route's timeout and its targets count from when
  // the caller sent the request.
  const arrived = dependencies.timer.now() - (request.unreadMilliseconds ?? 0);
  const found = isContinuation(request, route)
    ? await findOrigin(dependencies, {
      request,
      route,
      workspace: caller.value.workspace,
    })
    : ok(undefined);
  const origin = found.unwrapOr(undefined);
  const pool = found.isOk()
    ? choosePool(routes, { route, origin, random: dependencies.random })
    : undefined;
  const { versions } = dependencies;
  const mayBegin = origin === undefined && isResumable(route);
  if (pool !== undefined && mayBegin && versions.hasUnlisted) {
    await versions.listFirst(pool.name);
  }
  if (sink.isDisconnected) {
    const facts = { requestId: request.id, route: route.name, sends: 0 };
    return dependencies.observe("caller_gone", facts);
  }
  if (found.isErr()) return refuse({ status: 503, ...found.error });
  if (pool === undefined) return refuse({ status: 503, reason: "no_pool" });
  const task = { ...caller.value, route, pool, arrived, origin };
  await new RequestForwarder(dependencies, { task, sink }).run();
}

/** The pool that began the stream, or one of the route's by their weights. */
function choosePool(
  { configuration }: RouteTable,
  { origin, random, route }: {
    readonly origin?: StreamOrigin;
    readonly random: Random;
    readonly route: Route;
  },
): Pool | undefined {
  const name = origin?.pool ?? selectPool(route, random);
  return name === undefined ? undefined : configuration.pools.get(name);
}

/** Tells whether a route may be missing because this entry is behind. */
function currentness(
  { configurationStatus }: ForwardingDependencies,
): LogFields {
  const { ageMilliseconds, newestVersion } = configurationStatus;
  return {
    newestVersion,
    ageMilliseconds: ageMilliseconds && Math.round(ageMilliseconds),
  };
}

/** An authenticated caller's request, with the key removed from its headers. */
interface IdentifiedRequest {
  readonly request: ForwardedRequest;
  readonly workspace?: Workspace;
}

function identify(
  { keys }: RouteTable,
  { request, route }: {
    readonly request: ForwardedRequest;
    readonly route: Route;
  },
): Result<IdentifiedRequest, AuthenticationFailure> {
  if (keys === undefined) return ok({ request });
  const { credentials } = request;
  const isPublic = route.isPublic === true;
  const workspace = authenticate(keys, { credentials, isPublic });
  if (workspace.isErr()) return err(workspace.error);
  return ok({
    request: { ...request, identityHeaders: [] },
    workspace: workspace.value,
  });
}
