import type { EndpointId } from "../../identity/mod.ts";
import type { TimerService } from "../../time/mod.ts";
import type { RegisteredEndpoint } from "../configuration.ts";

/**
 * Share of a pool's engines that decode before anything is known of the mix.
 * Load: 157 long prompts a second, of which an engine reads one in 20 ms,
 * beside 11 short prompts a second whose answers take one of 32 slots for
 * 3.4 s: 3.1 engines against 1.2. With 0.4 prompts wait while slots stand
 * empty, with 0.2 answers wait for slots and are late by their pauses (worth of
 * a calm day 0.572, 0.627 and 0.492 at 0.4, 0.3 and 0.2 with ten engines).
 */
const PRIOR_DECODE_SHARE = 0.3;
/**
 * Share of slots taken above which more engines are to decode, and which is
 * aimed at then. Harm prevented: answers wait for slots, or run in batches so
 * full that they pause. At 0.64 the first customers' answers were late by their
 * pauses, at 0.43 none were; between the two nothing is changed.
 */
const MOST_TAKEN_SLOTS = 0.7;
const WANTED_TAKEN_SLOTS = 0.5;
/**
 * Share of slots that would be taken with one engine fewer, below which one may
 * read instead, if most engines that read are busy.
 */
const SPARE_TAKEN_SLOTS = 0.35;
const BUSY_READERS_SHARE = 0.8;
/**
 * Share of the engines that decode at the least, and how many. Harm prevented:
 * a crash of two engines leaves nobody to answer; each cache that is handed
 * over crosses the link of one of them.
 */
const LEAST_DECODE_SHARE = 0.125;
const LEAST_DECODING = 2;
/**
 * Time over which use is averaged. Load: a mix that swings every few seconds. A
 * change takes an engine away for seconds, so that it has to pay over more than
 * one swing.
 */
const MEMORY_MILLISECONDS = 6_000;
/** Work before a reader that is waited for, milliseconds. */
const BUSY_MILLISECONDS = 100;

export interface RoleUse {
  /** Engines of one pool that may get work. */
  readonly engines: readonly RegisteredEndpoint[];
  /** Requests that all entries have open at the engine. */
  readonly openRequests: (engine: EndpointId) => number;
  /** Prompt reading that is ahead there, milliseconds. */
  readonly backlog: (engine: EndpointId) => number;
}

/**
 * How many of a pool's engines are to decode, by what is seen of their use.
 * Load: mixes of prompts and answers that nobody has told of. Harm prevented:
 * with a share that was right for other customers, answers wait for slots
 * beside engines that read nothing, or prompts beside slots that stand empty.
 */
export class RoleDemand {
  readonly #timer: TimerService;
  readonly #startedAt: number;
  #decodeShare = PRIOR_DECODE_SHARE;
  #open = 0;
  #busyReaders = 0;
  #lookedAt: number;

  constructor(timer: TimerService) {
    this.#timer = timer;
    this.#startedAt = timer.now();
    this.#lookedAt = this.#startedAt;
  }

  /** Share of the pool's engines that are to read prompts. */
  get prefillShare(): number {
    return 1 - this.#decodeShare;
  }

  /** Takes the engines' use of now into account. */
  look(use: RoleUse): void {
    this.#average(use);
    const age = this.#timer.now() - this.#startedAt;
    if (age < MEMORY_MILLISECONDS) return;
    const { engines } = use;
    const decoding = engines.filter(({ role }) => role === "decode");
    if (decoding.length === 0 || decoding.length === engines.length) return;
    const slots = decoding.reduce((sum, each) => sum + each.slots, 0) /
      decoding.length;
    const taken = (count: number) => this.#open / (slots * count);
    if (taken(decoding.length) > MOST_TAKEN_SLOTS) {
      const needed = Math.ceil(this.#open / (WANTED_TAKEN_SLOTS * slots));
      return this.#want(Math.min(needed, engines.length - 1), engines.length);
    }
    const fewer = decoding.length - 1;
    const isSpare = fewer >= leastDecoding(engines.length) &&
      taken(fewer) < SPARE_TAKEN_SLOTS &&
      this.#busyReaders > BUSY_READERS_SHARE;
    if (isSpare) this.#want(fewer, engines.length);
  }

  #average({ backlog, engines, openRequests }: RoleUse): void {
    const readers = engines.filter(({ role }) => role === "prefill");
    const others = engines.filter(({ role }) => role !== "prefill");
    const open = others.reduce((sum, { id }) => sum + openRequests(id), 0);
    const busy = readers.filter(({ id }) => backlog(id) >= BUSY_MILLISECONDS);
    const now = this.#timer.now();
    const weight = 1 - Math.exp((this.#lookedAt - now) / MEMORY_MILLISECONDS);
    this.#lookedAt = now;
    this.#open += weight * (open - this.#open);
    const share = busy.length / Math.max(1, readers.length);
    this.#busyReaders += weight * (share - this.#busyReaders);
  }

  #want(decoding: number, engines: number): void {
    this.#decodeShare = Math.max(decoding, leastDecoding(engines)) / engines;
  }
}

function leastDecoding(engines: number): number {
  return Math.max(LEAST_DECODING, Math.ceil(LEAST_DECODE_SHARE * engines));
}
