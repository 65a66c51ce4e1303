/**
 * `npm run soak -- [--seed N] [--seconds N]`: runs callers against the system
 * as processes under random faults. Prints a last line of JSON; the exit code
 * is 0 only if no answer was wrong, nothing ran twice and no process crashed.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { soak } from "../test/soak/soak.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seconds: { type: "string", default: "40" },
  },
});
const result = await soak({
  seed: Number(values.seed),
  seconds: Number(values.seconds),
  entries: 3,
  engines: 4,
  services: 3,
});
for (const [what, count] of [...result.counts].sort()) {
  console.log(`${String(count).padStart(7)}  ${what}`);
}
for (const output of result.crashes) console.log(output);
const { faults, wrong, doubled, invented, crashes } = result;
console.log(JSON.stringify({
  soak: {
    seed: Number(values.seed),
    faults,
    streams: result.counts.get("stream complete") ?? 0,
    bookings: result.counts.get("booking made") ?? 0,
    wrong,
    doubled,
    invented,
    crashes: crashes.length,
  },
}));
const violations = wrong + doubled + invented + crashes.length;
process.exit(violations === 0 ? 0 : 1);
