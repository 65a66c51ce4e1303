/**
 * Two requests with one key at two entries, each of which would run at its
 * own side, over a log and a network that delay, double and lose messages.
 * The steps are the product's own: the fold, the side's table and the pure
 * transitions of an acquisition. A lost message is one that is never
 * delivered: every wait may end without it.
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
  giveUp,
  noteAppend,
  OnceFold,
  type OnceFoldOptions,
  scopedKey,
  SideOnceTable,
  type SideOnceTableGuards,
  takeAnswer,
  takeAppended,
  whenLogDown,
} from "../../src/core/once/mod.ts";
import type { Model, Step } from "./search.ts";

/** How often each fault may happen in one run. */
export interface OnceBudget {
  readonly duplicates: number;
  readonly restarts: number;
  readonly refusals: number;
  /** Waits that a request may end without the message it waits for. */
  readonly timeouts: number;
  /**
   * Records that the requests may write. Without an end two requests can bar
   * each other for ever, each before the other has sent.
   */
  readonly records: number;
}

/** Guards that a search may take out. */
export interface OnceModelGuards {
  readonly mayReplace?: OnceFoldOptions["mayReplace"];
  readonly table?: Partial<SideOnceTableGuards>;
  /** Owns the key on the append's answer, without reading the record. */
  readonly trustsAppendAnswer?: boolean;
  /** Says "not run" to a refusal without barring the record. */
  readonly refusesWithoutBar?: boolean;
  /** Takes another incarnation's refusal for "not run". */
  readonly trustsOtherIncarnation?: boolean;
  /** Takes a lost dispatch for "not run". */
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
    readonly serial: number;
    readonly side: number;
    readonly question: OnceQuestion;
  }
  | {
    readonly kind: "answer";
    readonly request: number;
    readonly serial: number;
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
  /** Records of the log that its entry has read. */
  read: number;
  /** Waits given up; also tells the newest question's answer from late ones. */
  timeouts: number;
  permit?: OncePermit;
  outcome?: "answered" | "not_run" | "unknown";
  body?: string;
}

interface SideState {
  incarnation: number;
  /** What was asked of the table since the side's start, if it changed it. */
  operations: Operation[];
  /** Work that the endpoint has begun and not finished. */
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

const KEY = scopedKey("crew", "019b76da-a800-7000-8000-000000000001")
  ._unsafeUnwrap();

/** Time behind the grace, so that a record that was not seen is barred. */
const BEHIND_GRACE_MILLISECONDS = 1_000;

export function onceModel(
  budget: OnceBudget,
  guards: OnceModelGuards = {},
): Model<OnceState> {
  return {
    initial: initialState(),
    key: keyOf,
    steps: (state) => new Stepper(budget, guards).steps(state),
    violation,
  };
}

function initialState(): OnceState {
  return {
    log: [],
    requests: [newRequest(), newRequest()],
    sides: [newSide(), newSide()],
    network: [],
    executions: [],
    duplicates: 0,
    restarts: 0,
    refusals: 0,
  };
}

function newRequest(): RequestState {
  return {
    phase: "acquiring",
    acquisition: beginAcquisition(KEY, { fingerprint: "f" }),
    read: 0,
    timeouts: 0,
  };
}

function newSide(): SideState {
  return { incarnation: 0, operations: [], running: [] };
}

/** The network is a set: its order means nothing. */
function keyOf(state: OnceState): string {
  const network = state.network.map((message) => JSON.stringify(message));
  return JSON.stringify({ ...state, network: network.sort() });
}

function violation(state: OnceState): string | undefined {
  if (state.executions.length > 1) return "The key's work ran twice";
  for (const [number, request] of state.requests.entries()) {
    const ran = state.executions.some((one) => one.request === number);
    if (request.outcome === "not_run" && ran) {
      return `Request ${number} was told "not run" of work that ran`;
    }
    if (request.outcome === "answered" && state.executions.length === 0) {
      return `Request ${number} got an answer of work that never ran`;
    }
  }
  const bodies = new Set(
    state.requests.flatMap(({ body }) => body === undefined ? [] : [body]),
  );
  return bodies.size > 1 ? "Two requests got different answers" : undefined;
}

/** Makes the steps of one state; each works on a copy. */
class Stepper {
  readonly #budget: OnceBudget;
  readonly #guards: OnceModelGuards;

  constructor(budget: OnceBudget, guards: OnceModelGuards) {
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
    if (request.read < state.log.length) {
      yield this.#step(state, `entry ${number} reads`, (next) => {
        next.requests[number].read += 1;
      });
    }
    if (request.phase === "acquiring") {
      yield this.#step(state, `request ${number} acts`, (next) => {
        this.#act(next, number);
      });
    }
    if (request.phase !== "dispatched") {
      yield this.#step(state, `request ${number} gives up`, (next) => {
        const { acquisition, read } = next.requests[number];
        finish(next, number, giveUp(acquisition, this.#fold(next, read)));
      });
    }
    if (request.timeouts >= this.#budget.timeouts) return;
    if (request.phase === "acquiring") return;
    yield this.#step(state, `request ${number} waits no longer`, (next) => {
      next.requests[number].timeouts += 1;
      this.#timeOut(next, number);
    });
    yield* this.#notAppended(state, number);
  }

  /** The log refuses the append for good: the message never lands. */
  *#notAppended(state: OnceState, number: number): Iterable<Step<OnceState>> {
    const at = state.network.findIndex((message) =>
      message.kind === "append" && message.request === number
    );
    if (state.requests[number].phase !== "appending" || at < 0) return;
    yield this.#step(state, `the log refuses request ${number}`, (next) => {
      next.network.splice(at, 1);
      const request = next.requests[number];
      request.timeouts += 1;
      request.phase = "acquiring";
      takeAppended(request.acquisition, { failure: "append_not_made" });
      const fold = this.#fold(next, request.read);
      const result = whenLogDown(request.acquisition, fold);
      if (result !== undefined) finish(next, number, result);
    });
  }

  #timeOut(next: OnceState, number: number): void {
    const request = next.requests[number];
    if (request.phase === "appending") {
      takeAppended(request.acquisition, { failure: "append_unknown" });
    }
    if (request.phase === "dispatched") {
      this.#loseDispatch(next, number);
      return;
    }
    request.phase = "acquiring";
  }

  #loseDispatch(next: OnceState, number: number): void {
    const request = next.requests[number];
    if (this.#guards.trustsLostLink === true) {
      request.phase = "done";
      request.outcome = "not_run";
      return;
    }
    request.acquisition = beginAcquisition(KEY, {
      fingerprint: "f",
      lost: request.permit,
    });
    request.phase = "acquiring";
  }

  #act(next: OnceState, number: number): void {
    const request = next.requests[number];
    const { acquisition } = request;
    const decision = decide(acquisition, {
      fold: this.#fold(next, request.read),
      now: acquisition.notSeen === undefined ? 0 : BEHIND_GRACE_MILLISECONDS,
    });
    switch (decision.kind) {
      case "result":
        finish(next, number, decision.result);
        break;
      case "choose":
        acquisition.choice = {
          endpoint: identifier(`endpoint-${number}`),
          sideIncarnation: identifier(String(next.sides[number].incarnation)),
        };
        break;
      case "append":
        if (this.#hasWrittenAll(next)) break;
        noteAppend(acquisition, decision.body);
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
          serial: request.timeouts,
          side: sideOf(decision.owner.endpoint),
          question: decision.question,
        });
        break;
      case "wait":
        break;
    }
  }

  #hasWrittenAll(state: OnceState): boolean {
    const onTheWay = state.network.filter(({ kind }) => kind === "append");
    return state.log.length + onTheWay.length >= this.#budget.records;
  }

  *#sideSteps(state: OnceState, number: number): Iterable<Step<OnceState>> {
    const side = state.sides[number];
    for (const index of side.running.keys()) {
      yield this.#step(state, `endpoint ${number} finishes`, (next) => {
        const [work] = next.sides[number].running.splice(index, 1);
        next.sides[number].operations.push({ ...work, kind: "finish" });
        next.network.push(frameOf(work, "response"));
      });
    }
    if (state.restarts >= this.#budget.restarts) return;
    yield this.#step(state, `side ${number} restarts`, (next) => {
      next.restarts += 1;
      next.sides[number] = { ...newSide(), incarnation: side.incarnation + 1 };
    });
  }

  *#messageSteps(state: OnceState, at: number): Iterable<Step<OnceState>> {
    const message = state.network[at];
    const name = `${message.kind} of request ${message.request}`;
    yield this.#step(state, `${name} arrives`, (next) => {
      next.network.splice(at, 1);
      this.#deliver(next, message);
    });
    if (state.duplicates < this.#budget.duplicates) {
      yield this.#step(state, `a copy of ${name} arrives`, (next) => {
        next.duplicates += 1;
        this.#deliver(next, message);
      });
    }
    if (message.kind !== "dispatch") return;
    if (state.refusals >= this.#budget.refusals) return;
    yield this.#step(state, `${name} is refused`, (next) => {
      next.refusals += 1;
      next.network.splice(at, 1);
      this.#refuse(next, message);
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
        this.#takeAppended(next, message);
        break;
      case "ask":
        this.#answer(next, message);
        break;
      case "answer":
        if (isAwaited(next, message)) takeSideAnswer(next, message);
        break;
      case "dispatch":
        this.#dispatch(next, message);
        break;
      case "frame":
        if (isAwaited(next, message)) this.#takeFrame(next, message);
        break;
    }
  }

  #takeAppended(
    next: OnceState,
    message: Extract<Message, { kind: "appended" }>,
  ): void {
    const request = next.requests[message.request];
    request.phase = "acquiring";
    takeAppended(request.acquisition, { offset: numbered(message.offset) });
    if (this.#guards.trustsAppendAnswer !== true) return;
    const record = next.log[message.offset];
    send(next, message.request, {
      key: record.key,
      record: message.offset,
      sideIncarnation: record.sideIncarnation,
    });
  }

  #answer(next: OnceState, message: Extract<Message, { kind: "ask" }>): void {
    const answer = this.#table(next.sides[message.side]).ask(message.question);
    if (message.question.bar && answer.state === "barred") {
      note(next.sides[message.side], {
        kind: "ask",
        question: message.question,
      });
    }
    next.network.push({
      kind: "answer",
      request: message.request,
      serial: message.serial,
      record: message.question.record,
      answer,
    });
  }

  #dispatch(
    next: OnceState,
    message: Extract<Message, { kind: "dispatch" }>,
  ): void {
    const side = next.sides[message.side];
    const begun = this.#table(side).begin(message.permit);
    const work = {
      request: message.request,
      permit: message.permit,
      body: `run ${next.executions.length}`,
    };
    if (begun === "already") return;
    if (begun === "run") {
      note(side, { kind: "begin", permit: message.permit });
      side.running.push(work);
      next.executions.push({
        request: message.request,
        record: message.permit.record,
      });
      return;
    }
    const trusted = begun !== "wrong_incarnation" ||
      this.#guards.trustsOtherIncarnation === true;
    next.network.push(frameOf(work, trusted ? "not_run" : "failed"));
  }

  #refuse(
    next: OnceState,
    message: Extract<Message, { kind: "dispatch" }>,
  ): void {
    const side = next.sides[message.side];
    const work = { ...message, body: "" };
    if (this.#guards.refusesWithoutBar === true) {
      next.network.push(frameOf(work, "not_run"));
      return;
    }
    const refused = this.#table(side).refuse(message.permit);
    if (refused) note(side, { kind: "refuse", permit: message.permit });
    next.network.push(frameOf(work, refused ? "not_run" : "failed"));
  }

  #takeFrame(
    next: OnceState,
    message: Extract<Message, { kind: "frame" }>,
  ): void {
    const request = next.requests[message.request];
    if (message.frame === "failed") {
      this.#loseDispatch(next, message.request);
      return;
    }
    request.phase = "done";
    request.outcome = message.frame === "response" ? "answered" : "not_run";
    if (message.frame === "response") request.body = message.body;
  }

  #fold(state: OnceState, upTo: number): OnceFold {
    const fold = new OnceFold({ mayReplace: this.#guards.mayReplace });
    for (let offset = 0; offset < upTo; offset += 1) {
      fold.apply(numbered(offset), state.log[offset]);
    }
    return fold;
  }

  #table(side: SideState): SideOnceTable {
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

  #step(
    state: OnceState,
    name: string,
    change: (next: OnceState) => void,
  ): Step<OnceState> {
    const next = structuredCopy(state);
    change(next);
    next.network = next.network.filter((message) => isOfUse(next, message));
    return { name, state: next };
  }
}

function finish(next: OnceState, number: number, result: AcquireResult): void {
  const request = next.requests[number];
  if (result.kind === "run") {
    send(next, number, result.permit);
    return;
  }
  request.phase = "done";
  request.outcome = result.kind === "refused" ? "not_run" : result.kind;
  if (result.kind === "answered") request.body = result.answer.body;
}

function send(next: OnceState, number: number, permit: OncePermit): void {
  const request = next.requests[number];
  const { endpoint } = next.log[permit.record];
  request.phase = "dispatched";
  request.permit = permit;
  next.network.push({
    kind: "dispatch",
    request: number,
    side: sideOf(endpoint),
    permit,
  });
}

function takeSideAnswer(
  next: OnceState,
  message: Extract<Message, { kind: "answer" }>,
): void {
  const request = next.requests[message.request];
  request.phase = "acquiring";
  const taken = takeAnswer(request.acquisition, {
    record: numbered(message.record),
    answer: message.answer,
    now: 0,
  });
  if (typeof taken !== "string") finish(next, message.request, taken);
}

/** An operation that the table already knows changes nothing in it. */
function note(side: SideState, operation: Operation): void {
  const text = JSON.stringify(operation);
  if (side.operations.some((one) => JSON.stringify(one) === text)) return;
  side.operations.push(operation);
}

/** Whether the request is still at the wait that the message ends. */
function isAwaited(state: OnceState, message: Message): boolean {
  const request = state.requests[message.request];
  switch (message.kind) {
    case "appended":
      return request.phase === "appending" &&
        request.acquisition.appended === message.replaces;
    case "answer":
      return request.phase === "asking" && request.timeouts === message.serial;
    case "frame":
      return request.phase === "dispatched" &&
        request.permit?.record === message.record;
    default:
      return true;
  }
}

/** Messages that nobody will take again are left out of the state. */
function isOfUse(state: OnceState, message: Message): boolean {
  if (!isAwaited(state, message)) return false;
  if (message.kind !== "ask" || message.question.bar) return true;
  const request = state.requests[message.request];
  return request.phase === "asking" && request.timeouts === message.serial;
}

function frameOf(
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

function sideOf(endpoint: string): number {
  return Number(endpoint.slice("endpoint-".length));
}

function structuredCopy(state: OnceState): OnceState {
  return JSON.parse(JSON.stringify(state));
}
