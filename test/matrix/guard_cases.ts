/**
 * The coordination guards, each disabled through options in the cells that it
 * protects. The matrix covers a guard only if a run without it violates a
 * condition.
 */
import { AnswerAssembler } from "../../src/core/attempts/mod.ts";
import { hashToUnit } from "../../src/core/membership/mod.ts";
import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import { seededRandom } from "../../src/core/random/mod.ts";
import type { AttemptFrame } from "../../src/generated/messages.ts";
import { checkHistory, type Violation } from "../history/mod.ts";
import type { LinkOverrides } from "./fake_links.ts";
import type { FakeRegionOptions } from "./fake_region.ts";
import { runCells } from "./run_cells.ts";
import { findCell, type MatrixCell } from "./fault_table.ts";

/** A guard and a run that enables or disables it. */
export interface GuardCase {
  readonly name: string;
  /** A seed whose run is known to fail without the guard. */
  readonly seed: number;
  /** Runs once with or without the guard. */
  readonly run: (
    options: { readonly seed: number; readonly without: boolean },
  ) => Promise<readonly Violation[]>;
}

/** Result of the runs without a guard. */
export interface GuardResult {
  readonly name: string;
  /** Seed of the first run with a violation; undefined if none has one. */
  readonly seed?: number;
  readonly violation?: Violation;
  /** Number of violations of the same run with the guard. */
  readonly violationsWithGuard: number;
}

/** Maximum number of seeds to run without a guard. */
const MAX_SEEDS = 60;

/** Runs without a guard until a violation, then once with the guard. */
export async function runWithoutGuard(
  guard: GuardCase,
  options: { readonly seed?: number } = {},
): Promise<GuardResult> {
  const { name } = guard;
  const first = options.seed ?? guard.seed;
  for (let seed = first; seed < first + MAX_SEEDS; seed += 1) {
    const [violation] = await guard.run({ seed, without: true });
    if (violation === undefined) continue;
    const violations = await guard.run({ seed, without: false });
    return { name, seed, violation, violationsWithGuard: violations.length };
  }
  return { name, violationsWithGuard: 0 };
}

/** Makes a side answer `barred` without recording the bar. */
const WITHOUT_BAR: LinkOverrides = {
  ask: (question, side) => {
    const answer = side.ask({ ...question, bar: false });
    const isBar = question.bar && answer.state === "not_seen";
    return isBar ? { state: "barred" } : answer;
  },
};

/** Replaces the incarnation in questions and permits by the side's own. */
const WITHOUT_INCARNATION: LinkOverrides = {
  ask: (question, side) =>
    side.ask({ ...question, sideIncarnation: side.report().incarnation }),
  attempt: (attempt, side) => {
    if (attempt.once === undefined) return attempt;
    const sideIncarnation = side.report().incarnation;
    return { ...attempt, once: { ...attempt.once, sideIncarnation } };
  },
};

/** Omits the incarnation of attempts, so any run of the side accepts them. */
const WITHOUT_NAMED_INCARNATION: LinkOverrides = {
  attempt: ({ sideIncarnation: _, ...attempt }) => attempt,
};

export const GUARD_CASES: readonly GuardCase[] = [
  guardForCells("claim check at the record's offset", [
    "append order/cut_one_way",
  ], {
    entry: {
      guards: { orders: { checksClaim: false, checksNumber: false } },
    },
  }),
  guardForCells(
    "compare-and-set of the version",
    ["append once/operator_race"],
    {
      entry: { guards: { configuration: { checksBase: false } } },
    },
  ),
  guardForCells("barring", ["attempt keyed/late"], {
    linkOverrides: WITHOUT_BAR,
    seed: 7,
  }),
  guardForCells(
    "incarnation check",
    ["attempt keyed/duplicate", "frame response/restart_sender"],
    { linkOverrides: WITHOUT_INCARNATION },
  ),
  { name: "attempt id check", seed: 1, run: runInterleavedFrames },
  guardForCells("single outstanding order", ["order/late"], {
    side: {
      guards: {
        orders: { waitsForEarlierOrders: false, waitsForChanges: false },
      },
    },
    seed: 45,
  }),
  guardForCells("drain before change", ["order/duplicate"], {
    side: { guards: { drainsBeforeOrder: () => false } },
    seed: 1,
  }),
  guardForCells("monotonic version", ["append renewal/cut_both"], {
    side: { guards: { isNewer: (offered, inForce) => offered !== inForce } },
  }),
  guardForCells(
    "waiting for all entries at startup",
    ["append once/cut_both", "watch/restart_sender"],
    { side: { guards: { waitsForAllEntries: () => false } }, seed: 4 },
  ),
  guardForCells(
    "incarnation check without a key",
    ["attempt unkeyed/duplicate", "frame response/restart_sender"],
    { linkOverrides: WITHOUT_NAMED_INCARNATION, seed: 12 },
  ),
  guardForCells("duplicate detection", ["attempt unkeyed/duplicate"], {
    side: { guards: { isDuplicate: () => false } },
  }),
];

function guardForCells(
  name: string,
  cells: readonly string[],
  overrides: Partial<FakeRegionOptions>,
): GuardCase {
  return {
    name,
    seed: overrides.seed ?? 1,
    run: async (options) => {
      const region = options.without ? overrides : {};
      const found = cells.map((cell) => findCell(cell) as MatrixCell);
      const run = await runCells(found, { seed: options.seed, region });
      return run.violations;
    },
  };
}

const TOKENS_PER_ANSWER = 6;

/**
 * Interleaves the frames of an abandoned attempt with those of its replacement,
 * in an order drawn from the seed. Engines sample, so the attempts' tokens
 * differ, and only the replacement's may be delivered after the failover.
 */
function runInterleavedFrames(
  options: { readonly seed: number; readonly without: boolean },
): Promise<readonly Violation[]> {
  const random = seededRandom(hashToUnit(`frames ${options.seed}`) * 2 ** 32);
  const history: HistoryEvent[] = [];
  const recordEvent = (
    kind: HistoryEvent["kind"],
    facts: HistoryEvent["facts"],
  ) => void history.push({ at: history.length, process: "entry", kind, facts });
  const assembler = new AnswerAssembler({
    onToken: (text, index) =>
      recordEvent("token_delivered", { requestId: "r", index, text }),
    acceptsEveryAttempt: options.without,
  });
  const failoverIndex = Math.floor(random() * TOKENS_PER_ANSWER);
  const text = Array.from(
    { length: TOKENS_PER_ANSWER },
    (_, index) => tokenText(index < failoverIndex ? "a" : "b", index),
  ).join("");
  recordEvent("answer_expected", { requestId: "r", text });
  assembler.beginAttempt("a");
  for (let index = 0; index < failoverIndex; index += 1) {
    assembler.receive(token("a", index));
  }
  assembler.beginAttempt("b");
  for (const frame of interleaveFrames(failoverIndex, random)) {
    if (assembler.receive(frame) !== "complete") continue;
    const tokens = assembler.deliveredTokens.length;
    const reason = "stop";
    recordEvent("request_finished", {
      requestId: "r",
      outcome: "answered",
      reason,
      tokens,
    });
  }
  return Promise.resolve(checkHistory(history));
}

/** Interleaves the attempts' remaining frames, each attempt's in order. */
function interleaveFrames(
  failoverIndex: number,
  random: () => number,
): AttemptFrame[] {
  const remaining = ["a", "b"].map((attemptId): AttemptFrame[] => [
    ...Array.from(
      { length: TOKENS_PER_ANSWER - failoverIndex },
      (_, index) => token(attemptId, failoverIndex + index),
    ),
    { kind: "end", attemptId, tokens: TOKENS_PER_ANSWER, reason: "stop" },
  ]);
  const frames: AttemptFrame[] = [];
  while (remaining.some((queue) => queue.length > 0)) {
    const frame = remaining[random() < 0.5 ? 0 : 1].shift();
    if (frame !== undefined) frames.push(frame);
  }
  return frames;
}

function token(attemptId: string, index: number): AttemptFrame {
  return { kind: "token", attemptId, index, text: tokenText(attemptId, index) };
}

function tokenText(attemptId: string, index: number): string {
  return `${attemptId}${index} `;
}
