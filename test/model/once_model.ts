/**
 * Model of two requests with the same key at two entries, each of which would
 * run at its own side, over a log and a network that delay, duplicate and lose
 * messages. The steps use the production code: the fold, the side's table and
 * the pure transitions of an acquisition. A lost message is one that is never
 * delivered; every wait may time out without it.
 */
import type { OnceRecord } from "../../src/generated/log_records.ts";
import type {
  OnceAnswer,
  OncePermit,
  OnceQuestion,
} from "../../src/generated/messages.ts";
import { identifier, numbered } from "../../src/core/identity/mod.ts";
import {
  type AcquireResult,
  type Acquisition,
  beginAcquisition,
  decide,
  handleSideAnswer,
  OnceFold,
  type OnceFoldOptions,
  recordAppendOutcome,
  recordAppendStart,
  resultAfterFailedAppend,
  resultAtDeadline,
  scopedKey,
  SideOnceTable,
  type SideOnceTableGuards,
} from "../../src/core/once/mod.ts";
import type { Model, Step } from "./state_search.ts";

/** Maximum number of faults of each kind in one run. */
export interface OnceFaultBudget {
  readonly duplicates: number;
  readonly restarts: number;
  readonly refusals: number;
  /** Waits that may time out, per request. */
  readonly timeouts: number;
  /**
   * Records that the requests may append. Without a limit, two requests can bar
   * each other indefinitely, each before the other has dispatched.
   */
  readonly maxRecords: number;
}

/** Options that disable one guard each. */
export interface OnceModelGuards {
  readonly mayReplace?: OnceFoldOptions["mayReplace"];
  readonly table?: Partial<SideOnceTableGuards>;
  /** Dispatches on the append's answer, without reading the record. */
  readonly trustsAppendAnswer?: boolean;
  /** Reports `not_run` on a refusal without barring the record. */
  readonly refusesWithoutBar?: boolean;
  /** Treats a refusal by another incarnation as `not_run`. */
  readonly trustsOtherIncarnation?: boolean;
  /** Treats a lost dispatch as `not_run`. */
  readonly trustsLostLink?: boolean;
}

type Message =
  | { readonly kind: "append"; readonly request: number; body: OnceRecord }
  | {
    readonly kind: "appended";
    readonly request: number;
    readonly offset: number;
    readonly replaces: number;
  }
  | {
    readonly kind: "ask";
    readonly request: number;
    readonly timeouts: number;
    readonly side: number;
    readonly question: OnceQuestion;
  }
  | {
    readonly kind: "answer";
    readonly request: number;
    readonly timeouts: number;
    readonly record: number;
    readonly answer: OnceAnswer;
  }
  | {
    readonly kind: "dispatch";
    readonly request: number;
    readonly side: number;
    readonly permit: OncePermit;
  }
  | {
    readonly kind: "frame";
    readonly request: number;
    readonly record: number;
    readonly frame: "response" | "not_run" | "failed";
    readonly body: string;
  };

type Operation =
  | { readonly kind: "begin" | "refuse"; readonly permit: OncePermit }
  | {
    readonly kind: "finish";
    readonly permit: OncePermit;
    readonly body: string;
  }
  | { readonly kind: "ask"; readonly question: OnceQuestion };

interface RequestState {
  phase: "acquiring" | "appending" | "asking" | "dispatched" | "done";
  acquisition: Acquisition;
  /** Number of log records that its entry has read. */
  recordsRead: number;
  /** Waits that timed out; also matches an answer to the latest question. */
  timeouts: number;
  permit?: OncePermit;
  outcome?: "answered" | "not_run" | "unknown";
  body?: string;
}

interface SideState {
  incarnation: number;
  /** Operations since the side's start that changed its table. */
  operations: Operation[];
  /** Work that the endpoint has started and not finished. */
  running: { request: number; permit: OncePermit; body: string }[];
}

interface Execution {
  readonly request: number;
  readonly record: number;
}

export interface OnceState {
  log: OnceRecord[];
  requests: RequestState[];
  sides: SideState[];
  network: Message[];
  executions: Execution[];
  duplicates: number;
  restarts: number;
  refusals: number;
}

const SCOPED_KEY = scopedKey("crew", "019b76da-a800-7000-8000-000000000001")
  ._unsafeUnwrap();

/** A time after the grace period, when a record that was not seen is barred. */
const AFTER_GRACE_MILLISECONDS = 1_000;

export function createOnceModel(
  budget: OnceFaultBudget,
  guards: OnceModelGuards = {},
): Model<OnceState> {
  return {
    initial: initialState(),
    key: stateKey,
    steps: (state) => new OnceStepGenerator(budget, guards).steps(state),
    violation,
  };
}

function initialState(): OnceState {
  return {
    log: [],
    requests: [createRequest(), createRequest()],
    sides: [createSide(), createSide()],
    network: [],
    executions: [],
    duplicates: 0,
    restarts: 0,
    refusals: 0,
  };
}

function createRequest(): RequestState {
  return {
    phase: "acquiring",
    acquisition: beginAcquisition(SCOPED_KEY, { fingerprint: "f" }),
    recordsRead: 0,
    timeouts: 0,
  };
}

function createSide(): SideState {
  return { incarnation: 0, operations: [], running: [] };
}

/** The network is a set of messages, so their order is ignored. */
function stateKey(state: OnceState): string {
  const network = state.network.map((message) => JSON.stringify(message));
  return JSON.stringify({ ...state, network: network.sort() });
}

function violation(state: OnceState): string | undefined {
  if (state.executions.length > 1) return "The key's work was executed twice";
  for (const [number, request] of state.requests.entries()) {
    const hasExecuted = state.executions.some((one) => one.request === number);
    if (request.outcome === "not_run" && hasExecuted) {
      return `Request ${number} got not_run for work that was executed`;
    }
    if (request.outcome === "answered" && state.executions.length === 0) {
      return `Request ${number} was answered without an execution`;
    }
  }
  const bodies = new Set(
    state.requests.flatMap(({ body }) => body === undefined ? [] : [body]),
  );
  return bodies.size > 1 ? "Two requests got different answers" : undefined;
}

/** Generates the steps of a state; each changes a copy of it. */
class OnceStepGenerator {
  readonly #budget: OnceFaultBudget;
  readonly #guards: OnceModelGuards;

  constructor(budget: OnceFaultBudget, guards: OnceModelGuards) {
    this.#budget = budget;
    this.#guards = guards;
  }

  *steps(state: OnceState): Iterable<Step<OnceState>> {
    for (const number of state.requests.keys()) {
      yield* this.#requestSteps(state, number);
    }
    for (const number of state.sides.keys()) {
      yield* this.#sideSteps(state, number);
    }
    for (const number of state.network.keys()) {
      yield* this.#messageSteps(state, number);
    }
  }

  *#requestSteps(
    state: OnceState,
    number: number,
  ): Iterable<Step<OnceState>> {
    const request = state.requests[number];
    if (request.phase === "done") return;
    if (request.recordsRead < state.log.length) {
      yield this.#createStep(state, `entry ${number} reads`, (next) => {
        next.requests[number].recordsRead += 1;
      });
    }
    if (request.phase === "acquiring") {
      yield this.#createStep(state, `request ${number} advances`, (next) => {
        this.#advance(next, number);
      });
    }
    if (request.phase !== "dispatched") {
      yield this.#createStep(state, `request ${number} gives up`, (next) => {
        const { acquisition, recordsRead } = next.requests[number];
        applyResult(
          next,
          number,
          resultAtDeadline(acquisition, this.#foldUpTo(next, recordsRead)),
        );
      });
    }
    if (request.timeouts >= this.#budget.timeouts) return;
    if (request.phase === "acquiring") return;
    yield this.#createStep(state, `request ${number} times out`, (next) => {
      next.requests[number].timeouts += 1;
      this.#timeOut(next, number);
    });
    yield* this.#refusedAppendSteps(state, number);
  }

  /** The log refuses the append: it never takes effect. */
  *#refusedAppendSteps(
    state: OnceState,
    number: number,
  ): Iterable<Step<OnceState>> {
    const at = state.network.findIndex((message) =>
      message.kind === "append" && message.request === number
    );
    if (state.requests[number].phase !== "appending" || at < 0) return;
    yield this.#createStep(
      state,
      `the log refuses request ${number}`,
      (next) => {
        next.network.splice(at, 1);
        const request = next.requests[number];
        request.timeouts += 1;
        request.phase = "acquiring";
        recordAppendOutcome(request.acquisition, {
          failure: "append_not_made",
        });
        const fold = this.#foldUpTo(next, request.recordsRead);
        const result = resultAfterFailedAppend(request.acquisition, fold);
        if (result !== undefined) applyResult(next, number, result);
      },
    );
  }

  #timeOut(next: OnceState, number: number): void {
    const request = next.requests[number];
    if (request.phase === "appending") {
      recordAppendOutcome(request.acquisition, { failure: "append_unknown" });
    }
    if (request.phase === "dispatched") {
      this.#handleLostDispatch(next, number);
      return;
    }
    request.phase = "acquiring";
  }

  #handleLostDispatch(next: OnceState, number: number): void {
    const request = next.requests[number];
    if (this.#guards.trustsLostLink === true) {
      request.phase = "done";
      request.outcome = "not_run";
      return;
    }
    request.acquisition = beginAcquisition(SCOPED_KEY, {
      fingerprint: "f",
      lost: request.permit,
    });
    request.phase = "acquiring";
  }

  #advance(next: OnceState, number: number): void {
    const request = next.requests[number];
    const { acquisition } = request;
    const decision = decide(acquisition, {
      fold: this.#foldUpTo(next, request.recordsRead),
      now: acquisition.unseenRecord === undefined
        ? 0
        : AFTER_GRACE_MILLISECONDS,
    });
    switch (decision.kind) {
      case "result":
        applyResult(next, number, decision.result);
        break;
      case "choose":
        acquisition.choice = {
          endpoint: identifier(`endpoint-${number}`),
          sideIncarnation: identifier(String(next.sides[number].incarnation)),
        };
        break;
      case "append":
        if (this.#hasReachedRecordLimit(next)) break;
        recordAppendStart(acquisition, decision.body);
        request.phase = "appending";
        next.network.push({
          kind: "append",
          request: number,
          body: decision.body,
        });
        break;
      case "ask":
        request.phase = "asking";
        next.network.push({
          kind: "ask",
          request: number,
          timeouts: request.timeouts,
          side: sideIndexOf(decision.owner.endpoint),
          question: decision.question,
        });
        break;
      case "wait":
        break;
    }
  }

  #hasReachedRecordLimit(state: OnceState): boolean {
    const pendingAppends = state.network.filter(({ kind }) =>
      kind === "append"
    );
    return state.log.length + pendingAppends.length >= this.#budget.maxRecords;
  }

  *#sideSteps(state: OnceState, number: number): Iterable<Step<OnceState>> {
    const side = state.sides[number];
    for (const index of side.running.keys()) {
      yield this.#createStep(state, `endpoint ${number} finishes`, (next) => {
        const [work] = next.sides[number].running.splice(index, 1);
        next.sides[number].operations.push({ ...work, kind: "finish" });
        next.network.push(createFrame(work, "response"));
      });
    }
    if (state.restarts >= this.#budget.restarts) return;
    yield this.#createStep(state, `side ${number} restarts`, (next) => {
      next.restarts += 1;
      next.sides[number] = {
        ...createSide(),
        incarnation: side.incarnation + 1,
      };
    });
  }

  *#messageSteps(state: OnceState, at: number): Iterable<Step<OnceState>> {
    const message = state.network[at];
    const name = `${message.kind} of request ${message.request}`;
    yield this.#createStep(state, `${name} arrives`, (next) => {
      next.network.splice(at, 1);
      this.#deliver(next, message);
    });
    if (state.duplicates < this.#budget.duplicates) {
      yield this.#createStep(
        state,
        `a duplicate of ${name} arrives`,
        (next) => {
          next.duplicates += 1;
          this.#deliver(next, message);
        },
      );
    }
    if (message.kind !== "dispatch") return;
    if (state.refusals >= this.#budget.refusals) return;
    yield this.#createStep(state, `${name} is refused`, (next) => {
      next.refusals += 1;
      next.network.splice(at, 1);
      this.#refuseDispatch(next, message);
    });
  }

  #deliver(next: OnceState, message: Message): void {
    switch (message.kind) {
      case "append": {
        const offset = next.log.push(message.body) - 1;
        next.network.push({
          kind: "appended",
          request: message.request,
          offset,
          replaces: message.body.replaces,
        });
        break;
      }
      case "appended":
        if (!isAwaited(next, message)) break;
        this.#applyAppended(next, message);
        break;
      case "ask":
        this.#answerQuestion(next, message);
        break;
      case "answer":
        if (isAwaited(next, message)) applySideAnswer(next, message);
        break;
      case "dispatch":
        this.#dispatch(next, message);
        break;
      case "frame":
        if (isAwaited(next, message)) this.#applyFrame(next, message);
        break;
    }
  }

  #applyAppended(
    next: OnceState,
    message: Extract<Message, { kind: "appended" }>,
  ): void {
    const request = next.requests[message.request];
    request.phase = "acquiring";
    recordAppendOutcome(request.acquisition, {
      offset: numbered(message.offset),
    });
    if (this.#guards.trustsAppendAnswer !== true) return;
    const record = next.log[message.offset];
    sendDispatch(next, message.request, {
      key: record.key,
      record: message.offset,
      sideIncarnation: record.sideIncarnation,
    });
  }

  #answerQuestion(
    next: OnceState,
    message: Extract<Message, { kind: "ask" }>,
  ): void {
    const answer = this.#createTable(next.sides[message.side]).ask(
      message.question,
    );
    if (message.question.bar && answer.state === "barred") {
      addOperation(next.sides[message.side], {
        kind: "ask",
        question: message.question,
      });
    }
    next.network.push({
      kind: "answer",
      request: message.request,
      timeouts: message.timeouts,
      record: message.question.record,
      answer,
    });
  }

  #dispatch(
    next: OnceState,
    message: Extract<Message, { kind: "dispatch" }>,
  ): void {
    const side = next.sides[message.side];
    const beginResult = this.#createTable(side).begin(message.permit);
    const work = {
      request: message.request,
      permit: message.permit,
      body: `run ${next.executions.length}`,
    };
    if (beginResult === "already") return;
    if (beginResult === "run") {
      addOperation(side, { kind: "begin", permit: message.permit });
      side.running.push(work);
      next.executions.push({
        request: message.request,
        record: message.permit.record,
      });
      return;
    }
    const trusted = beginResult !== "wrong_incarnation" ||
      this.#guards.trustsOtherIncarnation === true;
    next.network.push(createFrame(work, trusted ? "not_run" : "failed"));
  }

  #refuseDispatch(
    next: OnceState,
    message: Extract<Message, { kind: "dispatch" }>,
  ): void {
    const side = next.sides[message.side];
    const work = { ...message, body: "" };
    if (this.#guards.refusesWithoutBar === true) {
      next.network.push(createFrame(work, "not_run"));
      return;
    }
    const refused = this.#createTable(side).refuse(message.permit);
    if (refused) addOperation(side, { kind: "refuse", permit: message.permit });
    next.network.push(createFrame(work, refused ? "not_run" : "failed"));
  }

  #applyFrame(
    next: OnceState,
    message: Extract<Message, { kind: "frame" }>,
  ): void {
    const request = next.requests[message.request];
    if (message.frame === "failed") {
      this.#handleLostDispatch(next, message.request);
      return;
    }
    request.phase = "done";
    request.outcome = message.frame === "response" ? "answered" : "not_run";
    if (message.frame === "response") request.body = message.body;
  }

  #foldUpTo(state: OnceState, upTo: number): OnceFold {
    const fold = new OnceFold({ mayReplace: this.#guards.mayReplace });
    for (let offset = 0; offset < upTo; offset += 1) {
      fold.apply(numbered(offset), state.log[offset]);
    }
    return fold;
  }

  #createTable(side: SideState): SideOnceTable {
    const table = new SideOnceTable({
      incarnation: String(side.incarnation),
      guards: this.#guards.table,
    });
    for (const operation of side.operations) {
      if (operation.kind === "begin") table.begin(operation.permit);
      if (operation.kind === "refuse") table.refuse(operation.permit);
      if (operation.kind === "ask") table.ask(operation.question);
      if (operation.kind === "finish") {
        table.finish(operation.permit, { status: 200, body: operation.body });
      }
    }
    return table;
  }

  #createStep(
    state: OnceState,
    name: string,
    change: (next: OnceState) => void,
  ): Step<OnceState> {
    const next = cloneState(state);
    change(next);
    next.network = next.network.filter((message) => isRelevant(next, message));
    return { name, state: next };
  }
}

function applyResult(
  next: OnceState,
  number: number,
  result: AcquireResult,
): void {
  const request = next.requests[number];
  if (result.kind === "run") {
    sendDispatch(next, number, result.permit);
    return;
  }
  request.phase = "done";
  request.outcome = result.kind === "refused" ? "not_run" : result.kind;
  if (result.kind === "answered") request.body = result.answer.body;
}

function sendDispatch(
  next: OnceState,
  number: number,
  permit: OncePermit,
): void {
  const request = next.requests[number];
  const { endpoint } = next.log[permit.record];
  request.phase = "dispatched";
  request.permit = permit;
  next.network.push({
    kind: "dispatch",
    request: number,
    side: sideIndexOf(endpoint),
    permit,
  });
}

function applySideAnswer(
  next: OnceState,
  message: Extract<Message, { kind: "answer" }>,
): void {
  const request = next.requests[message.request];
  request.phase = "acquiring";
  const result = handleSideAnswer(request.acquisition, {
    record: numbered(message.record),
    answer: message.answer,
    now: 0,
  });
  if (typeof result !== "string") applyResult(next, message.request, result);
}

/** Records an operation once; repeating it does not change the table. */
function addOperation(side: SideState, operation: Operation): void {
  const text = JSON.stringify(operation);
  if (side.operations.some((one) => JSON.stringify(one) === text)) return;
  side.operations.push(operation);
}

/** Whether the request still waits for the message. */
function isAwaited(state: OnceState, message: Message): boolean {
  const request = state.requests[message.request];
  switch (message.kind) {
    case "appended":
      return request.phase === "appending" &&
        request.acquisition.appended === message.replaces;
    case "answer":
      return request.phase === "asking" &&
        request.timeouts === message.timeouts;
    case "frame":
      return request.phase === "dispatched" &&
        request.permit?.record === message.record;
    default:
      return true;
  }
}

/** Whether the message can still have an effect; others are removed. */
function isRelevant(state: OnceState, message: Message): boolean {
  if (!isAwaited(state, message)) return false;
  if (message.kind !== "ask" || message.question.bar) return true;
  const request = state.requests[message.request];
  return request.phase === "asking" && request.timeouts === message.timeouts;
}

function createFrame(
  work: { request: number; permit: OncePermit; body: string },
  frame: "response" | "not_run" | "failed",
): Message {
  return {
    kind: "frame",
    request: work.request,
    record: work.permit.record,
    frame,
    body: work.body,
  };
}

function sideIndexOf(endpoint: string): number {
  return Number(endpoint.slice("endpoint-".length));
}

function cloneState(state: OnceState): OnceState {
  return JSON.parse(JSON.stringify(state));
}
