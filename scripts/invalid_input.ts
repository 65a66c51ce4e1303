/**
 * `npm run invalid-input -- [--seed N] [--seeds N] [--seconds N] [--channel
 * TEXT] [--regressions]`: brings invalid bytes into entry processes by each
 * channel whose name contains the text, or by those that failed in the past.
 * Prints one line of JSON per channel and seed; the exit code is 0 only if no
 * entry has ended or thrown, and all requests behind it were served.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { CHANNELS } from "../platform/test/invalid_input/channels.ts";
import { InvalidInputFleet } from "../platform/test/invalid_input/invalid_input_fleet.ts";
import { REGRESSION_RUNS } from "../platform/test/invalid_input/regression_seeds.ts";
import { runChannel } from "../platform/test/invalid_input/run_channel.ts";
import "./build_platform.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "10" },
    channel: { type: "string", default: "" },
    regressions: { type: "boolean", default: false },
  },
});

interface Run {
  readonly channel: string;
  readonly seed: number;
  readonly seconds: number;
}

function requestedRuns(): readonly Run[] {
  if (values.regressions) return REGRESSION_RUNS;
  const first = Number(values.seed);
  const seconds = Number(values.seconds);
  const seeds = Array.from(
    { length: Number(values.seeds) },
    (_, index) => first + index,
  );
  const channels = Object.keys(CHANNELS)
    .filter((each) => each.includes(values.channel));
  return seeds.flatMap((seed) =>
    channels.map((channel) => ({ channel, seed, seconds }))
  );
}

/** Runs one channel with entries of its own, so that no run depends on others. */
async function runAlone({ channel, seed, seconds }: Run): Promise<boolean> {
  const fleet = new InvalidInputFleet();
  try {
    await fleet.start();
    const milliseconds = 1_000 * seconds;
    const result = await runChannel(fleet, channel, { milliseconds, seed });
    console.log(JSON.stringify(result));
    const isSound = result.endedEntries === 0 && result.throws.length === 0 &&
      result.servedBehind === 1;
    if (!isSound) console.log(fleet.entries.output.slice(-3_000));
    return isSound;
  } finally {
    await fleet.close();
  }
}

let violations = 0;
for (const run of requestedRuns()) {
  if (!await runAlone(run)) violations += 1;
}
process.exit(violations === 0 ? 0 : 1);
