/**
 * `npm run invalid-input -- [--seed N] [--seeds N] [--seconds N] [--channel
 * TEXT]`: brings invalid bytes into entry processes by each channel whose name
 * contains the text. Prints one line of JSON per channel and seed; the exit code
 * is 0 only if no entry has ended or thrown.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { CHANNELS } from "../platform/test/invalid_input/channels.ts";
import { InvalidInputFleet } from "../platform/test/invalid_input/invalid_input_fleet.ts";
import { runChannel } from "../platform/test/invalid_input/run_channel.ts";
import "./build_platform.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1" },
    seconds: { type: "string", default: "10" },
    channel: { type: "string", default: "" },
  },
});

/** Runs one channel with entries of its own, so that each seed stands alone. */
async function runAlone(channel: string, seed: number): Promise<boolean> {
  const fleet = new InvalidInputFleet();
  try {
    await fleet.start();
    const milliseconds = 1_000 * Number(values.seconds);
    const result = await runChannel(fleet, channel, { milliseconds, seed });
    console.log(JSON.stringify(result));
    const isSound = result.endedEntries === 0 && result.throws.length === 0;
    if (!isSound) console.log(fleet.entries.output.slice(-3_000));
    return isSound;
  } finally {
    await fleet.close();
  }
}

let violations = 0;
const first = Number(values.seed);
for (let seed = first; seed < first + Number(values.seeds); seed++) {
  for (const channel of Object.keys(CHANNELS)) {
    if (!channel.includes(values.channel)) continue;
    if (!await runAlone(channel, seed)) violations += 1;
  }
}
process.exit(violations === 0 ? 0 : 1);
