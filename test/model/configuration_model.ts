/**
 * Operators that publish and judges that claim from each other. The judges
 * accept whatever is published, so that the fold alone has to hold.
 */
import type { RecordBody } from "../../src/generated/log_records.ts";
import {
  ConfigurationFold,
  type ConfigurationGuards,
} from "../../src/core/configuration/mod.ts";
import { type Log, logModel } from "./log_model.ts";
import type { Model } from "./search.ts";

const OPERATORS: readonly string[] = ["x", "y"];
const JUDGES: readonly string[] = ["a", "b"];

export interface ConfigurationModelOptions {
  readonly records: number;
  /** Guards that are taken out. */
  readonly guards?: Partial<ConfigurationGuards>;
}

export function configurationModel(
  options: ConfigurationModelOptions,
): Model<Log> {
  return logModel({
    makeFold: () => new ConfigurationFold({ guards: options.guards }),
    processes: [...OPERATORS, ...JUDGES],
    wishes,
    records: options.records,
    violation,
  });
}

function wishes(fold: ConfigurationFold, process: string): RecordBody[] {
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
 * Reckoned from the log: each new version must stand on the one before, by a
 * verdict of the judge that held the claim there, and no publication may come
 * into force twice.
 */
function violation(
  log: Log,
  foldOf: (log: Log) => ConfigurationFold,
): string | undefined {
  let claim = -1;
  let version = 0;
  const accepted = new Set<string>();
  for (const [offset, body] of log.entries()) {
    if (body.kind === "claim" && body.replaces === claim) claim = offset;
    const now = foldOf(log.slice(0, offset + 1)).version;
    if (now === version) continue;
    if (body.kind !== "verdict" || body.claim !== claim) {
      return `version ${now} came into force without a valid verdict`;
    }
    const judged = log[body.publication];
    if (judged?.kind !== "publication") return "a verdict on no publication";
    if (judged.base !== version) {
      return `version ${now} reverts version ${version}`;
    }
    if (accepted.has(judged.publicationId)) {
      return `publication ${judged.publicationId} came into force twice`;
    }
    accepted.add(judged.publicationId);
    version = now;
  }
  return undefined;
}
