/**
 * The open channels to the replicas go silent for good, while new ones work.
 * Later a service gets its next requests, and answers them without a length.
 */
import { LoopbackProxy } from "../../platform/test/soak/loopback_proxy.ts";
import { delay } from "../../test/stand_ins/stand_in_server.ts";
import { answerScript, answerText } from "../support-2/answer_script.ts";
import { Deployment } from "../support-2/deployment.ts";
import {
  type CallerAnswer,
  KeptChannelCaller,
} from "../support-2/kept_channel.ts";
import { type CaseOptions, runCase } from "../support-2/run_case.ts";

const FOLDER = "review/5";
const ENTRIES = 2;
const REPLICAS = 3;
const SLOTS = 6;
const WORK_MILLISECONDS = 30;
const DEADLINE_MILLISECONDS = 1_000;
/** Callers that send a request each at the same time. */
const CALLERS_PER_ENTRY = 12;
const ROUNDS_BEFORE = 3;
const ROUND_MILLISECONDS = 4_000;
/** From the answers of a round to the silence. */
const SILENCE_MILLISECONDS = 500;
const STABLE_WINDOW_MILLISECONDS = 3_000;
/** A margin beyond `stable_window_ms`. */
const MARGIN_MILLISECONDS = 300;
/** From the rule: a machine may lose as many answers. */
const MAX_LOST_ANSWERS = 3;

interface EntryAnswer extends CallerAnswer {
  readonly entry: number;
}

async function play(
  { hasTrouble, onEnd, record }: CaseOptions,
): Promise<boolean> {
  const deployment = new Deployment();
  onEnd(() => deployment.close());
  const links: LoopbackProxy[] = [];
  const ran = new Set<string>();
  for (let index = 0; index < REPLICAS; index++) {
    const name = `portal-${index}`;
    await deployment.addReplica(name, {
      service: "portal",
      slots: SLOTS,
      script: answerScript({
        name,
        record,
        workMilliseconds: WORK_MILLISECONDS,
        onRun: (requestId) => ran.add(requestId),
      }),
      linkTo: (replica) => {
        const link = new LoopbackProxy(() => replica.port);
        links.push(link);
        onEnd(() => link.close());
        return link.listen();
      },
    });
  }
  deployment.configure([{
    name: "r-check-in",
    host: "review.example",
    path_prefix: "/check-in/",
    route_type: "unsafe",
    timeout_ms: DEADLINE_MILLISECONDS,
    target_latency_ms: 120,
    priority: 0,
    max_attempts: 1,
    service: "portal",
  }]);
  const port = await deployment.listen();
  await deployment.start(new Array(ENTRIES).fill(port));
  const callers = Array.from(
    { length: ENTRIES * CALLERS_PER_ENTRY },
    (_, index) => {
      const entry = index % ENTRIES;
      const address = deployment.entries.callerAddress(entry);
      return { entry, channel: new KeptChannelCaller(address, record) };
    },
  );
  onEnd(() => callers.forEach(({ channel }) => channel.close()));
  const playRound = () =>
    Promise.all(callers.map(async ({ channel, entry }) => {
      const answer = await channel.send({
        method: "POST",
        path: "/check-in/a",
        body: "crew",
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
      });
      return { ...answer, entry };
    }));
  for (let round = 0; round < ROUNDS_BEFORE; round++) {
    if (round > 0) await delay(ROUND_MILLISECONDS);
    const lost = (await playRound()).filter(isLost);
    record.note(`round ${round}: ${lost.length} answers are not whole`);
  }
  await delay(SILENCE_MILLISECONDS);
  for (const link of hasTrouble ? links : []) link.silenceOpenConnections();
  record.note(hasTrouble ? "the open channels go silent" : "nothing happens");
  await delay(STABLE_WINDOW_MILLISECONDS + MARGIN_MILLISECONDS);
  const last = await playRound();
  const counts = Array.from(
    { length: ENTRIES },
    (_, entry) =>
      last.filter((answer) =>
        answer.entry === entry && answer.isOnKeptChannel &&
        ran.has(answer.requestId) && isLost(answer)
      ).length,
  );
  record.conclude(
    `of ${CALLERS_PER_ENTRY} requests an entry that ran, on kept channels, ` +
      `${counts.join(" and ")} have no complete answer`,
  );
  return counts.every((count) => count <= MAX_LOST_ANSWERS);
}

/** True for a channel that ended without a complete answer. */
function isLost(
  { body, isComplete, requestId, status }: CallerAnswer | EntryAnswer,
): boolean {
  if (status === undefined) return true;
  return status === 200 && (!isComplete || body !== answerText(requestId));
}

await runCase(FOLDER, play);
