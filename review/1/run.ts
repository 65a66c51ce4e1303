/**
 * Replicas of a plain service spoil the status of 2 in 100 of their answers.
 * Counts the requests from kept channels that were passed on to sound replicas
 * and whose channels then ended without an answer.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { delay } from "../../test/stand_ins/stand_in_server.ts";
import { Deployment } from "../support/deployment.ts";
import type { KeptChannelCaller } from "../support/kept_channel_caller.ts";
import {
  countLostByEntry,
  isLostRuleBroken,
  makePortalCallers,
  PORTAL_CONFIGURATION,
  PORTAL_REPLICAS,
  portalReplicaOptions,
} from "../support/portal.ts";
import { EventRecord } from "../support/record.ts";
import { Replica, requestIdOf } from "../support/replica.ts";
import { runCase } from "../support/run_case.ts";

const ENTRIES = 4;
const CALLERS = 32;
/** Replicas that hand out wrong bytes; the pages allow a share of 0.5. */
const SPOILING_REPLICAS = 2;
/** One answer in this many is spoiled; the pages allow 0.02 of them. */
const ANSWERS_PER_SPOILED = 50;
/** Machines are in touch after this time without a disruption. */
const STABLE_MILLISECONDS = 4_000;
/** How long replicas hand out wrong bytes, as the pages set it. */
const TROUBLE_MILLISECONDS = 5_000;
const CALM_MILLISECONDS = 4_000;

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
    const { record } = this.options;
    const requestId = requestIdOf(request);
    record.write("replica_spoils", { replica: this.id, requestId });
    request.socket.end(
      `HTTP/1.1 000 OK\r\nX-Request-Id: ${requestId}\r\n` +
        `X-Response-Seal: ${this.id}.${requestId}.${body.length}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  }
}

function makeReplicas(record: EventRecord): Replica[] {
  return Array.from({ length: PORTAL_REPLICAS }, (_, index) => {
    const options = portalReplicaOptions(index, record);
    return index < SPOILING_REPLICAS
      ? new SpoilingReplica(options)
      : new Replica(options);
  });
}

async function main(folder: string, hasTrouble: boolean): Promise<number> {
  const record = new EventRecord(`${folder}/record.txt`);
  const replicas = makeReplicas(record);
  const spoiling = replicas.flatMap((each) =>
    each instanceof SpoilingReplica ? each : []
  );
  const deployment = new Deployment({
    entries: ENTRIES,
    configuration: PORTAL_CONFIGURATION,
    replicas,
    record,
  });
  let callers: KeptChannelCaller[] = [];
  try {
    await deployment.start();
    callers = makePortalCallers(CALLERS, { deployment, record });
    const runs = callers.map((caller) => caller.run());
    await delay(STABLE_MILLISECONDS);
    for (const each of spoiling) each.isSpoiling = hasTrouble;
    await delay(TROUBLE_MILLISECONDS);
    for (const each of spoiling) each.isSpoiling = false;
    await delay(CALM_MILLISECONDS);
    for (const caller of callers) caller.stop();
    await Promise.all(runs);
  } finally {
    await deployment.close();
  }
  const attempts = callers.flatMap((caller) => caller.attempts);
  const lostByEntry = countLostByEntry(attempts, {
    entries: ENTRIES,
    replicas,
    isSound: (replica) => !(replica instanceof SpoilingReplica),
  });
  const answered = attempts.filter(({ status }) => status === 200).length;
  const isBroken = isLostRuleBroken(lostByEntry);
  await record.close({
    attempts: attempts.length,
    answered,
    spoiled: spoiling.reduce((sum, each) => sum + each.spoiled, 0),
    ownEndsByEntry: deployment.entries.map(({ ends }) => ends),
    lostByEntry,
    isBroken,
  });
  if (answered === 0) return 2;
  return isBroken ? 1 : 0;
}

runCase(main);
