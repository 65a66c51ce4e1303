/** Status of the fleet, merged from the status of all entries. */
import type { EntryLink, PeerAddress } from "../../core/links/mod.ts";
import type { EntryStatus, SideReport } from "../../generated/messages.ts";

/** The status of one entry, or the reason why it is missing. */
export interface EntryResult {
  readonly address: PeerAddress;
  readonly status?: EntryStatus;
  readonly failure?: string;
}

/** The fleet as the entries see it. */
export interface FleetStatus {
  readonly entries: readonly EntryResult[];
  /** Latest report of each side, sorted by endpoint. */
  readonly sides: readonly SideReport[];
  /** Highest configuration version in force in any process. */
  readonly version: number;
}

/** Queries all entries concurrently. */
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

/** Number of processes that have a version in force. */
export interface InForceCount {
  readonly have: number;
  readonly all: number;
  /** Names of the first processes that have not confirmed it. */
  readonly missing: readonly string[];
}

/** Limits the names to what fits into a terminal line. */
const MAX_LISTED_MISSING = 10;

/** Counts the processes that have at least this version in force. */
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

/**
 * Selects the latest report of each side. Entries receive reports at different
 * times; the versions and offsets in them only increase.
 */
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
