/**
 * `npm run soak:platform -- [--seed N] [--seeds N] [--seconds N]`: runs callers
 * against entry processes on the platform's protocol under random faults.
 * Prints one line of JSON per seed; the exit code is 0 only if no seed violated
 * a guarantee. `--logs FOLDER` saves the entries' logs, and the record of
 * callers, replicas and faults, of seeds with violations; `--regressions` runs the seeds that had violations in the past.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { REGRESSION_SEEDS } from "../platform/test/soak/regression_seeds.ts";
import {
  type PlatformSoakResult,
  runPlatformSoak,
} from "../platform/test/soak/soak.ts";
import "./build_platform.ts";

/** Length of a body in a saved record. */
const MAX_BODY_LENGTH = 40;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "20" },
    entries: { type: "string", default: "4" },
    engines: { type: "string", default: "5" },
    callers: { type: "string", default: "20" },
    logs: { type: "string" },
    regressions: { type: "boolean", default: false },
  },
});

function saveLogs(
  folder: string,
  seed: number,
  result: PlatformSoakResult,
): void {
  mkdirSync(folder, { recursive: true });
  for (const [name, text] of result.logs) {
    writeFileSync(join(folder, `${seed}-${name}.log`), text);
  }
  const violations = JSON.stringify(result.violations, undefined, 2);
  writeFileSync(join(folder, `${seed}-violations.json`), violations);
  const evidence = JSON.stringify(result.evidence, toEvidence);
  writeFileSync(join(folder, `${seed}-record.json`), evidence);
}

/**
 * Shortens bodies, which are mostly padding behind the name of the stream, and
 * lists the entries of maps, which are written as empty otherwise.
 */
function toEvidence(key: string, value: unknown): unknown {
  if (value instanceof Map) return [...value];
  return key === "body" && typeof value === "string"
    ? value.slice(0, MAX_BODY_LENGTH)
    : value;
}

interface Run {
  readonly seed: number;
  readonly seconds: number;
}

function requestedRuns(): readonly Run[] {
  if (values.regressions) return REGRESSION_SEEDS;
  const first = Number(values.seed);
  const seconds = Number(values.seconds);
  return Array.from(
    { length: Number(values.seeds) },
    (_, index) => ({ seed: first + index, seconds }),
  );
}

// Without a handler, a signal ends this process without the "exit" event, in
// which the soak kills the processes that it has started.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}

let failedRuns = 0;
for (const { seed, seconds } of requestedRuns()) {
  const result = await runPlatformSoak({
    seed,
    seconds,
    entries: Number(values.entries),
    engines: Number(values.engines),
    callers: Number(values.callers),
  });
  const { faults, outcomes, violations } = result;
  console.log(JSON.stringify({
    seed,
    faults: Object.fromEntries(faults),
    outcomes: Object.fromEntries([...outcomes].sort()),
    violations: violations.length,
    first: violations.slice(0, 3),
  }));
  if (violations.length === 0) continue;
  failedRuns += 1;
  if (values.logs !== undefined) saveLogs(values.logs, seed, result);
}
process.exit(failedRuns === 0 ? 0 : 1);
