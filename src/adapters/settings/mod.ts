/** Settings of processes: parsed, validated, with defaults, and frozen. */
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
  type FileFailure,
  fileFailure,
  type FileSchema,
  readTomlFile,
} from "./toml_file.ts";

/** Trace output; without `otlpUrl` and `file` no traces are created. */
export type CheckedTraceOutput = Readonly<TraceOutput & { share: number }>;

/** Settings that entries and sides share. */
interface CommonSettings {
  readonly log: Readonly<Required<LogOutput>>;
  readonly traces: CheckedTraceOutput;
  readonly coordination: Readonly<Required<CoordinationTimes>>;
}

/** Settings of an entry with all defaults applied. */
export interface CheckedEntrySettings
  extends
    Readonly<Omit<EntrySettings, keyof CommonSettings | "limits">>,
    CommonSettings {
  readonly peerAddresses: string[];
  readonly limits: Readonly<Required<EntryLimits>>;
}

/** Settings of a side with all defaults applied. */
export interface CheckedSideSettings
  extends
    Readonly<Omit<SideSettings, keyof CommonSettings | "limits">>,
    CommonSettings {
  readonly kind: "engine" | "service";
  readonly limits: Readonly<Required<SideLimits>>;
}

/** Settings of the operator commands. */
export type CheckedOperatorSettings = Readonly<OperatorSettings>;

/** The settings type of each kind of process. */
export interface SettingsByKind {
  readonly entry: CheckedEntrySettings;
  readonly side: CheckedSideSettings;
  readonly operator: CheckedOperatorSettings;
}

/** Kind of process that settings belong to. */
export type SettingsKind = keyof SettingsByKind;

interface KindSchema<Kind extends SettingsKind> {
  readonly validator: Validator;
  readonly definition: string;
  readonly applyDefaults: (value: never) => SettingsByKind[Kind];
}

const SCHEMAS: { readonly [Kind in SettingsKind]: KindSchema<Kind> } = {
  entry: {
    validator: validateEntrySettings,
    definition: "EntrySettings",
    applyDefaults: applyEntryDefaults,
  },
  side: {
    validator: validateSideSettings,
    definition: "SideSettings",
    applyDefaults: applySideDefaults,
  },
  operator: {
    validator: validateOperatorSettings,
    definition: "OperatorSettings",
    applyDefaults: (value: OperatorSettings) => value,
  },
};

/** Reads and validates a settings file; fails with all problems found. */
export function loadSettings<Kind extends SettingsKind>(
  file: string,
  kind: Kind,
): Result<SettingsByKind[Kind], FileFailure> {
  const schema: KindSchema<Kind> = SCHEMAS[kind];
  return readTomlFile(file, {
    validator: schema.validator,
    document: settingsSchema as SchemaDocument,
    definition: schema.definition,
  }).andThen((value) => {
    const settings = schema.applyDefaults(value as never);
    const problems = [
      ...findAddressProblems(file, settings),
      ...("coordination" in settings
        ? findTimingProblems(file, settings.coordination)
        : []),
    ];
    if (problems.length > 0) return err(fileFailure(file, problems));
    return ok(deepFreeze(settings));
  });
}

function applyCommonDefaults(
  value: EntrySettings | SideSettings,
): CommonSettings {
  return {
    log: { ...DEFAULT_LOG_OUTPUT, ...value.log },
    traces: { share: DEFAULT_TRACE_SHARE, ...value.traces },
    coordination: { ...DEFAULT_COORDINATION_TIMES, ...value.coordination },
  };
}

function applyEntryDefaults(value: EntrySettings): CheckedEntrySettings {
  return {
    ...value,
    ...applyCommonDefaults(value),
    peerAddresses: value.peerAddresses ?? [],
    limits: { ...DEFAULT_ENTRY_LIMITS, ...value.limits },
  };
}

function applySideDefaults(value: SideSettings): CheckedSideSettings {
  return {
    ...value,
    ...applyCommonDefaults(value),
    kind: value.kind ?? "engine",
    limits: { ...DEFAULT_SIDE_LIMITS, ...value.limits },
  };
}

/** `host:port`, with brackets around an IPv6 address. */
const ADDRESS_PATTERN = /^(?:[A-Za-z0-9.-]+|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;
const MAX_PORT = 65_535;

function findAddressProblems(
  file: string,
  settings: { entries?: readonly string[]; peerAddresses?: readonly string[] },
): FileProblem[] {
  const problems: FileProblem[] = [];
  for (const key of ["entries", "peerAddresses"] as const) {
    (settings[key] ?? []).forEach((address, index) => {
      const port = ADDRESS_PATTERN.exec(address)?.[1];
      if (port !== undefined && Number(port) <= MAX_PORT) return;
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
 * Checks that a process is not suspected before its next report is due.
 * Otherwise its endpoints would become unavailable and available again every
 * second.
 */
function findTimingProblems(
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
    for (const property of Object.values(value)) deepFreeze(property);
    Object.freeze(value);
  }
  return value;
}
