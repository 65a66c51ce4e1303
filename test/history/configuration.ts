import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import { inLogOrder } from "./orders.ts";
import {
  type CheckOptions,
  numberOf,
  textOf,
  type Violation,
} from "./violation.ts";

/**
 * An accepted configuration is in force everywhere within seconds and never
 * reverts: versions in force only rise, also across a process's restarts;
 * only what the log accepted is in force; and every process that runs
 * unhindered has it in force in time.
 */
export function checkConfigurationReverted(
  events: readonly HistoryEvent[],
  options: CheckOptions,
): Violation[] {
  const accepted = acceptedVersions(events);
  return [
    ...checkRising(events),
    ...checkAccepted(events, accepted),
    ...checkInTime(events, { ...options, accepted }),
  ];
}

/**
 * Folds the stream: a verdict counts if its claim was in force where it
 * stands and its publication was undecided, and accepts only on the version
 * in force. A version is its verdict's offset + 1.
 */
function acceptedVersions(
  events: readonly HistoryEvent[],
): Map<number, HistoryEvent> {
  const accepted = new Map<number, HistoryEvent>();
  const bases = new Map<number, number>();
  let claim = -1;
  let version = 0;
  for (const event of inLogOrder(events, "configuration")) {
    const offset = numberOf(event, "offset");
    switch (textOf(event, "kind")) {
      case "claim":
        if (numberOf(event, "replaces") === claim) claim = offset;
        break;
      case "publication":
        bases.set(offset, numberOf(event, "base"));
        break;
      case "verdict": {
        const publication = numberOf(event, "publication");
        const base = bases.get(publication);
        if (numberOf(event, "claim") !== claim || base === undefined) break;
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

function checkRising(events: readonly HistoryEvent[]): Violation[] {
  const last = new Map<string, HistoryEvent>();
  return events.flatMap((event) => {
    if (event.kind !== "configuration_in_force") return [];
    const earlier = last.get(event.process);
    last.set(event.process, event);
    if (earlier === undefined) return [];
    if (numberOf(event, "version") >= numberOf(earlier, "version")) return [];
    return [reverted("A version in force went back", [earlier, event])];
  });
}

function checkAccepted(
  events: readonly HistoryEvent[],
  accepted: Map<number, HistoryEvent>,
): Violation[] {
  return events.flatMap((event) => {
    const tells = event.kind === "configuration_in_force" ||
      event.kind === "configuration_accepted";
    const version = numberOf(event, "version");
    if (!tells || version === 0 || accepted.has(version)) return [];
    return [reverted("A version that the log did not accept", [event])];
  });
}

interface Process {
  readonly name: string;
  /** Ends of the times in which no entry ran that a side could hear. */
  readonly relayless: readonly Span[];
  readonly events: readonly HistoryEvent[];
}

function checkInTime(
  events: readonly HistoryEvent[],
  options: CheckOptions & { accepted: Map<number, HistoryEvent> },
): Violation[] {
  const names = new Set(
    events.filter((event) => event.kind === "process_started")
      .map((event) => event.process),
  );
  const entries = entriesOf(events);
  const processes = [...names].map((name) => ({
    name,
    events: events.filter((event) => concerns(event, name)),
    relayless: entries.includes(name)
      ? []
      : timesWithoutEntries(events, entries),
  }));
  const end = events.length === 0 ? 0 : events[events.length - 1].at;
  const violations: Violation[] = [];
  for (const [version, verdict] of options.accepted) {
    for (const process of processes) {
      const due = dueTime(process, {
        from: verdict.at,
        limit: options.inForceLimitMilliseconds,
      });
      if (due === undefined || due > end) continue;
      if (hasInForce(process, { version, due })) continue;
      const detail =
        `Version ${version} not in force at ${process.name} in time`;
      violations.push(reverted(detail, [verdict]));
    }
  }
  return violations;
}

interface Span {
  readonly from: number;
  readonly to: number;
}

function entriesOf(events: readonly HistoryEvent[]): string[] {
  const started = events.filter((event) =>
    event.kind === "process_started" && textOf(event, "role") === "entry"
  );
  return [...new Set(started.map((event) => event.process))];
}

/**
 * Sides hear of a configuration from entries. While every entry is paused or
 * has gone there is nobody who could have told them.
 */
function timesWithoutEntries(
  events: readonly HistoryEvent[],
  entries: readonly string[],
): Span[] {
  const spans: Span[] = [];
  const hindered = new Map(entries.map((name) => [name, new Set(["process"])]));
  let from: number | undefined;
  for (const event of events) {
    const hindrances = hindered.get(event.process);
    if (hindrances === undefined) continue;
    if (HINDRANCE_BEGINS.includes(event.kind)) {
      hindrances.add(hindranceOf(event));
    } else if (HINDRANCE_ENDS.includes(event.kind)) {
      hindrances.delete(hindranceOf(event));
    } else continue;
    const none = [...hindered.values()].every((each) => each.size > 0);
    if (none) from ??= event.at;
    else if (from !== undefined) {
      spans.push({ from, to: event.at });
      from = undefined;
    }
  }
  if (from !== undefined) spans.push({ from, to: Infinity });
  return spans;
}

function concerns(event: HistoryEvent, name: string): boolean {
  if (event.kind === "link_cut" || event.kind === "link_healed") {
    return textOf(event, "from") === name || textOf(event, "to") === name;
  }
  return event.process === name || event.kind === "log_outage_began" ||
    event.kind === "log_outage_ended";
}

const HINDRANCE_BEGINS: readonly string[] = [
  "process_paused",
  "process_killed",
  "process_stopped",
  "link_cut",
  "log_outage_began",
];
const HINDRANCE_ENDS: readonly string[] = [
  "process_resumed",
  "process_started",
  "link_healed",
  "log_outage_ended",
];

/**
 * When the process has to have a version that was accepted at `from`: the
 * limit after it, counted anew from the end of each fault that hit the process
 * before. Undefined where it was not running then or a fault never ended.
 */
function dueTime(
  process: Process,
  options: { from: number; limit: number },
): number | undefined {
  const hindrances = new Set<string>(["process"]);
  let due = options.from + options.limit;
  for (const event of process.events) {
    if (event.at > due && hindrances.size === 0) break;
    if (HINDRANCE_BEGINS.includes(event.kind)) {
      hindrances.add(hindranceOf(event));
    }
    if (!HINDRANCE_ENDS.includes(event.kind)) continue;
    hindrances.delete(hindranceOf(event));
    due = Math.max(due, event.at + options.limit);
  }
  for (const span of process.relayless) {
    if (span.from > due) break;
    due = Math.max(due, span.to + options.limit);
  }
  return hindrances.size === 0 ? due : undefined;
}

function hindranceOf(event: HistoryEvent): string {
  if (event.kind.startsWith("link_")) {
    return `link ${textOf(event, "from")} ${textOf(event, "to")}`;
  }
  if (event.kind.startsWith("log_")) return "log";
  if (event.kind === "process_paused" || event.kind === "process_resumed") {
    return "pause";
  }
  return "process";
}

function hasInForce(
  process: Process,
  options: { version: number; due: number },
): boolean {
  return process.events.some((event) =>
    event.kind === "configuration_in_force" && event.at <= options.due &&
    numberOf(event, "version") >= options.version
  );
}

function reverted(detail: string, events: HistoryEvent[]): Violation {
  return { condition: "configuration_reverted", detail, events };
}
