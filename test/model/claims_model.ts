/**
 * Model of two planners that take over the claim from each other and issue
 * orders to one endpoint.
 */
import type { RecordBody } from "../../src/generated/log_records.ts";
import { OrdersFold, type OrdersGuards } from "../../src/core/authority/mod.ts";
import { createLogModel, type LogRecords } from "./log_model.ts";
import type { Model } from "./state_search.ts";

const ENDPOINT_ID = "triage-1";
const ROLES: Readonly<Record<string, "prefill" | "decode">> = {
  a: "prefill",
  b: "decode",
};

export interface ClaimsModelOptions {
  readonly maxRecords: number;
  /** Overrides that disable guards of the fold. */
  readonly guards?: Partial<OrdersGuards>;
}

export function createClaimsModel(
  options: ClaimsModelOptions,
): Model<LogRecords> {
  return createLogModel({
    makeFold: () => new OrdersFold({ guards: options.guards }),
    processes: Object.keys(ROLES),
    candidateRecords,
    maxRecords: options.maxRecords,
    violation,
  });
}

function candidateRecords(fold: OrdersFold, planner: string): RecordBody[] {
  const replaces = fold.claim?.offset ?? -1;
  const claim = { kind: "claim", holder: planner, replaces } as const;
  if (fold.claim?.holder !== planner) return [claim];
  // A planner's own next run may also replace its claim.
  return [claim, {
    kind: "order",
    claim: replaces,
    number: fold.lastNumber(ENDPOINT_ID) + 1,
    endpoint: ENDPOINT_ID,
    target: { role: ROLES[planner] },
  }];
}

/**
 * Computed from the log without the fold: the standing order must be the last
 * one with an unused number whose claim was in force at its offset. Whatever an
 * entry relays to a side, however late, is the standing order of some prefix,
 * and the search checks every prefix.
 */
function violation(
  log: LogRecords,
  foldOf: (log: LogRecords) => OrdersFold,
): string | undefined {
  let claim = -1;
  let expectedOffset = -1;
  const numbers = new Set<number>();
  for (const [offset, body] of log.entries()) {
    if (body.kind === "claim" && body.replaces === claim) claim = offset;
    if (body.kind !== "order" || body.claim !== claim) continue;
    if (numbers.has(body.number)) continue;
    numbers.add(body.number);
    expectedOffset = offset;
  }
  const actualOffset = foldOf(log).standingOrder(ENDPOINT_ID)?.offset ?? -1;
  if (actualOffset === expectedOffset) return undefined;
  return `the standing order is ${actualOffset}, expected ${expectedOffset}`;
}
