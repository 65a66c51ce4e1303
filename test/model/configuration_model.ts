/**
 * Model of operators that publish and judges that take over the claim from
 * each other. The judges accept every publication, so that only the fold can
 * reject one.
 */
import type { RecordBody } from "../../src/generated/log_records.ts";
import {
  ConfigurationFold,
  type ConfigurationGuards,
} from "../../src/core/configuration/mod.ts";
import { createLogModel, type LogRecords } from "./log_model.ts";
import type { Model } from "./state_search.ts";

const OPERATORS: readonly string[] = ["x", "y"];
const JUDGES: readonly string[] = ["a", "b"];

export interface ConfigurationModelOptions {
  readonly maxRecords: number;
  /** Overrides that disable guards of the fold. */
  readonly guards?: Partial<ConfigurationGuards>;
}

export function createConfigurationModel(
  options: ConfigurationModelOptions,
): Model<LogRecords> {
  return createLogModel({
    makeFold: () => new ConfigurationFold({ guards: options.guards }),
    processes: [...OPERATORS, ...JUDGES],
    candidateRecords,
    maxRecords: options.maxRecords,
    violation,
  });
}

function candidateRecords(
  fold: ConfigurationFold,
  process: string,
): RecordBody[] {
  if (OPERATORS.includes(process)) {
    const base = fold.version;
    const publicationId = `of ${process}`;
    return [{ kind: "publication", publicationId, base, content: {} }];
  }
  const replaces = fold.claim?.offset ?? -1;
  if (fold.claim?.holder !== process) {
    return [{ kind: "claim", holder: process, replaces }];
  }
  return fold.pending.map((publication) => ({
    kind: "verdict",
    claim: replaces,
    publication: publication.offset,
    accepted: true,
  }));
}

/**
 * Computed from the log: each new version must be based on the one before, by a
 * verdict of the judge that held the claim at its offset, and no publication
 * may come into force twice.
 */
function violation(
  log: LogRecords,
  foldOf: (log: LogRecords) => ConfigurationFold,
): string | undefined {
  let claim = -1;
  let version = 0;
  const accepted = new Set<string>();
  for (const [offset, body] of log.entries()) {
    if (body.kind === "claim" && body.replaces === claim) claim = offset;
    const currentVersion = foldOf(log.slice(0, offset + 1)).version;
    if (currentVersion === version) continue;
    if (body.kind !== "verdict" || body.claim !== claim) {
      return `version ${currentVersion} took effect without a valid verdict`;
    }
    const record = log[body.publication];
    if (record?.kind !== "publication") return "verdict without publication";
    if (record.base !== version) {
      return `version ${currentVersion} reverts version ${version}`;
    }
    if (accepted.has(record.publicationId)) {
      return `publication ${record.publicationId} took effect twice`;
    }
    accepted.add(record.publicationId);
    version = currentVersion;
  }
  return undefined;
}
