import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import { recordsInLogOrder } from "./orders.ts";
import {
  type CheckOptions,
  factNumber,
  factText,
  type Violation,
} from "./violation.ts";

/**
 * Checks that an accepted configuration is in force everywhere within the time
 * limit and never reverts: versions in force never decrease, also across
 * restarts of a process; only versions that the log accepted are in force; and
 * every process without an active fault puts them in force in time.
 */
export function checkConfigurationReverted(
  events: readonly HistoryEvent[],
  options: CheckOptions,
): Violation[] {
  const accepted = acceptedVersions(events);
  return [
    ...checkMonotonic(events),
    ...checkAccepted(events, accepted),
    ...checkInForceInTime(events, { ...options, accepted }),
  ];
}

/**
 * Folds the stream. A verdict is valid if its claim was in force at its offset
 * and its publication was undecided; it accepts only a publication based on
 * the version in force. A version is the offset of its verdict + 1.
 */
function acceptedVersions(
  events: readonly HistoryEvent[],
): Map<number, HistoryEvent> {
  const accepted = new Map<number, HistoryEvent>();
  const bases = new Map<number, number>();
  let claim = -1;
  let version = 0;
  for (const event of recordsInLogOrder(events, "configuration")) {
    const offset = factNumber(event, "offset");
    switch (factText(event, "kind")) {
      case "claim":
        if (factNumber(event, "replaces") === claim) claim = offset;
        break;
      case "publication":
        bases.set(offset, factNumber(event, "base"));
        break;
      case "verdict": {
        const publication = factNumber(event, "publication");
        const base = bases.get(publication);
        if (factNumber(event, "claim") !== claim || base === undefined) break;
        bases.delete(publication);
        if (event.facts.accepted !== true || base !== version) break;
        version = offset + 1;
        accepted.set(version, event);
        break;
      }
    }
  }
  return accepted;
}

function checkMonotonic(events: readonly HistoryEvent[]): Violation[] {
  const last = new Map<string, HistoryEvent>();
  return events.flatMap((event) => {
    if (event.kind !== "configuration_in_force") return [];
    const prior = last.get(event.process);
    last.set(event.process, event);
    if (prior === undefined) return [];
    if (factNumber(event, "version") >= factNumber(prior, "version")) return [];
    return [
      configurationViolation("Version in force decreased", [prior, event]),
    ];
  });
}

function checkAccepted(
  events: readonly HistoryEvent[],
  accepted: Map<number, HistoryEvent>,
): Violation[] {
  return events.flatMap((event) => {
    const reportsVersion = event.kind === "configuration_in_force" ||
      event.kind === "configuration_accepted";
    const version = factNumber(event, "version");
    if (!reportsVersion || version === 0 || accepted.has(version)) return [];
    return [
      configurationViolation("Version was not accepted by the log", [event]),
    ];
  });
}

interface ProcessHistory {
  readonly name: string;
  /** Periods in which no entry could relay configurations; none for entries. */
  readonly entryOutages: readonly TimeSpan[];
  readonly events: readonly HistoryEvent[];
}

function checkInForceInTime(
  events: readonly HistoryEvent[],
  options: CheckOptions & { accepted: Map<number, HistoryEvent> },
): Violation[] {
  const names = new Set(
    events.filter((event) => event.kind === "process_started")
      .map((event) => event.process),
  );
  const entries = entryNames(events);
  const processes = [...names].map((name) => ({
    name,
    events: events.filter((event) => affects(event, name)),
    entryOutages: entries.includes(name)
      ? []
      : findEntryOutages(events, entries),
  }));
  const end = events.length === 0 ? 0 : events[events.length - 1].at;
  const violations: Violation[] = [];
  for (const [version, verdict] of options.accepted) {
    for (const process of processes) {
      const due = deadlineOf(process, {
        from: verdict.at,
        limit: options.inForceLimitMilliseconds,
      });
      if (due === undefined || due > end) continue;
      if (wasInForceByDeadline(process, { version, due })) continue;
      const detail =
        `Version ${version} not in force at ${process.name} by its deadline`;
      violations.push(configurationViolation(detail, [verdict]));
    }
  }
  return violations;
}

interface TimeSpan {
  readonly from: number;
  readonly to: number;
}

function entryNames(events: readonly HistoryEvent[]): string[] {
  const started = events.filter((event) =>
    event.kind === "process_started" && factText(event, "role") === "entry"
  );
  return [...new Set(started.map((event) => event.process))];
}

/**
 * Sides receive configurations from entries. While every entry has an active
 * fault, no side can receive one.
 */
function findEntryOutages(
  events: readonly HistoryEvent[],
  entries: readonly string[],
): TimeSpan[] {
  const spans: TimeSpan[] = [];
  const activeFaultsByEntry = new Map(
    entries.map((name) => [name, new Set(["process"])]),
  );
  let from: number | undefined;
  for (const event of events) {
    const activeFaults = activeFaultsByEntry.get(event.process);
    if (activeFaults === undefined) continue;
    if (FAULT_START_KINDS.includes(event.kind)) {
      activeFaults.add(faultKey(event));
    } else if (FAULT_END_KINDS.includes(event.kind)) {
      activeFaults.delete(faultKey(event));
    } else continue;
    const noEntryAvailable = [...activeFaultsByEntry.values()].every((each) =>
      each.size > 0
    );
    if (noEntryAvailable) from ??= event.at;
    else if (from !== undefined) {
      spans.push({ from, to: event.at });
      from = undefined;
    }
  }
  if (from !== undefined) spans.push({ from, to: Infinity });
  return spans;
}

function affects(event: HistoryEvent, name: string): boolean {
  if (event.kind === "link_cut" || event.kind === "link_healed") {
    return factText(event, "from") === name || factText(event, "to") === name;
  }
  return event.process === name || event.kind === "log_outage_began" ||
    event.kind === "log_outage_ended";
}

const FAULT_START_KINDS: readonly string[] = [
  "process_paused",
  "process_killed",
  "process_stopped",
  "link_cut",
  "log_outage_began",
];
const FAULT_END_KINDS: readonly string[] = [
  "process_resumed",
  "process_started",
  "link_healed",
  "log_outage_ended",
];

/**
 * Returns when a version accepted at `from` must be in force at the process:
 * `limit` milliseconds later, restarted at the end of each fault that began
 * before the deadline. Undefined if the process is not running or a fault is
 * still active.
 */
function deadlineOf(
  process: ProcessHistory,
  options: { from: number; limit: number },
): number | undefined {
  const activeFaults = new Set<string>(["process"]);
  let due = options.from + options.limit;
  for (const event of process.events) {
    if (event.at > due && activeFaults.size === 0) break;
    if (FAULT_START_KINDS.includes(event.kind)) {
      activeFaults.add(faultKey(event));
    }
    if (!FAULT_END_KINDS.includes(event.kind)) continue;
    activeFaults.delete(faultKey(event));
    due = Math.max(due, event.at + options.limit);
  }
  for (const span of process.entryOutages) {
    if (span.from > due) break;
    due = Math.max(due, span.to + options.limit);
  }
  return activeFaults.size === 0 ? due : undefined;
}

function faultKey(event: HistoryEvent): string {
  if (event.kind.startsWith("link_")) {
    return `link ${factText(event, "from")} ${factText(event, "to")}`;
  }
  if (event.kind.startsWith("log_")) return "log";
  if (event.kind === "process_paused" || event.kind === "process_resumed") {
    return "pause";
  }
  return "process";
}

function wasInForceByDeadline(
  process: ProcessHistory,
  options: { version: number; due: number },
): boolean {
  return process.events.some((event) =>
    event.kind === "configuration_in_force" && event.at <= options.due &&
    factNumber(event, "version") >= options.version
  );
}

function configurationViolation(
  detail: string,
  events: HistoryEvent[],
): Violation {
  return { condition: "configuration_reverted", detail, events };
}
