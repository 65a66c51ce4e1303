/** What the entries know together. */
import type { EntryLink, PeerAddress } from "../../core/links/mod.ts";
import type { EntryStatus, SideReport } from "../../generated/messages.ts";

/** One entry's answer, or why there is none. */
export interface EntryResult {
  readonly address: PeerAddress;
  readonly status?: EntryStatus;
  readonly failure?: string;
}

/** The fleet as the entries see it. */
export interface FleetStatus {
  readonly entries: readonly EntryResult[];
  /** Newest report of each side, by endpoint. */
  readonly sides: readonly SideReport[];
  /** Highest version that any process has in force. */
  readonly version: number;
}

/** Asks every entry at once; one that is down delays nobody. */
export async function queryFleet(
  client: Pick<EntryLink, "status">,
  addresses: readonly PeerAddress[],
): Promise<FleetStatus> {
  const entries = await Promise.all(
    addresses.map((address) => queryEntry(client, address)),
  );
  const sides = newestReports(entries);
  const versions = [
    ...entries.map((entry) => entry.status?.configurationVersion ?? 0),
    ...sides.map((side) => side.configurationVersion),
  ];
  return { entries, sides, version: Math.max(0, ...versions) };
}

/** Which processes have a version in force. */
export interface InForceCount {
  readonly have: number;
  readonly all: number;
  /** Some of those that have not told of it. */
  readonly missing: readonly string[];
}

/** Names that a line on a terminal can hold. */
const MAX_LISTED_MISSING = 10;

/** How many processes have at least this version in force, and who has not. */
export function countInForce(
  fleet: FleetStatus,
  version: number,
): InForceCount {
  const versions: [name: string, version: number][] = [
    ...fleet.entries.map(({ address, status }): [string, number] => [
      status?.entry ?? address,
      status?.configurationVersion ?? 0,
    ]),
    ...fleet.sides.map((side): [string, number] => [
      side.side,
      side.configurationVersion,
    ]),
  ];
  const missing = versions.filter(([, each]) => each < version);
  return {
    have: versions.length - missing.length,
    all: versions.length,
    missing: missing.slice(0, MAX_LISTED_MISSING).map(([name]) => name),
  };
}

async function queryEntry(
  client: Pick<EntryLink, "status">,
  address: PeerAddress,
): Promise<EntryResult> {
  const status = await client.status(address);
  return status.isOk()
    ? { address, status: status.value }
    : { address, failure: status.error.message };
}

/** Entries hear a side at different times; its positions only rise. */
function newestReports(entries: readonly EntryResult[]): SideReport[] {
  const byEndpoint = new Map<string, SideReport>();
  for (const report of entries.flatMap((entry) => entry.status?.sides ?? [])) {
    const latest = byEndpoint.get(report.endpoint);
    if (latest === undefined || isNewer(report, latest)) {
      byEndpoint.set(report.endpoint, report);
    }
  }
  return [...byEndpoint.values()].sort((one, other) =>
    one.endpoint < other.endpoint ? -1 : 1
  );
}

function isNewer(one: SideReport, other: SideReport): boolean {
  return one.configurationVersion > other.configurationVersion ||
    (one.configurationVersion === other.configurationVersion &&
      one.ordersRead > other.ordersRead);
}
