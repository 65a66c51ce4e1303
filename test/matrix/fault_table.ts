/** The steps and faults of the matrix, and which faults apply to a step. */

type StepParty = "entry" | "side" | "endpoint" | "log" | "operator";

/** A kind of message at which faults are injected. */
export interface MatrixStep {
  readonly name: string;
  readonly from: StepParty;
  readonly to: StepParty;
  /** Candidate messages of this step, counted from 1; the seed selects one. */
  readonly occurrences: readonly number[];
  /** Whether the message has an answer that can be lost. */
  readonly hasAnswer: boolean;
}

function defineStep(
  name: string,
  route: string,
  occurrences: readonly number[] = [1, 2, 5, 9],
): MatrixStep {
  const [from, to] = route.split(" > ") as [StepParty, StepParty];
  const hasAnswer = !name.startsWith("attempt") && !name.includes("frame") &&
    !name.endsWith("answer") && name !== "generate";
  return { name, from, to, occurrences, hasAnswer };
}

/** All messages for requests, log appends, orders, watches and reports. */
export const STEPS: readonly MatrixStep[] = [
  defineStep("append publication", "operator > log", [2, 3]),
  defineStep("append claim", "entry > log", [1, 2]),
  defineStep("append verdict", "entry > log", [2, 3]),
  defineStep("append renewal", "entry > log", [16, 21, 30]),
  defineStep("append order", "entry > log", [1]),
  defineStep("append once", "entry > log"),
  defineStep("append checkpoint", "entry > log", [1, 2, 5]),
  defineStep("attempt generation", "entry > side"),
  defineStep("attempt keyed", "entry > side"),
  defineStep("attempt unkeyed", "entry > side"),
  defineStep("attempt repeatable", "entry > side"),
  defineStep("generate", "side > endpoint"),
  defineStep("call", "side > endpoint"),
  defineStep("frame token", "side > entry", [3, 30, 70]),
  defineStep("frame end", "side > entry"),
  defineStep("frame response", "side > entry"),
  defineStep("ask", "entry > side"),
  defineStep("ask answer", "side > entry"),
  defineStep("order", "side > endpoint", [1, 2, 3]),
  defineStep("order answer", "endpoint > side", [1, 2, 3]),
  defineStep("watch", "side > entry", [20, 45, 60]),
  defineStep("watch answer", "entry > side", [15, 40, 55]),
  defineStep("report", "entry > side", [70, 120, 160]),
  defineStep("status", "entry > entry", [9, 12, 18]),
];

/** Names of the injectable faults. */
export const FAULTS = [
  "kill_sender",
  "kill_receiver",
  "kill_receiver_after",
  "restart_sender",
  "restart_receiver",
  "pause_sender",
  "pause_receiver",
  "stop_sender",
  "stop_receiver",
  "leave_sender",
  "leave_receiver",
  "cut_one_way",
  "cut_answers",
  "cut_both",
  "lost",
  "lost_answer",
  "late",
  "duplicate",
  "endpoint_crash",
  "log_outage",
  "log_slow",
  "log_behind",
  "operator_race",
] as const;

export type Fault = (typeof FAULTS)[number];

/** A fault at a step. */
export interface MatrixCell {
  readonly step: MatrixStep;
  readonly fault: Fault;
}

export function cellName(cell: MatrixCell): string {
  return `${cell.step.name}/${cell.fault}`;
}

/** Returns a cell for each step and each fault that applies to it. */
export function allCells(): MatrixCell[] {
  return STEPS.flatMap((step) =>
    FAULTS.filter((fault) => isApplicable(step, fault))
      .map((fault) => ({ step, fault }))
  );
}

export function findCell(name: string): MatrixCell | undefined {
  return allCells().find((cell) => cellName(cell) === name);
}

function isApplicable(step: MatrixStep, fault: Fault): boolean {
  switch (fault) {
    case "kill_sender":
    case "restart_sender":
    case "pause_sender":
    case "stop_sender":
      return isProcess(step.from);
    case "kill_receiver":
    case "kill_receiver_after":
    case "restart_receiver":
    case "pause_receiver":
    case "stop_receiver":
      return isProcess(step.to);
    case "leave_sender":
      return step.from === "side";
    case "leave_receiver":
      return step.to === "side";
    case "cut_one_way":
    case "cut_answers":
    case "cut_both":
      return step.from !== "operator" && step.from !== "endpoint" &&
        step.to !== "endpoint";
    case "lost_answer":
      return step.hasAnswer;
    case "endpoint_crash":
      return step.from === "side" || step.to === "side";
    case "duplicate":
      // A call to a plain service uses one HTTP connection, which does not
      // duplicate requests; a non-idempotent service has no guard against it.
      return step.name !== "call";
    default:
      return true;
  }
}

function isProcess(party: StepParty): boolean {
  return party === "entry" || party === "side";
}
