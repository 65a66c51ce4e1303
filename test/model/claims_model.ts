/** Planners that claim from each other and give orders to one endpoint. */
import type { RecordBody } from "../../src/generated/log_records.ts";
import { OrdersFold, type OrdersGuards } from "../../src/core/authority/mod.ts";
import { type Log, logModel } from "./log_model.ts";
import type { Model } from "./search.ts";

const ENDPOINT = "triage-1";
const ROLES: Readonly<Record<string, "prefill" | "decode">> = {
  a: "prefill",
  b: "decode",
};

export interface ClaimsModelOptions {
  readonly records: number;
  /** Guards that are taken out. */
  readonly guards?: Partial<OrdersGuards>;
}

export function claimsModel(options: ClaimsModelOptions): Model<Log> {
  return logModel({
    makeFold: () => new OrdersFold({ guards: options.guards }),
    processes: Object.keys(ROLES),
    wishes,
    records: options.records,
    violation,
  });
}

function wishes(fold: OrdersFold, planner: string): RecordBody[] {
  const replaces = fold.claim?.offset ?? -1;
  const claim = { kind: "claim", holder: planner, replaces } as const;
  if (fold.claim?.holder !== planner) return [claim];
  // A planner may also be replaced by its own next run.
  return [claim, {
    kind: "order",
    claim: replaces,
    number: fold.lastNumber(ENDPOINT) + 1,
    endpoint: ENDPOINT,
    target: { role: ROLES[planner] },
  }];
}

/**
 * Reckoned from the log without the fold: the standing order must be the last
 * one that was given under the claim in force where it stands, with a number
 * of its own. Everything that a relay can tell a side, however late, is the
 * standing order of some prefix, and all prefixes have been looked at.
 */
function violation(
  log: Log,
  foldOf: (log: Log) => OrdersFold,
): string | undefined {
  let claim = -1;
  let standing = -1;
  const numbers = new Set<number>();
  for (const [offset, body] of log.entries()) {
    if (body.kind === "claim" && body.replaces === claim) claim = offset;
    if (body.kind !== "order" || body.claim !== claim) continue;
    if (numbers.has(body.number)) continue;
    numbers.add(body.number);
    standing = offset;
  }
  const told = foldOf(log).standingOrder(ENDPOINT)?.offset ?? -1;
  if (told === standing) return undefined;
  return `order ${told} stands instead of order ${standing}`;
}
