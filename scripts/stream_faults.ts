/**
 * `npm run stream-faults -- [--seed N] [--seeds N] [--seconds N]
 * [--links KIND] [--framing KIND] [--stops-in-order] [--versions]`: runs callers
 * of streams while entries and replicas are killed, terminated, frozen and
 * started again, also behind links whose connections have different delays.
 * Replicas stop in order when their time is up, some end streams early that
 * nothing frames, and some lose events.
 * `--stops-in-order` makes replicas that are terminated end their open streams
 * in order, with the last chunk; entries take such streams for whole, so runs
 * with it fail. `--versions` makes a second software version join and leave and
 * cuts entries off from their peers and the store, with callers that keep their
 * connections; all of them speak HTTP/1.1. Prints one line of JSON per seed; the
 * exit code is 0 only if no stream was out of order or had events of two
 * versions. `--logs FOLDER` saves the entries' logs of seeds with violations.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { REPLICA_FRAMINGS } from "../platform/test/stream_faults/events.ts";
import {
  LINKS,
  runStreamFaults,
} from "../platform/test/stream_faults/stream_faults.ts";
import "./build_platform.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "60" },
    callers: { type: "string", default: "60" },
    links: { type: "string" },
    framing: { type: "string" },
    logs: { type: "string" },
    versions: { type: "boolean", default: false },
    "stops-in-order": { type: "boolean", default: false },
  },
});

const links = LINKS.find((each) => each === values.links);
const framing = REPLICA_FRAMINGS.find((each) => each === values.framing);
const isUnknown = links === undefined && values.links !== undefined ||
  framing === undefined && values.framing !== undefined;
if (isUnknown) {
  console.error(`--links: ${LINKS.join(", ")}; --framing: ${REPLICA_FRAMINGS}`);
  process.exit(2);
}
let failedRuns = 0;
const first = Number(values.seed);
for (let seed = first; seed < first + Number(values.seeds); seed++) {
  const { faults, log, violations, ...counts } = await runStreamFaults({
    seed,
    seconds: Number(values.seconds),
    callers: Number(values.callers),
    links,
    hasVersions: values.versions,
    stopsInOrder: values["stops-in-order"],
    ...(framing !== undefined && { framings: [framing] }),
  });
  console.log(JSON.stringify({
    seed,
    ...counts,
    faults: faults.length,
    violations: violations.length,
    problems: violations.map(({ problem, stream }) =>
      `HTTP/${stream.version} ${stream.path}: ${problem}`
    ),
  }));
  if (violations.length === 0) continue;
  failedRuns += 1;
  if (values.logs === undefined) continue;
  mkdirSync(values.logs, { recursive: true });
  const facts = JSON.stringify({ faults, violations }, undefined, 2);
  writeFileSync(join(values.logs, `${seed}-violations.json`), facts);
  writeFileSync(join(values.logs, `${seed}-entries.log`), log);
}
process.exit(failedRuns === 0 ? 0 : 1);
