/** Callers of the demo: the requests that they send and their results. */
import { createParser } from "eventsource-parser";
import { v7 as uuidv7 } from "uuid";
import { expectedAnswer } from "../../test/stand_ins/engine_answers.ts";

/** Result of one caller, with a detail for the output. */
export interface CallerResult {
  readonly caller: string;
  readonly result: "complete" | "refused" | "lost";
  readonly detail: string;
  /** Idempotency key of a call that must not run twice. */
  readonly key?: string;
}

/** Time after which a caller counts its answer as lost. */
const REQUEST_TIMEOUT_MILLISECONDS = 40_000;

export interface StreamCall {
  readonly caller: string;
  readonly entryUrl: string;
  readonly prompt: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Requests a stream and compares it with the complete answer. */
export async function callStream(call: StreamCall): Promise<CallerResult> {
  const messages = [{ role: "user", content: call.prompt }];
  const started = performance.now();
  try {
    const response = await fetch(`${call.entryUrl}/v1/chat/completions`, {
      method: "POST",
      headers: call.headers,
      body: JSON.stringify({
        model: "triage-llm",
        messages,
        max_tokens: 2_000,
        stream: true,
      }),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
    });
    if (response.status !== 200) return await refusal(call.caller, response);
    const received = await readStream(response);
    const expected = expectedAnswer("triage-llm", messages, 2_000).tokens;
    const seconds = ((performance.now() - started) / 1000).toFixed(1);
    if (!received.ended) return lost(call.caller, "the stream had no end");
    if (received.text !== expected.join("")) {
      return lost(
        call.caller,
        "the answer differs from the expected one",
      );
    }
    const detail = `complete answer, ${expected.length} tokens in ${seconds} s`;
    return { caller: call.caller, result: "complete", detail };
  } catch (error) {
    return lost(call.caller, String(error));
  }
}

export interface BookingCall {
  readonly caller: string;
  /** Entry of the call and entry of its concurrent repeat. */
  readonly entryUrls: readonly [string, string];
  readonly body: string;
}

/**
 * Requests a case number and repeats the call through another entry before the
 * first answer arrives, as a caller with a bad connection does.
 */
export async function callBooking(call: BookingCall): Promise<CallerResult> {
  const key = uuidv7();
  try {
    const [first, repeat] = await Promise.all(
      call.entryUrls.map((url) => book(url, { key, body: call.body })),
    );
    const answers = [first, repeat].filter((each) => each.status === 201);
    if (answers.length === 0) {
      return { ...toProblemResult(call.caller, first), key };
    }
    const numbers = new Set(
      answers.map((each) => JSON.parse(each.body).number),
    );
    const detail = `case number ${[...numbers].join(" and ")}`;
    const result = numbers.size === 1 ? "complete" : "lost";
    return { caller: call.caller, result, detail, key };
  } catch (error) {
    return { ...lost(call.caller, String(error)), key };
  }
}

interface Answer {
  readonly status: number;
  readonly body: string;
}

async function book(
  url: string,
  call: { key: string; body: string },
): Promise<Answer> {
  const response = await fetch(`${url}/case-numbers`, {
    method: "POST",
    headers: {
      "content-type": "application/json",
      "idempotency-key": call.key,
    },
    body: call.body,
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
  });
  return { status: response.status, body: await response.text() };
}

async function readStream(
  response: Response,
): Promise<{ text: string; ended: boolean }> {
  let text = "";
  let ended = false;
  const parser = createParser({
    onEvent({ data }) {
      if (data === "[DONE]") ended = true;
      else text += JSON.parse(data).choices?.[0]?.delta?.content ?? "";
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
  return { text, ended };
}

async function refusal(
  caller: string,
  response: Response,
): Promise<CallerResult> {
  const body = await response.text();
  return toProblemResult(caller, { status: response.status, body });
}

/**
 * Counts a problem as refused only if its outcome is not_run, and else as lost.
 */
function toProblemResult(caller: string, answer: Answer): CallerResult {
  const problem = JSON.parse(answer.body);
  const detail = `${answer.status} ${problem.title}: ${problem.detail}`;
  const result = problem.outcome === "not_run" ? "refused" : "lost";
  return { caller, result, detail };
}

function lost(caller: string, detail: string): CallerResult {
  return { caller, result: "lost", detail };
}
