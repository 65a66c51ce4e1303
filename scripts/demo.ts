/**
 * Demonstrates the system: two entries and the thirteen endpoints of the
 * Koperasi example with their sides, on stand-ins for engines, portal and
 * platform. Kills one side and drains one endpoint under load.
 */
import process from "node:process";
import { builtBinary } from "../test/support/built_binary.ts";
import { callBooking, type CallerResult, callStream } from "./demo/callers.ts";
import { DemoDeployment } from "./demo/deployment.ts";

const URGENT_CALLERS = 20;
const SUMMARY_CALLERS = 20;
const BOOKING_CALLERS = 20;
const KILLED_ENDPOINT = "triage-llm-03";
const DRAINED_ENDPOINT = "triage-llm-05";
/** Delay until the faults; streams are then about one third complete. */
const FAULT_DELAY_MILLISECONDS = 900;
/** Delay until the killed side restarts, similar to that of the platform. */
const RESTART_DELAY_MILLISECONDS = 1_500;
/** Time limit of the demo, after which it exits with an error. */
const DEMO_TIMEOUT_MILLISECONDS = 120_000;

interface Tally {
  readonly requests: number;
  readonly complete: number;
  readonly lost: number;
  readonly doubled: number;
  readonly refused: number;
}

async function main(): Promise<number> {
  console.log("Building the binary");
  const binary = builtBinary();
  process.env.FILBERTSHORE_BINARY = binary;
  const deployment = new DemoDeployment(binary);
  try {
    return await runDemo(deployment);
  } finally {
    await deployment.close();
  }
}

async function runDemo(deployment: DemoDeployment): Promise<number> {
  console.log("Starting stand-ins, two entries and thirteen sides");
  await deployment.start();
  console.log(await deployment.publish());
  await deployment.waitUntilReady();
  console.log(`\n${await deployment.status()}\n`);
  const calls = startCalls(deployment);
  await sleep(FAULT_DELAY_MILLISECONDS);
  console.log(`Killing the side of ${KILLED_ENDPOINT}`);
  const side = deployment.sides.find((each) =>
    each.endpoint === KILLED_ENDPOINT
  );
  side?.kill();
  setTimeout(() => side?.restart(), RESTART_DELAY_MILLISECONDS);
  console.log(`Draining ${DRAINED_ENDPOINT} by a publication`);
  const drained = deployment.publish({ [DRAINED_ENDPOINT]: "draining" })
    .catch((error: Error) => error.message);
  const results = await Promise.all(calls);
  console.log(`\n${await drained}\n`);
  for (const { caller, result, detail } of results) {
    console.log(`${caller.padEnd(12)} ${result.padEnd(9)} ${detail}`);
  }
  const resumed = deployment.engines.reduce(
    (sum, engine) => sum + engine.counts.resumed,
    0,
  );
  console.log(`\nStreams resumed at another engine: ${resumed}`);
  const tally = tallyResults(results, deployment);
  console.log(JSON.stringify({ demo: tally }));
  return tally.lost === 0 && tally.doubled === 0 ? 0 : 1;
}

function startCalls(deployment: DemoDeployment): Promise<CallerResult>[] {
  const [firstUrl, secondUrl] = deployment.entryUrls;
  const entryOf = (index: number) => index % 2 === 0 ? firstUrl : secondUrl;
  const urgent = range(URGENT_CALLERS).map((index) =>
    callStream({
      caller: `urgent-${index}`,
      entryUrl: entryOf(index),
      prompt: `Lorry ${index} dumps by the river in Klang answer-tokens=80`,
      headers: { "x-report-kind": "urgent" },
    })
  );
  const summaries = range(SUMMARY_CALLERS).map((index) =>
    callStream({
      caller: `summary-${index}`,
      entryUrl: entryOf(index),
      prompt: `Summarise bylaw ${index}. ${"Text. ".repeat(500)}` +
        "answer-tokens=300",
      headers: { "x-report-kind": "bylaw-summary" },
    })
  );
  const bookings = range(BOOKING_CALLERS).map(async (index) => {
    await sleep(index * 100);
    return callBooking({
      caller: `case-${index}`,
      entryUrls: index % 2 === 0
        ? [firstUrl, secondUrl]
        : [secondUrl, firstUrl],
      body: JSON.stringify({ pile: index }),
    });
  });
  return [...urgent, ...summaries, ...bookings];
}

/** Tallies the results against the runs that the portals counted. */
function tallyResults(
  results: readonly CallerResult[],
  deployment: DemoDeployment,
): Tally {
  const runsOf = (key: string) =>
    deployment.portals.reduce((sum, portal) => sum + portal.runsOf(key), 0);
  const withResult = (expected: CallerResult["result"]) =>
    results.filter(({ result }) => result === expected);
  const falselyRefused = withResult("refused").filter(({ key }) =>
    key !== undefined && runsOf(key) > 0
  );
  const neverRan = withResult("complete").filter(({ key }) =>
    key !== undefined && runsOf(key) === 0
  );
  return {
    requests: results.length,
    complete: withResult("complete").length - neverRan.length,
    lost: withResult("lost").length + falselyRefused.length + neverRan.length,
    doubled: results.filter(({ key }) => key !== undefined && runsOf(key) > 1)
      .length,
    refused: withResult("refused").length - falselyRefused.length,
  };
}

function range(length: number): number[] {
  return Array.from({ length }, (_, index) => index);
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

setTimeout(() => {
  console.error("The demo did not finish in time");
  process.exit(1);
}, DEMO_TIMEOUT_MILLISECONDS).unref();
process.exit(await main());
