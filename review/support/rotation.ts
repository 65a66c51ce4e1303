/** The platform's choice of the entry that gets a new channel. */
import type { EntryMachine } from "./entry_machine.ts";

const QUESTION_INTERVAL_MILLISECONDS = 1_000;
const MISSES_UNTIL_OUT = 2;

/** Asks each entry once a second whether it is ready. */
export class Rotation {
  readonly #entries: readonly EntryMachine[];
  readonly #misses = new Map<EntryMachine, number>();
  #questions: NodeJS.Timeout | undefined;

  /** `entries` may grow until `start`. */
  constructor(entries: readonly EntryMachine[]) {
    this.#entries = entries;
  }

  start(): void {
    this.#questions = setInterval(() => {
      for (const entry of this.#entries) void this.#ask(entry);
    }, QUESTION_INTERVAL_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#questions);
  }

  /** An entry in rotation; any if none is. */
  choose(): EntryMachine {
    const ready = this.#entries.filter((each) =>
      (this.#misses.get(each) ?? 0) < MISSES_UNTIL_OUT
    );
    const usable = ready.length > 0 ? ready : this.#entries;
    return usable[Math.floor(Math.random() * usable.length)];
  }

  async #ask(entry: EntryMachine): Promise<void> {
    const isReady = await entry.isReady();
    const misses = this.#misses.get(entry) ?? 0;
    this.#misses.set(entry, isReady ? 0 : misses + 1);
  }
}
