/**
 * A configuration moves a route from one service to another, as the operators'
 * configurations do. Requests that are cut beside it break the rule LOST.
 */
import { delay } from "../../test/stand_ins/stand_in_server.ts";
import type { ReplicaScript } from "../../test/support/scripted_replica.ts";
import { Deployment, type RouteFields } from "./deployment.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  KeptChannelCaller,
} from "./kept_channel.ts";
import type { CaseOptions } from "./run_case.ts";

const ENTRIES = 2;
/** Traffic before the configuration. */
const BEFORE_MILLISECONDS = 8_000;
/** `config_apply_ms` and the second after it. */
const PLANNED_WORK_MILLISECONDS = 3_000;
/** From the rule: cuts beside a configuration count above this ratio. */
const MAX_CUT_RATIO = 3;
/** From the rule: a request that has used more of its time does not count. */
const MAX_USED_SHARE = 0.7;

/** A service with its replicas. */
export interface ScriptedService {
  readonly name: string;
  readonly replicas: number;
  readonly slots: number;
  readonly script: (replica: string) => ReplicaScript;
}

export interface MovedRouteOptions {
  /** Fields of the route besides its service. */
  readonly route: RouteFields;
  readonly from: ScriptedService;
  readonly to: ScriptedService;
  readonly request: CallerRequest;
  readonly callersPerEntry: number;
  readonly pauseMilliseconds: number;
  /** Traffic after the configuration. */
  readonly afterMilliseconds: number;
}

/** True if the rule held. */
export async function playMovedRoute(
  options: MovedRouteOptions,
  { hasTrouble, onEnd, record }: CaseOptions,
): Promise<boolean> {
  const { from, request, route, to } = options;
  const deployment = new Deployment();
  onEnd(() => deployment.close());
  for (const service of [from, to]) await addReplicas(deployment, service);
  deployment.configure([{ ...route, service: from.name }]);
  const port = await deployment.listen();
  await deployment.start(new Array(ENTRIES).fill(port));
  const answers: CallerAnswer[] = [];
  let isOver = false;
  const traffic = Array.from(
    { length: ENTRIES * options.callersPerEntry },
    async (_, index) => {
      const address = deployment.entries.callerAddress(index % ENTRIES);
      const caller = new KeptChannelCaller(address, record);
      while (!isOver) {
        answers.push(await caller.send(request));
        await delay(options.pauseMilliseconds);
      }
      caller.close();
    },
  );
  await delay(BEFORE_MILLISECONDS);
  const changedAt = performance.now();
  if (hasTrouble) deployment.configure([{ ...route, service: to.name }]);
  record.note(hasTrouble ? "the route moves" : "the route stays");
  await delay(options.afterMilliseconds);
  isOver = true;
  await Promise.all(traffic);
  const isBeside = ({ endedAt, sentAt }: CallerAnswer) =>
    sentAt >= changedAt && endedAt <= changedAt + PLANNED_WORK_MILLISECONDS;
  const isLost = ({ endedAt, isComplete, sentAt, status }: CallerAnswer) =>
    (status === undefined || !isComplete) &&
    endedAt - sentAt <= MAX_USED_SHARE * request.deadlineMilliseconds;
  const beside = answers.filter(isBeside);
  const others = answers.filter((answer) => !isBeside(answer));
  const lostBeside = beside.filter(isLost).length;
  const lostOthers = others.filter(isLost).length;
  record.conclude(
    `${lostBeside} of ${beside.length} requests cut beside the ` +
      `configuration, ${lostOthers} of ${others.length} at other times`,
  );
  const ratio = lostBeside / beside.length / (lostOthers / others.length);
  return lostBeside === 0 || ratio <= MAX_CUT_RATIO;
}

async function addReplicas(
  deployment: Deployment,
  { name, replicas, script, slots }: ScriptedService,
): Promise<void> {
  for (let index = 0; index < replicas; index++) {
    const replica = `${name}-${index}`;
    await deployment.addReplica(replica, {
      service: name,
      slots,
      script: script(replica),
    });
  }
}
