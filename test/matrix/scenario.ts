import { identifier } from "../../src/core/identity/mod.ts";
import type { AnswerSink, CallerRequest } from "../../src/core/requests/mod.ts";
import type { HistoryEvent } from "../../src/core/observation/mod.ts";
import { checkHistory, type Violation } from "../history/mod.ts";
import { tokenOf } from "./endpoints.ts";
import { ENTRIES, Region, type RegionOptions } from "./region.ts";

export interface RunResult {
  readonly violations: readonly Violation[];
  readonly history: readonly HistoryEvent[];
}

const TRAFFIC_FROM_MILLISECONDS = 8_000;
const TRAFFIC_UNTIL_MILLISECONDS = 20_000;
const BETWEEN_REQUESTS_MILLISECONDS = 160;
const CHANGE_AT_MILLISECONDS = 11_000;
const RETURN_AT_MILLISECONDS = 17_000;
const END_MILLISECONDS = 52_000;
const TOKENS = 12;
const RETRY_MILLISECONDS = 1_500;
const MOST_TRIES = 4;
/** Even, so that the double goes through the other entry than try 1. */
const LAST_TRY = 100;
/** A key is a UUID of version 7 whose time is the run's. */
const KEY_BEGIN = "019b76da-a800-7000-8000-";

/** `doubled` is a keyed call that goes to both entries at once. */
type Kind = "generation" | "keyed" | "doubled" | "unkeyed" | "repeatable";

const KINDS: readonly Kind[] = [
  "generation",
  "keyed",
  "generation",
  "unkeyed",
  "doubled",
  "repeatable",
];

/**
 * One run: a region starts and gets its first configuration; callers send
 * work of every kind while a publication drains a service and brings new
 * weights to all engines; a further one takes the drain back and brings other
 * weights, while the engines are still on the way to the first.
 */
export async function runScenario(options: RegionOptions): Promise<RunResult> {
  const region = new Region(options);
  region.start();
  const callers = new Callers(region);
  const { timer } = region;
  timer.after(200, () => void region.publish("operator", {}));
  const draining = { weights: "v2", draining: ["portal-1"] };
  timer.after(
    CHANGE_AT_MILLISECONDS,
    () => void region.publish("operator", draining),
  );
  timer.after(
    RETURN_AT_MILLISECONDS,
    () => void region.publish("operator", { weights: "v3" }),
  );
  for (
    let at = TRAFFIC_FROM_MILLISECONDS;
    at < TRAFFIC_UNTIL_MILLISECONDS;
    at += BETWEEN_REQUESTS_MILLISECONDS
  ) timer.after(at, () => callers.send());
  await timer.advance(END_MILLISECONDS);
  region.end();
  return { history: region.history, violations: checkHistory(region.history) };
}

/** Callers that try a keyed call again, through the other entry. */
class Callers {
  readonly #region: Region;
  #sent = 0;

  constructor(region: Region) {
    this.#region = region;
  }

  send(): void {
    const number = this.#sent++;
    const kind = KINDS[number % KINDS.length];
    this.#try({ number, kind, tries: 1 });
    if (kind === "doubled") this.#try({ number, kind, tries: LAST_TRY });
  }

  #try(call: { number: number; kind: Kind; tries: number }): void {
    const { number, kind, tries } = call;
    const requestId = `request-${number}.${tries}`;
    this.#expect(requestId, kind);
    const entry = ENTRIES[(number + tries) % ENTRIES.length];
    const request = requestOf(requestId, call);
    let settled = false;
    const again = () => {
      if (settled || !isKeyed(kind) || tries >= MOST_TRIES) return;
      settled = true;
      this.#region.timer.after(
        RETRY_MILLISECONDS,
        () => this.#try({ ...call, tries: tries + 1 }),
      );
    };
    const sink: AnswerSink = {
      token: () => true,
      response() {},
      finish: (outcome) => {
        if (outcome.kind !== "answered") again();
        settled = true;
      },
    };
    if (!this.#region.submit(entry, request, sink)) return again();
    // A caller whose entry has gone silent does not wait for ever.
    this.#region.timer.after(4_000, again);
  }

  #expect(requestId: string, kind: Kind): void {
    const text = kind === "generation"
      ? Array.from({ length: TOKENS }, (_, at) => tokenOf(requestId, at))
        .join("")
      : `echo ${requestId}`;
    if (kind !== "generation" && kind !== "repeatable") return;
    this.#region.tell("answer_expected", "caller", { requestId, text });
  }
}

function isKeyed(kind: Kind): boolean {
  return kind === "keyed" || kind === "doubled";
}

function requestOf(
  requestId: string,
  call: { number: number; kind: Kind },
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
        mostOutputTokens: TOKENS,
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
  const key = KEY_BEGIN + String(number).padStart(12, "0");
  return { ...request, idempotencyKey: identifier(key) };
}
