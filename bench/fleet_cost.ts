/**
 * CPU time of an entry by fleet size, on virtual time, with ten engines per
 * entry and the same request rate at each entry.
 */
import process from "node:process";
import { EntryFleet } from "../test/support/entry_fleet.ts";
import { SimulatedEngines } from "../test/support/simulated_engines.ts";
import {
  ENGINES,
  makeConfiguration,
  makeEngine,
  makePrompt,
  makeRequest,
  makeRoute,
} from "../test/support/forwarding_fixtures.ts";
import {
  type AvailabilityZoneId,
  identifier,
  type RequestId,
} from "../src/core/identity/mod.ts";
import { seededRandom } from "../src/core/random/mod.ts";

const ENGINES_PER_ENTRY = 10;
const PREFILL_SHARE = 0.7;
const REQUESTS_PER_SECOND_PER_ENTRY = 20;
const ZONES = 5;
const PROMPTS_PER_ENTRY = 50;
const DEFAULT_SIZES = [30, 100];
const SETTLE_MILLISECONDS = 1_000;
const MEASURED_MILLISECONDS = 1_000;

function makeFleet(entries: number): EntryFleet {
  const count = ENGINES_PER_ENTRY * entries;
  const fleet = new EntryFleet({
    entries,
    zones: ZONES,
    configuration: makeConfiguration({
      routes: [makeRoute({
        repeat: "stream",
        shares: [{ pool: ENGINES, weight: 1 }],
      })],
    }),
    endpoints: Array.from({ length: count }, (_, index) =>
      makeEngine(
        `engine-${index}`,
        index < PREFILL_SHARE * count ? "prefill" : "decode",
        {
          availabilityZone: identifier<AvailabilityZoneId>(
            `zone-${index % ZONES}`,
          ),
        },
      )),
  });
  new SimulatedEngines(fleet);
  return fleet;
}

async function runRequests(
  fleet: EntryFleet,
  milliseconds: number,
): Promise<number> {
  const { entries, timer } = fleet;
  const random = seededRandom(1);
  const probabilityPerMillisecond = REQUESTS_PER_SECOND_PER_ENTRY / 1_000;
  let requests = 0;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 1) {
    for (let entry = 0; entry < entries.length; entry++) {
      if (random() >= probabilityPerMillisecond) continue;
      requests += 1;
      const promptIndex = Math.floor(
        random() * PROMPTS_PER_ENTRY * entries.length,
      );
      fleet.submit(
        entry,
        makeRequest({
          id: identifier<RequestId>(`request-${timer.now()}-${requests}`),
          prompt: makePrompt(`subject-${promptIndex}`),
        }),
      );
    }
    await timer.advance(1);
  }
  return requests;
}

const sizes = process.argv.slice(2).map(Number);
console.log("entries  requests  processor of an entry, % of a core");
for (const size of sizes.length > 0 ? sizes : DEFAULT_SIZES) {
  const fleet = makeFleet(size);
  await fleet.timer.advance(SETTLE_MILLISECONDS);
  const before = process.cpuUsage();
  const requests = await runRequests(fleet, MEASURED_MILLISECONDS);
  const { system, user } = process.cpuUsage(before);
  const milliseconds = (system + user) / 1_000 / size;
  const corePercent = 100 * milliseconds / MEASURED_MILLISECONDS;
  console.log(`${size}  ${requests}  ${corePercent.toFixed(1)}`);
  for (const entry of fleet.entries) entry.close();
}
