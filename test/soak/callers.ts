import type { Random } from "../../src/core/random/mod.ts";
import {
  completeAnswer,
  promptFor,
  streamChat,
} from "../support/chat_caller.ts";
import { uuidv7 } from "../support/uuid.ts";

export interface CallerOptions {
  readonly random: Random;
  /** Returns the URL of an entry that the load balancer would choose. */
  readonly entryUrl: () => string;
  readonly tally: Tally;
}

/** Counts of the results that callers got, by name. */
export class Tally {
  readonly counts = new Map<string, number>();

  add(what: string): void {
    this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
  }

  count(what: string): number {
    return this.counts.get(what) ?? 0;
  }
}

const MAX_TOKENS = 170;
const RETRY_MILLISECONDS = 200;
const MAX_ATTEMPTS = 8;
const ANSWER_TIMEOUT_MILLISECONDS = 15_000;

/** Requests streams until `end` and compares each with the complete answer. */
export async function streamUntil(
  end: number,
  options: CallerOptions & { readonly name: string },
): Promise<void> {
  for (let index = 0; performance.now() < end; index++) {
    const tokens = 20 + Math.floor(options.random() * (MAX_TOKENS - 20));
    const prompt = promptFor(`${options.name}-${index}`, tokens);
    options.tally.add(await streamOnce(prompt, options));
  }
}

async function streamOnce(
  prompt: string,
  options: CallerOptions,
): Promise<string> {
  const expected = completeAnswer(prompt).tokens;
  try {
    const answer = await streamChat(options.entryUrl(), { prompt });
    if (answer.status !== 200) {
      await sleep(RETRY_MILLISECONDS);
      return `stream refused: ${answer.problem?.outcome}`;
    }
    const received = answer.tokens.join("");
    if (!expected.join("").startsWith(received)) return "stream wrong";
    if (!answer.ended) return "stream ended with a problem";
    return answer.tokens.length === expected.length
      ? "stream complete"
      : "stream wrong";
  } catch {
    await sleep(RETRY_MILLISECONDS);
    return "stream connection lost";
  }
}

/** Answers to bookings by key; undefined while a key has no answer. */
export type Bookings = Map<string, string | undefined>;

/** Makes bookings until `end`, repeating each key until it is answered. */
export async function bookUntil(
  end: number,
  options: CallerOptions & { readonly bookings: Bookings },
): Promise<void> {
  while (performance.now() < end) {
    const key = uuidv7();
    options.bookings.set(key, undefined);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (await bookOnce(key, options)) break;
      if (performance.now() >= end) return;
      await sleep(RETRY_MILLISECONDS);
    }
  }
}

/** Whether the key needs no further attempt. */
async function bookOnce(
  key: string,
  options: CallerOptions & { readonly bookings: Bookings },
): Promise<boolean> {
  const { tally, bookings } = options;
  try {
    const answer = await fetch(`${options.entryUrl()}/cases`, {
      method: "POST",
      headers: { "idempotency-key": key },
      body: "Klang",
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS),
    });
    const body = await answer.text();
    if (answer.status === 201) {
      tally.add("booking made");
      bookings.set(key, body);
      return true;
    }
    const { outcome, detail } = JSON.parse(body);
    tally.add(`booking ${outcome}: ${detail}`);
    return String(detail).includes("is gone");
  } catch {
    tally.add("booking connection lost");
    return false;
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
