/** Settings of processes: read, checked, filled with defaults, frozen. */
import { err, ok, type Result } from "../../core/errors/result.ts";
import settingsSchema from "../../schema/settings.json" with { type: "json" };
import type {
  CoordinationTimes,
  EntryLimits,
  EntrySettings,
  LogOutput,
  OperatorSettings,
  SideLimits,
  SideSettings,
  TraceOutput,
} from "../../generated/settings.ts";
import {
  validateEntrySettings,
  validateOperatorSettings,
  validateSideSettings,
  type Validator,
} from "../../generated/validators.js";
import {
  DEFAULT_COORDINATION_TIMES,
  DEFAULT_ENTRY_LIMITS,
  DEFAULT_LOG_OUTPUT,
  DEFAULT_SIDE_LIMITS,
  DEFAULT_TRACE_SHARE,
} from "./defaults.ts";
import type { FileProblem } from "./errors.ts";
import type { SchemaDocument } from "./problems.ts";
import { type FileFailure, fileFailure, readTomlFile } from "./toml_file.ts";

export {
  type ConfigurationFiles,
  loadConfiguration,
} from "./configuration_files.ts";
export { type FileProblem, formatProblem } from "./errors.ts";
export type { SchemaDocument } from "./problems.ts";
export {
  type FileCheck,
  type FileFailure,
  fileFailure,
  readTomlFile,
} from "./toml_file.ts";

/** Where traces go; neither `otlpUrl` nor `file`: none are made. */
export type CheckedTraceOutput = Readonly<TraceOutput & { share: number }>;

/** What entries and sides have in common. */
interface CheckedCommon {
  readonly log: Readonly<Required<LogOutput>>;
  readonly traces: CheckedTraceOutput;
  readonly coordination: Readonly<Required<CoordinationTimes>>;
}

/** Settings of an entry with every optional field filled. */
export interface CheckedEntrySettings
  extends
    Readonly<Omit<EntrySettings, keyof CheckedCommon | "limits">>,
    CheckedCommon {
  readonly peerAddresses: string[];
  readonly limits: Readonly<Required<EntryLimits>>;
}

/** Settings of a side with every optional field filled. */
export interface CheckedSideSettings
  extends
    Readonly<Omit<SideSettings, keyof CheckedCommon | "limits">>,
    CheckedCommon {
  readonly kind: "engine" | "service";
  readonly limits: Readonly<Required<SideLimits>>;
}

/** Settings of operators' commands. */
export type CheckedOperatorSettings = Readonly<OperatorSettings>;

/** Which settings a kind of process has. */
export interface SettingsByKind {
  readonly entry: CheckedEntrySettings;
  readonly side: CheckedSideSettings;
  readonly operator: CheckedOperatorSettings;
}

export type SettingsKind = keyof SettingsByKind;

interface KindCheck<Kind extends SettingsKind> {
  readonly validator: Validator;
  readonly definition: string;
  readonly fill: (value: never) => SettingsByKind[Kind];
}

const CHECKS: { readonly [Kind in SettingsKind]: KindCheck<Kind> } = {
  entry: {
    validator: validateEntrySettings,
    definition: "EntrySettings",
    fill: fillEntry,
  },
  side: {
    validator: validateSideSettings,
    definition: "SideSettings",
    fill: fillSide,
  },
  operator: {
    validator: validateOperatorSettings,
    definition: "OperatorSettings",
    fill: (value: OperatorSettings) => value,
  },
};

/** Reads a settings file; a frozen value that is taken as true, or every problem. */
export function loadSettings<Kind extends SettingsKind>(
  file: string,
  kind: Kind,
): Result<SettingsByKind[Kind], FileFailure> {
  const check: KindCheck<Kind> = CHECKS[kind];
  return readTomlFile(file, {
    validator: check.validator,
    document: settingsSchema as SchemaDocument,
    definition: check.definition,
  }).andThen((value) => {
    const filled = check.fill(value as never);
    const problems = [
      ...addressProblems(file, filled),
      ...("coordination" in filled
        ? timeProblems(file, filled.coordination)
        : []),
    ];
    if (problems.length > 0) return err(fileFailure(file, problems));
    return ok(deepFreeze(filled));
  });
}

function fillCommon(value: EntrySettings | SideSettings): CheckedCommon {
  return {
    log: { ...DEFAULT_LOG_OUTPUT, ...value.log },
    traces: { share: DEFAULT_TRACE_SHARE, ...value.traces },
    coordination: { ...DEFAULT_COORDINATION_TIMES, ...value.coordination },
  };
}

function fillEntry(value: EntrySettings): CheckedEntrySettings {
  return {
    ...value,
    ...fillCommon(value),
    peerAddresses: value.peerAddresses ?? [],
    limits: { ...DEFAULT_ENTRY_LIMITS, ...value.limits },
  };
}

function fillSide(value: SideSettings): CheckedSideSettings {
  return {
    ...value,
    ...fillCommon(value),
    kind: value.kind ?? "engine",
    limits: { ...DEFAULT_SIDE_LIMITS, ...value.limits },
  };
}

/** `host:port`, with brackets around an IPv6 number. */
const ADDRESS = /^(?:[A-Za-z0-9.-]+|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;
const HIGHEST_PORT = 65_535;

function addressProblems(
  file: string,
  settings: { entries?: readonly string[]; peerAddresses?: readonly string[] },
): FileProblem[] {
  const problems: FileProblem[] = [];
  for (const key of ["entries", "peerAddresses"] as const) {
    (settings[key] ?? []).forEach((address, index) => {
      const port = ADDRESS.exec(address)?.[1];
      if (port !== undefined && Number(port) <= HIGHEST_PORT) return;
      problems.push({
        file,
        path: `${key}[${index}]`,
        found: JSON.stringify(address),
        expected: "an address as host:port",
      });
    });
  }
  return problems;
}

/**
 * A process that is suspected before its next report can come is out of use
 * all the time; it shows as endpoints that come and go each second.
 */
function timeProblems(
  file: string,
  times: Readonly<Required<CoordinationTimes>>,
): FileProblem[] {
  if (times.suspectMilliseconds >= 2 * times.reportMilliseconds) return [];
  return [{
    file,
    path: "coordination.suspectMilliseconds",
    found: String(times.suspectMilliseconds),
    expected: `at least twice reportMilliseconds (${times.reportMilliseconds})`,
  }];
}

function deepFreeze<Value>(value: Value): Value {
  if (typeof value === "object" && value !== null) {
    for (const part of Object.values(value)) deepFreeze(part);
    Object.freeze(value);
  }
  return value;
}
