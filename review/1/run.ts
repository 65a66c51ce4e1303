/**
 * Replicas of a plain service spoil the status of 2 in 100 of their answers.
 * Counts the requests from kept channels that were passed on to sound replicas
 * and whose channels then ended without an answer.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { delay } from "../../test/stand_ins/stand_in_server.ts";
import { Deployment } from "../support/deployment.ts";
import {
  type CallerAttempt,
  KeptChannelCaller,
} from "../support/kept_channel_caller.ts";
import { EventRecord } from "../support/record.ts";
import { Replica, requestIdOf } from "../support/replica.ts";

const ENTRIES = 4;
const REPLICAS = 4;
/** Replicas that hand out wrong bytes; the pages allow a share of 0.5. */
const SPOILING_REPLICAS = 2;
/** One answer in this many is spoiled; the pages allow 0.02 of them. */
const ANSWERS_PER_SPOILED = 50;
const CALLERS = 32;
const WORK_MILLISECONDS = 43;
const PAUSE_MILLISECONDS = 60;
const TIME_BUDGET_MILLISECONDS = 1_000;
/** Machines are in touch after this time without a disruption. */
const STABLE_MILLISECONDS = 4_000;
/** How long replicas hand out wrong bytes, as the pages set it. */
const TROUBLE_MILLISECONDS = 5_000;
const CALM_MILLISECONDS = 4_000;
/** The rule is broken above this number, at one machine. */
const MAX_LOST = 3;
const HOST = "portal.example";

/** A replica that spoils the first digit of the status of some answers. */
class SpoilingReplica extends Replica {
  isSpoiling = false;
  spoiled = 0;
  #answers = 0;

  protected override sendAnswer(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    this.#answers += 1;
    const isSpoiled = this.isSpoiling &&
      this.#answers % ANSWERS_PER_SPOILED === 0;
    if (!isSpoiled) return super.sendAnswer(request, response, body);
    this.spoiled += 1;
    const requestId = requestIdOf(request);
    this.options.record.write("replica_spoils", {
      replica: this.id,
      requestId,
    });
    request.socket.end(
      `HTTP/1.1 000 OK\r\nX-Request-Id: ${requestId}\r\n` +
        `X-Response-Seal: ${this.id}.${requestId}.${body.length}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  }
}

function makeReplicas(record: EventRecord): Replica[] {
  return Array.from({ length: REPLICAS }, (_, index) => {
    const options = {
      id: `i-portal-${index}`,
      service: "member-portal",
      zone: `hall-${index}`,
      slots: 6,
      workMilliseconds: WORK_MILLISECONDS,
      record,
    };
    return index < SPOILING_REPLICAS
      ? new SpoilingReplica(options)
      : new Replica(options);
  });
}

function route(name: string, type: string): Record<string, unknown> {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    route_type: type,
    timeout_ms: TIME_BUDGET_MILLISECONDS,
    target_latency_ms: 121,
    priority: 2,
    service: "member-portal",
    max_attempts: type === "safe" ? 2 : 1,
  };
}

const CONFIGURATION = {
  version: 7,
  routes: [route("checkin", "unsafe"), route("permit", "safe")],
  services: [{
    name: "member-portal",
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

function makeCallers(
  { rotation }: Deployment,
  record: EventRecord,
): KeptChannelCaller[] {
  return Array.from({ length: CALLERS }, (_, index) => {
    const isUnsafe = index % 2 === 0;
    return new KeptChannelCaller({
      name: `r-${index}`,
      chooseEntry: () => rotation.choose(),
      requestsPerChannel: Infinity,
      method: isUnsafe ? "POST" : "GET",
      host: HOST,
      path: isUnsafe ? "/checkin/2f" : "/permit/2f",
      headers: {},
      body: isUnsafe ? "c".repeat(600) : "",
      timeBudgetMilliseconds: TIME_BUDGET_MILLISECONDS,
      pauseMilliseconds: PAUSE_MILLISECONDS,
      record,
    });
  });
}

/** Requests that the rule counts, by entry. */
function countLost(
  attempts: readonly CallerAttempt[],
  replicas: readonly Replica[],
): Map<number, number> {
  const sound = replicas.filter((each) => !(each instanceof SpoilingReplica));
  const lost = new Map<number, number>();
  for (const { entry, isKeptChannel, requestId, status } of attempts) {
    const wasPassedOn = sound.some((each) => each.ran.has(requestId)) &&
      !replicas.some((each) =>
        each instanceof SpoilingReplica && each.ran.has(requestId)
      );
    if (!isKeptChannel || status !== undefined || !wasPassedOn) continue;
    lost.set(entry, 1 + (lost.get(entry) ?? 0));
  }
  return lost;
}

async function main(folder: string, hasTrouble: boolean): Promise<number> {
  const record = new EventRecord(`${folder}/record.txt`);
  const replicas = makeReplicas(record);
  const deployment = new Deployment({
    entries: ENTRIES,
    configuration: CONFIGURATION,
    replicas,
    record,
  });
  let callers: KeptChannelCaller[] = [];
  try {
    await deployment.start();
    callers = makeCallers(deployment, record);
    const runs = callers.map((caller) => caller.run());
    await delay(STABLE_MILLISECONDS);
    setSpoiling(replicas, hasTrouble);
    await delay(TROUBLE_MILLISECONDS);
    setSpoiling(replicas, false);
    await delay(CALM_MILLISECONDS);
    for (const caller of callers) caller.stop();
    await Promise.all(runs);
  } finally {
    await deployment.close();
  }
  const attempts = callers.flatMap((caller) => caller.attempts);
  const lost = countLost(attempts, replicas);
  const verdict = {
    attempts: attempts.length,
    answered: attempts.filter(({ status }) => status === 200).length,
    spoiled: replicas.reduce(
      (sum, each) => sum + (each instanceof SpoilingReplica ? each.spoiled : 0),
      0,
    ),
    ownEndsByEntry: deployment.entries.map(({ ends }) => ends),
    lostByEntry: deployment.entries.map(({ index }) => lost.get(index) ?? 0),
  };
  const isBroken = Math.max(...verdict.lostByEntry) > MAX_LOST;
  record.write("verdict", { ...verdict, isBroken });
  await record.close();
  console.log(JSON.stringify({ ...verdict, isBroken }));
  if (verdict.answered === 0) return 2;
  return isBroken ? 1 : 0;
}

function setSpoiling(replicas: readonly Replica[], isSpoiling: boolean): void {
  for (const replica of replicas) {
    if (replica instanceof SpoilingReplica) replica.isSpoiling = isSpoiling;
  }
}

main(process.argv[2], process.env.TROUBLE !== "0").then(
  (code) => process.exit(code),
  (cause) => {
    console.error(cause);
    process.exit(2);
  },
);
