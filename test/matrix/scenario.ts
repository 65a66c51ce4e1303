import { identifier } from "../../src/core/identity/mod.ts";
import type { AnswerSink, CallerRequest } from "../../src/core/requests/mod.ts";
import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import { checkHistory, type Violation } from "../history/mod.ts";
import { tokenText } from "./fake_endpoints.ts";
import { ENTRIES, FakeRegion, type FakeRegionOptions } from "./fake_region.ts";

/** Events and violations of one run. */
export interface ScenarioResult {
  readonly violations: readonly Violation[];
  readonly history: readonly HistoryEvent[];
}

const TRAFFIC_START_MILLISECONDS = 8_000;
const TRAFFIC_END_MILLISECONDS = 20_000;
const REQUEST_INTERVAL_MILLISECONDS = 160;
const DRAIN_AT_MILLISECONDS = 11_000;
const UNDRAIN_AT_MILLISECONDS = 17_000;
const RUN_DURATION_MILLISECONDS = 52_000;
const TOKENS_PER_ANSWER = 12;
const RETRY_DELAY_MILLISECONDS = 1_500;
const MAX_TRIES = 4;
/** Even, so that the parallel call uses a different entry than try 1. */
const PARALLEL_TRY = 100;
/** Keys are UUIDs of version 7 with the time of the run. */
const KEY_PREFIX = "019b76da-a800-7000-8000-";

/** `parallel` is a keyed call that is sent to both entries at once. */
type CallKind = "generation" | "keyed" | "parallel" | "unkeyed" | "repeatable";

const CALL_KINDS: readonly CallKind[] = [
  "generation",
  "keyed",
  "generation",
  "unkeyed",
  "parallel",
  "repeatable",
];

/**
 * Runs one scenario. A region starts and gets its first configuration. Callers
 * send work of every kind while a publication drains a service and changes the
 * weights of all engines. Another publication ends the drain and changes the
 * weights again while the engines are still applying the first change.
 */
export async function runScenario(
  options: FakeRegionOptions,
): Promise<ScenarioResult> {
  const region = new FakeRegion(options);
  region.start();
  const callers = new FakeCallers(region);
  const { timer } = region;
  timer.after(200, () => void region.publish("operator", {}));
  const draining = { weights: "v2", draining: ["portal-1"] };
  timer.after(
    DRAIN_AT_MILLISECONDS,
    () => void region.publish("operator", draining),
  );
  timer.after(
    UNDRAIN_AT_MILLISECONDS,
    () => void region.publish("operator", { weights: "v3" }),
  );
  for (
    let at = TRAFFIC_START_MILLISECONDS;
    at < TRAFFIC_END_MILLISECONDS;
    at += REQUEST_INTERVAL_MILLISECONDS
  ) timer.after(at, () => callers.send());
  await timer.advance(RUN_DURATION_MILLISECONDS);
  region.dispose();
  return { history: region.history, violations: checkHistory(region.history) };
}

/** Callers that retry keyed calls through the other entry. */
class FakeCallers {
  readonly #region: FakeRegion;
  #callCount = 0;

  constructor(region: FakeRegion) {
    this.#region = region;
  }

  send(): void {
    const number = this.#callCount++;
    const kind = CALL_KINDS[number % CALL_KINDS.length];
    this.#try({ number, kind, tries: 1 });
    if (kind === "parallel") this.#try({ number, kind, tries: PARALLEL_TRY });
  }

  #try(call: { number: number; kind: CallKind; tries: number }): void {
    const { number, kind, tries } = call;
    const requestId = `request-${number}.${tries}`;
    this.#recordExpectedAnswer(requestId, kind);
    const entry = ENTRIES[(number + tries) % ENTRIES.length];
    const request = buildRequest(requestId, call);
    let settled = false;
    const retry = () => {
      if (settled || !isKeyed(kind) || tries >= MAX_TRIES) return;
      settled = true;
      this.#region.timer.after(
        RETRY_DELAY_MILLISECONDS,
        () => this.#try({ ...call, tries: tries + 1 }),
      );
    };
    const sink: AnswerSink = {
      token: () => true,
      response() {},
      finish: (outcome) => {
        if (outcome.kind !== "answered") retry();
        settled = true;
      },
    };
    if (!this.#region.submit(entry, request, sink)) return retry();
    // Retries if the entry does not answer.
    this.#region.timer.after(4_000, retry);
  }

  #recordExpectedAnswer(requestId: string, kind: CallKind): void {
    const text = kind === "generation"
      ? Array.from(
        { length: TOKENS_PER_ANSWER },
        (_, at) => tokenText(requestId, at),
      )
        .join("")
      : `echo ${requestId}`;
    if (kind !== "generation" && kind !== "repeatable") return;
    this.#region.recordEvent("answer_expected", "caller", { requestId, text });
  }
}

function isKeyed(kind: CallKind): boolean {
  return kind === "keyed" || kind === "parallel";
}

function buildRequest(
  requestId: string,
  call: { number: number; kind: CallKind },
): CallerRequest {
  const { number, kind } = call;
  const request: CallerRequest = {
    requestId: identifier(requestId),
    workspace: identifier(`crew-${number % 3}`),
    headers: {},
    work: kind === "generation"
      ? {
        kind: "generation",
        model: "triage",
        messages: [{ role: "user", content: `Question ${number}` }],
        mostOutputTokens: TOKENS_PER_ANSWER,
      }
      : {
        kind: "service",
        method: kind === "repeatable" ? "GET" : "POST",
        path: "/cases",
        body: `Report ${number}`,
        idempotent: kind === "repeatable",
      },
  };
  if (!isKeyed(kind)) return request;
  const key = KEY_PREFIX + String(number).padStart(12, "0");
  return { ...request, idempotencyKey: identifier(key) };
}
