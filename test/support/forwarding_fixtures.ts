/** Test values for the forwarding path. */
import {
  type AvailabilityZoneId,
  type EndpointId,
  identifier,
  type ModelName,
  type RequestId,
  type ServiceName,
  type SoftwareVersion,
} from "../../src/core/identity/mod.ts";
import {
  EngineEstimates,
  type ForwardedRequest,
  type ForwardingConfiguration,
  type Pool,
  type Prompt,
  type RegisteredEndpoint,
  type Route,
} from "../../src/core/forwarding/mod.ts";

export const ENGINES = identifier<ServiceName>("engines");
export const PORTAL = identifier<ServiceName>("portal");
/** Software version of all endpoints that name no other. */
export const VERSION = identifier<SoftwareVersion>("v1");

export function makeRoute(values: Partial<Route> = {}): Route {
  return {
    name: "route",
    host: "one.example",
    pathPrefix: "/",
    repeat: "idempotent",
    resumable: false,
    timeoutMilliseconds: 2_000,
    targetMilliseconds: 150,
    rank: 0,
    mostAttempts: 2,
    shares: [{ pool: PORTAL, weight: 1 }],
    ...values,
  };
}

export function makePool(values: Partial<Pool> = {}): Pool {
  return { name: PORTAL, mostConnections: 100, ...values };
}

export const ENGINE_POOL: Pool = makePool({
  name: ENGINES,
  engine: {
    memoryTokens: 200_000,
    cacheTokenBytes: 327_680,
    linkMegabitsPerSecond: 8_500_000,
  },
});

/** Learned estimates of engines that prefill 310 tokens per millisecond. */
export function knownEstimates(): EngineEstimates {
  const estimates = new EngineEstimates();
  estimates.recordPeerReport([ENGINES, 96, 0, 1 / 310, 0.0921]);
  return estimates;
}

export function makeConfiguration(
  values: Partial<ForwardingConfiguration> = {},
): ForwardingConfiguration {
  return {
    version: 1,
    routes: [makeRoute()],
    pools: new Map([[PORTAL, makePool()], [ENGINES, ENGINE_POOL]]),
    limits: {
      mostHeaderBytes: 16_384,
      mostBodyBytes: 4_000_000,
      headerMilliseconds: 3_000,
      idleMilliseconds: 15_000,
    },
    ...values,
  };
}

export function makeEndpoint(
  id: string,
  values: Partial<RegisteredEndpoint> = {},
): RegisteredEndpoint {
  return {
    id: identifier<EndpointId>(id),
    pool: PORTAL,
    softwareVersion: VERSION,
    address: `${id}:1`,
    availabilityZone: identifier<AvailabilityZoneId>("zone-1"),
    slots: 6,
    leaving: false,
    ...values,
  };
}

export function makeEngine(
  id: string,
  role: "prefill" | "decode",
  values: Partial<RegisteredEndpoint> = {},
): RegisteredEndpoint {
  return makeEndpoint(id, { pool: ENGINES, slots: 32, role, ...values });
}

/** Makes a prompt of two shared parts and one part of its own. */
export function makePrompt(
  subject: string,
  tokens: { readonly shared?: number; readonly own?: number } = {},
): Prompt {
  const shared = tokens.shared ?? 6_000;
  const own = tokens.own ?? 3_000;
  return {
    model: identifier<ModelName>("m"),
    inputTokens: shared + own,
    mostOutputTokens: 100,
    parts: [
      { id: "all", tokens: shared / 2 },
      { id: subject, tokens: shared / 2 },
      { id: `${subject}-own`, tokens: own },
    ],
  };
}

export function makeRequest(
  values: Partial<ForwardedRequest> = {},
): ForwardedRequest {
  return {
    id: identifier<RequestId>("request-1"),
    method: "POST",
    target: "/x",
    host: "one.example",
    headers: ["Host", "one.example"],
    identityHeaders: [],
    credentials: { kind: "none" },
    body: Buffer.from("body"),
    deadlineMilliseconds: 1_000,
    lastEventId: undefined,
    resumes: undefined,
    prompt: undefined,
    ...values,
  };
}
