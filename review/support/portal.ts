/** A plain service with an unsafe and a safe route, and its callers. */
import type { Deployment } from "./deployment.ts";
import {
  type CallerAttempt,
  KeptChannelCaller,
} from "./kept_channel_caller.ts";
import type { EventRecord } from "./record.ts";
import type { Replica, ReplicaOptions } from "./replica.ts";

const HOST = "portal.example";
const SERVICE = "member-portal";
const SLOTS = 6;
const WORK_MILLISECONDS = 43;
const PAUSE_MILLISECONDS = 60;
const TIME_BUDGET_MILLISECONDS = 1_000;
/** The rule LOST is broken above this number, at one machine. */
const MAX_LOST = 3;

export const PORTAL_REPLICAS = 4;

export const PORTAL_CONFIGURATION = {
  version: 7,
  routes: [route("submit", "unsafe"), route("status", "safe")],
  services: [{
    name: SERVICE,
    health_path: "/healthz",
    max_connections: 100,
    protocol: "h1",
    tls: false,
  }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

export function portalReplicaOptions(
  index: number,
  record: EventRecord,
): ReplicaOptions {
  return {
    id: `i-portal-${index}`,
    service: SERVICE,
    zone: `hall-${index}`,
    slots: SLOTS,
    workMilliseconds: WORK_MILLISECONDS,
    record,
  };
}

/** Callers that keep their channels; every other one uses the unsafe route. */
export function makePortalCallers(
  count: number,
  { deployment, record }: {
    readonly deployment: Deployment;
    readonly record: EventRecord;
  },
): KeptChannelCaller[] {
  return Array.from({ length: count }, (_, index) => {
    const isUnsafe = index % 2 === 0;
    return new KeptChannelCaller({
      name: `r-${index}`,
      chooseEntry: () => deployment.rotation.choose(),
      requestsPerChannel: Infinity,
      method: isUnsafe ? "POST" : "GET",
      host: HOST,
      path: isUnsafe ? "/submit/2f" : "/status/2f",
      headers: {},
      body: isUnsafe ? "c".repeat(600) : "",
      timeBudgetMilliseconds: TIME_BUDGET_MILLISECONDS,
      pauseMilliseconds: PAUSE_MILLISECONDS,
      record,
    });
  });
}

/**
 * Requests of each entry that came on a kept channel, ran at sound replicas
 * only, and whose channel ended without an answer.
 */
export function countLostByEntry(
  attempts: readonly CallerAttempt[],
  { entries, replicas, isSound }: {
    readonly entries: number;
    readonly replicas: readonly Replica[];
    readonly isSound: (replica: Replica) => boolean;
  },
): number[] {
  const lost = Array.from({ length: entries }, () => 0);
  for (const { entry, isKeptChannel, requestId, status } of attempts) {
    const reached = replicas.filter(({ ran }) => ran.has(requestId));
    const isCounted = isKeptChannel && status === undefined &&
      reached.length > 0 && reached.every(isSound);
    if (isCounted) lost[entry] += 1;
  }
  return lost;
}

export function isLostRuleBroken(lostByEntry: readonly number[]): boolean {
  return Math.max(...lostByEntry) > MAX_LOST;
}

function route(name: string, type: string): Record<string, unknown> {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    route_type: type,
    timeout_ms: TIME_BUDGET_MILLISECONDS,
    target_latency_ms: 148,
    priority: 2,
    service: SERVICE,
    max_attempts: type === "safe" ? 2 : 1,
  };
}
