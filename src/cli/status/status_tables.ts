/** Formats the fleet status as text tables. */
import type { FleetStatus } from "./fleet_status.ts";

/** Renders the entries with the planner's claim, and the endpoints. */
export function renderStatus(fleet: FleetStatus): string {
  return [
    `Configuration version ${fleet.version}`,
    renderTable(
      ["ENTRY", "ZONE", "STATE", "VERSION", "LOG", "OPEN", "PLANNER"],
      fleet.entries.map(({ address, status, failure }) =>
        status === undefined ? [address, "", failure ?? "no response"] : [
          status.entry,
          status.availabilityZone,
          status.state,
          String(status.configurationVersion),
          status.logReachable === false ? "down" : "up",
          String(status.openRequests ?? ""),
          status.claim === undefined
            ? "nobody"
            : `${status.claim.holder} (claim ${status.claim.offset})`,
        ]
      ),
    ),
    renderTable(
      [
        "ENDPOINT",
        "SIDE",
        "STATE",
        "ROLE",
        "VERSION",
        "RUNNING",
        "WAITING",
        "LIMIT",
        "MS/TOKEN",
      ],
      fleet.sides.map((side) => [
        side.endpoint,
        side.side,
        side.state,
        side.role ?? "",
        String(side.configurationVersion),
        String(side.load.running),
        String(side.load.waiting),
        String(side.load.limit),
        side.load.millisecondsBetweenTokens.toFixed(1),
      ]),
    ),
  ].join("\n\n");
}

/** Renders a table with aligned columns, separated by two spaces. */
export function renderTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => (row[column] ?? "").length))
  );
  return [header, ...rows].map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd()
  ).join("\n");
}
